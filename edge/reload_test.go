package edge

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/standin/metastore"
)

// Guards against a bound that is shortened while the daemon runs and that is in force only after a restart: until then
// the daemon would follow changes as late as the earlier bound allows.
func TestShortenedBoundIsInForceWithoutRestart(t *testing.T) {
	g := NewWithT(t)
	s, address := startStore(t)
	s.Put("servers", "i-b1", map[string]any{
		"service": "bindery", "address": "127.51.2.1:9000", "zone": "zone", "slots": 2, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1,
	})
	s.Put("config", "main", configuration(3))
	fields := map[string]string{
		"ip": "127.51.0.81", "internal_ports.0": "7703", "listen.datagram_addr": "127.51.0.81:7701", "listen.ready": "127.51.0.81:7702",
		"platform.address": address, "bounds.config_apply_ms": "60000", "bounds.drain_ms": "60000", "bounds.evacuate_ms": "60000",
	}
	path := writeSettings(t, renderSettings(t, fields))
	command, _ := startProcess(t, path)
	t.Cleanup(func() { _ = command.Process.Kill() })
	waitUntilReady(g, "127.51.0.81")
	age := func() int { return metric(81, "config_age_ms") }
	g.Expect(age()).To(Equal(-1), "the first records may be stale, and are validated within the bound")
	shortened := maps.Clone(fields)
	shortened["bounds.drain_ms"] = "2500.5"
	g.Expect(os.WriteFile(path, []byte(renderSettings(t, shortened)), 0o600)).To(Succeed())
	// Records are validated again after at most 0.6 of the bound, and a change of the file is noticed without a signal.
	g.Eventually(age, settingsPollInterval+testTimeout).Should(And(BeNumerically(">=", 0), BeNumerically("<", 1000)))
	g.Consistently(age, 5*time.Second).Should(BeNumerically("<", 2000))
}

// Guards against a change of a figure that is refused, or lost without a line in the log, while the daemon runs.
func TestReloadOfAnyFigure(t *testing.T) {
	number := 81
	for field, name := range boundSettings {
		number++
		d, args := startDaemon(t, number, "127.51.9.1:9", func(s *Settings) { s.EvacuationBound = figureOf(5000) })
		for _, figure := range []string{"true", "0", "0.001", "2500.5", "90000", "1e400"} {
			t.Run(fmt.Sprintf("%s/%s", name, figure), func(t *testing.T) {
				g := NewWithT(t)
				g.Expect(os.WriteFile(args[1], []byte(renderSettings(t, map[string]string{field: figure})), 0o600)).To(Succeed())
				next, err := ParseSettings(args)
				g.Expect(err).NotTo(HaveOccurred())
				d.reload(newSettingsWatcher(d.settings, args), "test")
				g.Expect(d.settings.propagationBound()).To(Equal(next.propagationBound()))
				g.Expect(d.settings.gracePeriod()).To(Equal(next.gracePeriod()))
				g.Expect(d.settings.ColdOverage).To(Equal(next.ColdOverage))
				g.Expect(d.settings.ColdSlack).To(Equal(next.ColdSlack))
			})
		}
		g := NewWithT(t)
		g.Expect(os.WriteFile(args[1], []byte(renderSettings(t, map[string]string{"bounds.evacuate_ms": ""})), 0o600)).To(Succeed())
		next, err := ParseSettings(args)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.settings.settingsNeedingRestart(next)).To(ContainElement("evacuation-bound-ms"), "to read evacuations needs a restart")
	}
}

// Guards against daemons that stay with the earlier address of the store after it has changed in their settings, and act
// on an old configuration once nothing is served there any more (review/13).
func TestChangedStoreAddressIsFollowed(t *testing.T) {
	g := NewWithT(t)
	s := metastore.New()
	earlier, later := httptest.NewServer(s.Handler()), httptest.NewServer(s.Handler())
	t.Cleanup(later.CloseClientConnections)
	d, args := startDaemon(t, 89, earlier.Listener.Addr().String())
	u := startUpstream(t, 9)
	s.Put("servers", u.ID, upstreamEntry(u))
	s.Put("config", "main", configuration(7))
	waitUntilReady(g, "127.51.0.89")
	text, err := os.ReadFile(args[1])
	g.Expect(err).NotTo(HaveOccurred())
	changed := strings.ReplaceAll(string(text), earlier.Listener.Addr().String(), later.Listener.Addr().String())
	g.Expect(os.WriteFile(args[1], []byte(changed), 0o600)).To(Succeed())
	d.reload(newSettingsWatcher(d.settings, args), "test")
	earlier.CloseClientConnections()
	g.Expect(earlier.Listener.Close()).To(Succeed())
	s.Put("config", "main", configuration(9))
	inForce := func() int64 { return d.catalog.Current().Config.Version }
	g.Eventually(inForce, defaultBoundMs*time.Millisecond).Should(Equal(int64(9)))
	// The records are validated again there: without the store they would become older than the bound.
	g.Consistently(func() int { return metric(89, "config_age_ms") }, 4*time.Second).Should(BeNumerically("<", defaultBoundMs))
}
