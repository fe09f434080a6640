package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/standin/echo"
	"github.com/fulmarfield/fulmarfield/standin/metastore"
)

const evacuationBound = 2 * time.Second

// withEvacuations makes a daemon read evacuations. The daemons of the tests here know each other.
func withEvacuations(s *Settings) {
	s.EvacuationBound, s.Seeds = figureOf(float64(evacuationBound.Milliseconds())), []string{"127.51.0.31:1,127.51.0.33:1"}
}

// zonedUpstream starts an upstream of a zone and returns the function that writes its entry.
func zonedUpstream(t *testing.T, s *metastore.Store, number int, zone string) (*echo.Upstream, func()) {
	u := startUpstream(t, number)
	entry := upstreamEntry(u)
	entry["zone"] = zone
	write := func() { s.Put("servers", u.ID, entry) }
	write()
	return u, write
}

// alternatingCaller starts a caller whose packets go through two daemons in turn.
func alternatingCaller(t *testing.T, address string, first byte) *echo.Caller {
	turn := byte(0)
	c, err := echo.StartCaller(netip.MustParseAddrPort(address), func() netip.AddrPort {
		turn++
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 51, 0, first + turn%2}), packetPort)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

// openOn opens a flow and returns it with the ID of its upstream.
func openOn(g *WithT, c *echo.Caller) (*echo.Flow, string) {
	f, err := c.Open(serviceAddress)
	g.Expect(err).NotTo(HaveOccurred())
	return f, upstreamOf(g, f)
}

// upstreamOf returns the ID of the upstream that answers on a flow.
func upstreamOf(g *WithT, f *echo.Flow) string {
	request := time.Now().String()
	answer, err := f.Request(request, testTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	return echo.AnsweringUpstream(answer, request)
}

// metric returns a metric of the daemon with a number, or -1.
func metric(number int, name string) int {
	r, err := http.Get(fmt.Sprintf("http://127.51.0.%d:7703/metrics", number))
	if err != nil {
		return -1
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				return n
			}
		}
	}
	return -1
}

// Guards against an evacuation that is not in force on every daemon within its bound, that ends open flows, that a
// restarted daemon does not know, or that never ends; and against callers that wait while all upstreams are in
// evacuated zones.
func TestEvacuationOfAZone(t *testing.T) {
	g := NewWithT(t)
	s, address := startStore(t)
	s.Put("config", "main", configuration(3))
	west, _ := zonedUpstream(t, s, 2, "west")
	east, _ := zonedUpstream(t, s, 3, "zone") // The zone of the daemons.
	first, _ := startDaemon(t, 31, address, withEvacuations)
	c := alternatingCaller(t, "127.51.1.31:7701", 31)
	var onEast *echo.Flow
	t.Run("while daemons run", func(t *testing.T) {
		g := NewWithT(t)
		second, _ := startDaemon(t, 32, address, withEvacuations)
		waitUntilReady(g, "127.51.0.31")
		waitUntilReady(g, "127.51.0.32")
		for onEast == nil {
			if f, id := openOn(g, c); id == east.ID {
				onEast = f
			}
		}
		s.Put("evacuations", "zone", map[string]any{})
		began := time.Now()
		for number, d := range map[int]*Daemon{31: first, 32: second} {
			g.Eventually(func() bool { return d.catalog.Current().IsEvacuated("zone") }, time.Until(began.Add(evacuationBound))).Should(BeTrue())
			g.Eventually(func() int { return metric(number, "evacuation_zone_age_ms") }, testTimeout).Should(BeNumerically(">", 0))
			g.Eventually(func() int {
				g.Expect(upstreamOf(g, onEast)).To(Equal(east.ID), "open flows stay")
				return metric(number, "evacuation_zone_flows") // Counted while packets come.
			}, testTimeout).Should(BeNumerically(">", 0))
		}
		for range 20 {
			_, id := openOn(g, c)
			g.Expect(id).To(Equal(west.ID))
		}
		g.Expect(upstreamOf(g, onEast)).To(Equal(east.ID), "open flows stay")
	})
	opened := len(east.OpenTimes())
	startDaemon(t, 32, address, withEvacuations)
	waitUntilReady(g, "127.51.0.32")
	for range 20 {
		_, id := openOn(g, c)
		g.Expect(id).To(Equal(west.ID), "the restarted daemon knows the evacuation")
	}
	g.Expect(upstreamOf(g, onEast)).To(Equal(east.ID))
	s.Put("evacuations", "west", map[string]any{})
	time.Sleep(evacuationBound)
	began := time.Now()
	_, err := c.Open(serviceAddress)
	g.Expect(err).To(MatchError(ContainSubstring("reset")))
	g.Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond), "before the caller repeats its packet")
	g.Expect(max(metric(31, "reset_zone_evacuated"), metric(32, "reset_zone_evacuated"))).To(BeNumerically(">", 0))
	g.Expect(east.OpenTimes()).To(HaveLen(opened))
	s.Delete("evacuations", "zone")
	time.Sleep(evacuationBound)
	for range 10 {
		_, id := openOn(g, c)
		g.Expect(id).To(Equal(east.ID))
	}
	g.Expect(upstreamOf(g, onEast)).To(Equal(east.ID))
	g.Expect(metric(31, "evacuation_zone_age_ms")).To(Equal(-1))
}

// Guards against an evacuation that ends at once because the store was restored to a state without it, and against one
// that never ends because nobody writes it again.
func TestEvacuationOfTheLostSeconds(t *testing.T) {
	g := NewWithT(t)
	s, address := startStore(t)
	s.Put("config", "main", configuration(3))
	west, writeWest := zonedUpstream(t, s, 5, "west")
	_, writeEast := zonedUpstream(t, s, 6, "zone")
	first, _ := startDaemon(t, 33, address, withEvacuations)
	second, _ := startDaemon(t, 34, address, withEvacuations)
	c := alternatingCaller(t, "127.51.1.33:7701", 33)
	waitUntilReady(g, "127.51.0.33")
	waitUntilReady(g, "127.51.0.34")
	time.Sleep(time.Second) // What follows is lost.
	lostSince := time.Now()
	s.Put("evacuations", "zone", map[string]any{})
	daemons := []*Daemon{first, second}
	for _, d := range daemons {
		g.Eventually(func() bool { return d.catalog.Current().IsEvacuated("zone") }, evacuationBound).Should(BeTrue())
	}
	s.Restore(time.Since(lostSince) + 100*time.Millisecond)
	restored := time.Now()
	writeWest()
	writeEast()
	for _, d := range daemons {
		g.Eventually(func() int { return d.syncer.KeptRecords("evacuations") }, time.Second).Should(Equal(1))
	}
	for time.Since(restored) < catalog.ReregistrationGrace {
		_, id := openOn(g, c)
		g.Expect(id).To(Equal(west.ID))
		time.Sleep(50 * time.Millisecond)
	}
	for _, d := range daemons {
		g.Eventually(func() bool { return d.catalog.Current().IsEvacuated("zone") }, testTimeout).Should(BeFalse())
	}
}
