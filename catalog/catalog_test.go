package catalog_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
)

func upstream(id string, startedAt int64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Key: catalog.IncarnationKey(id, startedAt), Service: "s", Slots: 1,
		StartedAt: startedAt}
}

// Guards against a configuration that is replaced by an older version that arrives later.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(time.Now)
	g.Expect(c.SetConfiguration(&catalog.Configuration{Version: 9})).To(BeTrue())
	g.Expect(c.SetConfiguration(&catalog.Configuration{Version: 7})).To(BeFalse())
	g.Expect(c.SetConfiguration(&catalog.Configuration{Version: 9})).To(BeFalse())
	g.Expect(c.Current().Config.Version).To(Equal(int64(9)))
}

// Guards against ending flows of a running upstream because its entry expired, and against flows
// that wait for an upstream that has stopped.
func TestRegistrationStatus(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	c := catalog.New(func() time.Time { return now })
	a, draining := upstream("a", 1), upstream("d", 1)
	draining.State = catalog.StateDraining
	c.SetUpstreams([]*catalog.Upstream{a, draining})
	g.Expect(c.Current().RegistrationStatus(a.Key, now)).To(Equal(catalog.StatusRegistered))
	g.Expect(c.Current().AcceptsFlows(draining.Key)).To(BeFalse())
	c.ApplyChanges(nil, []string{"a", "d", "never known"}, nil)
	g.Expect(c.Current().RegistrationStatus(a.Key, now)).To(Equal(catalog.StatusMissing), "the upstream may register again")
	g.Expect(c.Current().RegistrationStatus(draining.Key, now)).To(Equal(catalog.StatusMissing),
		"the entry may have expired while the upstream was draining")
	g.Expect(c.Current().RegistrationStatus(a.Key, now.Add(-time.Hour))).To(Equal(catalog.StatusMissing),
		"a stale snapshot is no evidence of deregistration")
	g.Expect(c.Current().RegistrationStatus(a.Key, now.Add(catalog.ReregistrationGrace))).
		To(Equal(catalog.StatusDeregistered))
	c.ApplyChanges([]*catalog.Upstream{a}, nil, nil)
	g.Expect(c.Current().RegistrationStatus(a.Key, now)).To(Equal(catalog.StatusRegistered), "the upstream registered again")
	g.Expect(c.Current().RegistrationStatus(upstream("x", 1).Key, now)).To(Equal(catalog.StatusUnknown))
	now = now.Add(2 * time.Minute)
	c.ApplyChanges(nil, nil, nil)
	g.Expect(c.Current().RegistrationStatus(draining.Key, now)).To(Equal(catalog.StatusUnknown),
		"deregistered upstreams are dropped")
	g.Expect(c.Current().Latest("d")).To(BeNil())
	g.Expect(c.Current().Latest("a").Key).To(Equal(a.Key))
}

// Guards against an order of incarnations that is derived from their entries: the store may do a write of an ended
// process after those of the running one, and clocks may be set. The entry that was read last is in force, and the
// incarnation before has no status of its own.
func TestEntryReadLastIsInForce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	moved := upstream("a", 2)
	moved.Address = netip.MustParseAddrPort("127.0.0.1:80")
	for _, c := range []struct {
		name    string
		entries []*catalog.Upstream
		// isRemoved is set if the first entry expires before the next one is read.
		isRemoved bool
	}{
		{"replaced", []*catalog.Upstream{upstream("a", 2)}, false},
		{"expired and registered again", []*catalog.Upstream{upstream("a", 2)}, true},
		{"the same entry after its removal", []*catalog.Upstream{upstream("a", 1)}, true},
		{"late write of the ended process", []*catalog.Upstream{upstream("a", 2), upstream("a", 1), upstream("a", 2)}, false},
		{"clock set back", []*catalog.Upstream{upstream("a", 0), upstream("a", -5)}, false},
		{"moved, perhaps by another writer", []*catalog.Upstream{moved}, false},
		{"without a start", []*catalog.Upstream{upstream("a", 0)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			known := catalog.New(func() time.Time { return now })
			known.SetUpstreams([]*catalog.Upstream{upstream("a", 1)})
			previous := known.Current().Latest("a")
			if c.isRemoved {
				known.ApplyChanges(nil, []string{"a"}, nil)
			}
			for _, next := range c.entries {
				for range 2 {
					known.ApplyChanges([]*catalog.Upstream{next}, nil, nil)
					latest := known.Current().Latest("a")
					g.Expect(latest.Key).To(Equal(next.Key))
					g.Expect(latest.Address).To(Equal(next.Address))
					g.Expect(known.Current().RegistrationStatus(latest.Key, now)).To(Equal(catalog.StatusRegistered))
					if previous.Key != next.Key {
						g.Expect(known.Current().RegistrationStatus(previous.Key, now.Add(time.Hour))).To(Equal(catalog.StatusUnknown))
					}
				}
				previous = next
			}
		})
	}
}

// Guards against a slow start that begins again each time the upstream's entry is read.
func TestRereadEntryDoesNotRestartSlowStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	c := catalog.New(func() time.Time { return now })
	u := upstream("a", 1)
	u.ColdRemaining = 2 * time.Second
	for range 3 {
		c.ApplyChanges([]*catalog.Upstream{u}, nil, nil)
		now = now.Add(time.Second)
	}
	g.Expect(c.Current().Ready("s")[0].IsCold(now)).To(BeFalse())
}

// Guards against an upstream that is cold after the evacuation of its zone and counts as warm, and against one that has
// become warm early, by its latest entry, and counts as cold.
func TestAnotherEntryShowsAnotherSlowStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	c := catalog.New(func() time.Time { return now })
	write := func(version uint64, remaining time.Duration) *catalog.Upstream {
		u := upstream("a", 1)
		u.EntryVersion, u.ColdRemaining = version, remaining
		c.ApplyChanges([]*catalog.Upstream{u}, nil, nil)
		return c.Current().Ready("s")[0]
	}
	write(3, time.Second)
	now = now.Add(time.Minute)
	g.Expect(write(3, time.Second).IsCold(now)).To(BeFalse(), "the same entry was read again")
	g.Expect(write(8, 4*time.Second).IsCold(now.Add(3 * time.Second))).To(BeTrue())
	now = now.Add(3 * time.Second)
	g.Expect(write(8, 4*time.Second).IsCold(now.Add(2*time.Second))).To(BeFalse(), "the same entry was read again")
	g.Expect(write(9, 0).IsCold(now)).To(BeFalse())
}

// Guards against daemons that compute different tokens for one upstream, also if one of them has read a
// later incarnation, against a token that is not bound to one upstream and address, and against a token of
// 0, the value in packets without a token.
func TestToken(t *testing.T) {
	g := NewWithT(t)
	at, other := netip.MustParseAddrPort("198.18.0.1:80"), netip.MustParseAddrPort("198.18.0.1:81")
	g.Expect(upstream("a", 1).Token(at)).To(Equal(upstream("a", 1).Token(at)))
	g.Expect(upstream("a", 2).Token(at)).To(Equal(upstream("a", 1).Token(at)))
	seen := map[uint32]bool{0: true}
	for _, token := range []uint32{
		upstream("a", 1).Token(at), upstream("b", 1).Token(at), upstream("a", 1).Token(other), upstream("ab", 1).Token(at),
	} {
		g.Expect(seen[token]).To(BeFalse())
		seen[token] = true
	}
}
