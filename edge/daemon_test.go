package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/fulmarfield/fulmarfield/standin/echo"
	"github.com/fulmarfield/fulmarfield/standin/metastore"
)

const (
	packetPort = 7701
	patience   = 5 * time.Second
)

var feed = netip.MustParseAddrPort("198.18.0.1:8443")

// startDaemon runs a daemon in this process and returns it with its settings file.
func startDaemon(t *testing.T, number int, store string) (*Daemon, []string) {
	ip := fmt.Sprintf("127.51.0.%d", number)
	path := writeSettings(t, fmt.Sprintf(
		"name = daemon-%d\nzone = zone\npacket-address = %s:%d\nready-address = %s:7702\nadmin-address = %s:7703\nstore-address = %s\nseeds = 127.51.0.1:1\ngrace-seconds = 2\n",
		number, ip, packetPort, ip, ip, store))
	args := []string{"--settings-file", path}
	settings, err := ParseSettings(args)
	if err != nil {
		t.Fatal(err)
	}
	var d *Daemon
	app := fx.New(Module(settings, newAsyncWriter(io.Discard), zerolog.Nop()), fx.Populate(&d), fx.NopLogger)
	if err := app.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = app.Stop(context.Background()) })
	return d, args
}

func status(url string) int {
	r, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

func configuration(version int) map[string]any {
	return map[string]any{"version": version, "routes": []any{map[string]any{
		"name": "feed", "host": "198.18.0.1", "path_prefix": "/8443/", "kind": "safe", "service": "bindery",
	}}, "limits": map[string]any{"idle_timeout_ms": 15000}}
}

func entryOf(u *echo.Upstream) map[string]any {
	return map[string]any{
		"service": "bindery", "address": u.Address().String(), "zone": "zone", "version": "v1", "slots": 2,
		"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": u.StartedAt.UnixMilli(),
	}
}

func startUpstream(t *testing.T, number int) *echo.Upstream {
	u, err := echo.StartUpstream(fmt.Sprintf("i-b%d", number), uint64(0xb0+number),
		netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 51, 2, byte(number)}), 9000), packetPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Stop)
	return u
}

// Guards against a whole path whose parts fit their tests only: from the opening packet to the
// answer, over two daemons, with metrics, while one of them leaves.
func TestWholePath(t *testing.T) {
	g := NewWithT(t)
	s := metastore.New()
	api := httptest.NewServer(s.Handler())
	t.Cleanup(api.CloseClientConnections)
	address := strings.TrimPrefix(api.URL, "http://")
	first, _ := startDaemon(t, 1, address)
	second, _ := startDaemon(t, 2, address)
	g.Consistently(func() int { return status("http://127.51.0.1:7702/api/ready") }, 300*time.Millisecond).
		Should(Equal(http.StatusServiceUnavailable), "without state it would lose what it attracts")
	u := startUpstream(t, 1)
	s.Put("servers", u.ID, entryOf(u))
	s.Put("config", "main", configuration(3))
	for _, ip := range []string{"127.51.0.1", "127.51.0.2"} {
		g.Eventually(func() int { return status("http://" + ip + ":7702/api/ready") }, patience).Should(Equal(http.StatusOK))
	}
	turn := 0
	c, err := echo.StartCaller(netip.MustParseAddrPort("127.51.1.1:7701"), func() netip.AddrPort {
		turn++
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 51, 0, byte(1 + turn%2)}), packetPort)
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Stop)
	f, err := c.Open(feed)
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 20 {
		request := fmt.Sprint("request ", i)
		answer, err := f.Request(request, patience)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(echo.RunBy(answer, request)).To(Equal(u.ID))
	}
	g.Eventually(func() int { return first.fleet.DaemonCount() + second.fleet.DaemonCount() }, patience).Should(Equal(2))
	steady, err := echo.StartCaller(netip.MustParseAddrPort("127.51.1.2:7701"), func() netip.AddrPort {
		return netip.MustParseAddrPort("127.51.0.1:7701")
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(steady.Stop)
	whole, err := steady.Open(feed)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = whole.Request("all of it through one daemon", patience)
	g.Expect(err).NotTo(HaveOccurred())
	r, err := http.Get("http://127.51.0.1:7703/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(r.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Body.Close()).To(Succeed())
	g.Expect(string(text)).To(And(ContainSubstring("generation 3\n"), ContainSubstring("forward_open "),
		ContainSubstring("latency_open_to_acknowledged_us_p99 "), ContainSubstring("latency_age_of_upstreams_us_p50 "),
		ContainSubstring("latency_store_call_us_max ")))

	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	left := make(chan int, 1)
	go func() { left <- second.serve(signals, nil) }()
	g.Eventually(func() int { return status("http://127.51.0.2:7702/api/ready") }, patience).Should(Equal(http.StatusServiceUnavailable))
	answer, err := f.Request("while leaving", patience)
	g.Expect(err).NotTo(HaveOccurred(), "a leaving daemon carries on open flows")
	g.Expect(echo.RunBy(answer, "while leaving")).To(Equal(u.ID))
	g.Eventually(left, patience).Should(Receive(Equal(exitOK)))
}

// Guards against a daemon that the store does not serve and that has no state therefore, although
// another one has it.
func TestRefusedDaemonLearnsFromAnother(t *testing.T) {
	g := NewWithT(t)
	s := metastore.New()
	s.Put("config", "main", configuration(5))
	api := httptest.NewServer(s.Handler())
	t.Cleanup(api.CloseClientConnections)
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
	}))
	t.Cleanup(refusing.Close)
	_, _ = startDaemon(t, 1, strings.TrimPrefix(api.URL, "http://"))
	refused, _ := startDaemon(t, 2, strings.TrimPrefix(refusing.URL, "http://"))
	g.Eventually(func() bool { return refused.catalog.Current().IsComplete() }, patience).Should(BeTrue())
	s.Put("config", "main", configuration(8))
	g.Eventually(func() int64 { return refused.catalog.Current().Config.Version }, 3*time.Second).Should(Equal(int64(8)))
}

// Guards against changes that no watch shows while the store drops its history, in the 3 s in
// which they must be in force.
func TestHiddenChangeIsFound(t *testing.T) {
	g := NewWithT(t)
	s := metastore.New()
	s.Put("config", "main", configuration(5))
	api := httptest.NewServer(s.Handler())
	t.Cleanup(api.CloseClientConnections)
	d, _ := startDaemon(t, 1, strings.TrimPrefix(api.URL, "http://"))
	g.Eventually(func() bool { return d.catalog.Current().IsComplete() }, patience).Should(BeTrue())
	s.Hide()
	s.Put("config", "main", configuration(8))
	g.Eventually(func() int64 { return d.catalog.Current().Config.Version }, 3*time.Second).Should(Equal(int64(8)))
}

// Guards against a daemon that keeps what it began with: it starts while the store's answers lag and
// its seed is down, and takes back nothing that a list that may lag does not show.
func TestStartWhileTheStoreLags(t *testing.T) {
	g := NewWithT(t)
	s := metastore.New()
	s.Put("config", "main", configuration(5))
	api := httptest.NewServer(s.Handler())
	t.Cleanup(api.CloseClientConnections)
	s.Hide()
	s.Put("config", "main", configuration(8))
	d, _ := startDaemon(t, 4, strings.TrimPrefix(api.URL, "http://"))
	g.Eventually(func() bool { return d.catalog.Current().IsComplete() }, patience).Should(BeTrue())
	g.Expect(d.catalog.Current().Config.Version).To(Equal(int64(5)), "the list lags")
	g.Expect(d.follower.ConfigValidatedAt()).To(BeZero())
	g.Eventually(func() int64 { return d.catalog.Current().Config.Version }, 3*time.Second).Should(Equal(int64(8)))
}

// Guards against a bad file that replaces good settings, and against a change without a signal
// that is never noticed.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	api := httptest.NewServer(metastore.New().Handler())
	t.Cleanup(api.CloseClientConnections)
	d, args := startDaemon(t, 3, strings.TrimPrefix(api.URL, "http://"))
	content, err := os.ReadFile(args[1])
	g.Expect(err).NotTo(HaveOccurred())
	signals := make(chan os.Signal, 1)
	done := make(chan int, 1)
	go func() { done <- d.serve(signals, args) }()
	g.Expect(os.WriteFile(args[1], []byte("grace-seconds = many\n"), 0o600)).To(Succeed())
	signals <- syscall.SIGHUP
	g.Eventually(func() int64 { return d.counters.Get("settings.refused") }, patience).Should(BeNumerically(">", 0))
	g.Expect(os.WriteFile(args[1], []byte(strings.Replace(string(content), "grace-seconds = 2", "grace-seconds = 1", 1)), 0o600)).To(Succeed())
	g.Eventually(func() int64 { return d.counters.Get("settings.reloaded") }, patience).Should(BeNumerically(">", 0))
	signals <- syscall.SIGTERM
	g.Eventually(done, patience).Should(Receive(Equal(exitOK)))
}
