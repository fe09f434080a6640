package catalog_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
)

func upstream(id string, startedAt int64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Key: catalog.KeyOf(id, startedAt), Service: "s", Slots: 1, StartedAt: startedAt}
}

// Guards against a configuration that is taken back by an older one that arrives later.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(time.Now)
	g.Expect(c.SetConfiguration(&catalog.Configuration{Version: 9})).To(BeTrue())
	g.Expect(c.SetConfiguration(&catalog.Configuration{Version: 7})).To(BeFalse())
	g.Expect(c.SetConfiguration(&catalog.Configuration{Version: 9})).To(BeFalse())
	g.Expect(c.Current().Config.Version).To(Equal(int64(9)))
}

// Guards against flows of a living upstream that count as ended because its entry lapsed, and
// against flows that wait for one that has ended.
func TestFate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	c := catalog.New(func() time.Time { return now })
	a, draining := upstream("a", 1), upstream("d", 1)
	draining.State = catalog.StateDraining
	c.SetUpstreams([]*catalog.Upstream{a, draining})
	g.Expect(c.Current().Fate(a.Key, now)).To(Equal(catalog.FateRegistered))
	g.Expect(c.Current().TakesFlows(draining.Key)).To(BeFalse())
	c.Change(nil, []string{"a", "d", "never known"}, nil)
	g.Expect(c.Current().Fate(a.Key, now)).To(Equal(catalog.FateMissing), "it may come back")
	g.Expect(c.Current().Fate(draining.Key, now)).To(Equal(catalog.FateMissing), "its entry may have lapsed before it left")
	g.Expect(c.Current().Fate(a.Key, now.Add(-time.Hour))).To(Equal(catalog.FateMissing), "a copy that lags proves nothing")
	g.Expect(c.Current().Fate(a.Key, now.Add(catalog.LapseGrace))).To(Equal(catalog.FateGone))
	c.Change([]*catalog.Upstream{a}, nil, nil)
	g.Expect(c.Current().Fate(a.Key, now)).To(Equal(catalog.FateRegistered), "it came back")
	c.Change([]*catalog.Upstream{upstream("a", 2)}, nil, nil)
	g.Expect(c.Current().Fate(a.Key, now)).To(Equal(catalog.FateGone), "its name has a new incarnation")
	g.Expect(c.Current().Fate(upstream("x", 1).Key, now)).To(Equal(catalog.FateUnknown))
	now = now.Add(2 * time.Minute)
	c.Change(nil, nil, nil)
	g.Expect(c.Current().Fate(a.Key, now)).To(Equal(catalog.FateUnknown), "departed ones are forgotten")
}

// Guards against a slow start that begins again each time the entry is read.
func TestColdStartEndsOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	c := catalog.New(func() time.Time { return now })
	u := upstream("a", 1)
	u.ColdFor = 2 * time.Second
	for range 3 {
		c.Change([]*catalog.Upstream{u}, nil, nil)
		now = now.Add(time.Second)
	}
	g.Expect(c.Current().Ready("s")[0].IsCold(now)).To(BeFalse())
}

// Guards against daemons that compute other tokens, against a token that is not bound to one
// incarnation and address, and against the value that packets without a token carry.
func TestToken(t *testing.T) {
	g := NewWithT(t)
	at, other := netip.MustParseAddrPort("198.18.0.1:80"), netip.MustParseAddrPort("198.18.0.1:81")
	g.Expect(upstream("a", 1).Token(at)).To(Equal(upstream("a", 1).Token(at)))
	seen := map[uint32]bool{0: true}
	for _, token := range []uint32{
		upstream("a", 1).Token(at), upstream("a", 2).Token(at), upstream("b", 1).Token(at), upstream("a", 1).Token(other),
	} {
		g.Expect(seen[token]).To(BeFalse())
		seen[token] = true
	}
}
