package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fulmarfield/fulmarfield/standin/echo"
	"github.com/fulmarfield/fulmarfield/standin/metastore"
)

const (
	packetPort = 7701
	readyPort  = 7702
	peerPort   = 7703
	// bound is the time in which changes must be in force, and calm how long a daemon must have
	// been left alone for it to hold, as on the users' platform.
	bound = 3 * time.Second
	calm  = 4 * time.Second
)

// Second octets of loopback addresses, by role, within the block of a run.
const (
	hostDaemons = iota
	hostCallers
	hostUpstreams
	hostProxies
	hostRoles
)

// firstOctet is the second octet of block 0.
const firstOctet = 40

// r4 returns an address of this run's block.
func r4(role, high, low int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(firstOctet + *block*hostRoles + role), byte(high), byte(low)})
}

var (
	feed   = netip.MustParseAddrPort("198.18.0.1:8443")
	orders = netip.MustParseAddrPort("198.18.0.1:8080")
	photos = netip.MustParseAddrPort("198.18.0.2:8443")
)

// daemon is one process of the program.
type daemon struct {
	number    int
	address   netip.Addr
	settings  string
	link      *proxy
	mu        sync.Mutex
	process   *exec.Cmd
	isUp      bool
	isLeaving bool
	// faultAt is when something was last done to it.
	faultAt time.Time
}

// server is an upstream with what was done to it.
type server struct {
	*echo.Upstream
	service   string
	instance  uint64
	drainedAt time.Time
	// harmedAt is when it was last silent, or stopped.
	harmedAt time.Time
}

// cluster is everything that a run starts.
type cluster struct {
	t       *testing.T
	binary  string
	store   *metastore.Store
	daemons []*daemon

	mu         sync.Mutex
	servers    map[string]*server
	nextServer int
	version    int64
	extra      map[netip.AddrPort]time.Time
	// storeAt is when the store was last harmed for all.
	storeAt time.Time
	log     []string
}

func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// build makes the program once for all runs of a test binary.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "fulmarfield-soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "fulmar-balancer")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/fulmar-balancer").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func newCluster(t *testing.T, daemons, upstreams int) *cluster {
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, binary: binary, store: metastore.New(), servers: map[string]*server{}, extra: map[netip.AddrPort]time.Time{}}
	api := httptest.NewServer(c.store.Handler())
	t.Cleanup(api.CloseClientConnections)
	c.configure()
	for i := range upstreams {
		service := "bindery"
		if i%4 == 3 {
			service = "galerij"
		}
		c.addServer(service)
	}
	for i := range daemons {
		link, err := startProxy(api.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		d := &daemon{number: i, address: r4(hostDaemons, i%2, i+1), link: link}
		d.settings = filepath.Join(t.TempDir(), "settings.ini")
		text := fmt.Sprintf("name = daemon-%d\nzone = zone-%d\npacket-address = %s:%d\nready-address = %s:%d\nadmin-address = %s:%d\nstore-address = %s\nseeds = %s:1,%s:1\n",
			i, i%2, d.address, packetPort, d.address, readyPort, d.address, peerPort, link.listener.Addr(), r4(hostDaemons, 0, 1), r4(hostDaemons, 1, 2))
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.daemons = append(c.daemons, d)
		c.start(d)
	}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) start(d *daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = exec.Command(c.binary, "in-band", "--settings-file", d.settings, "--log-level", "warn")
	if err := d.process.Start(); err != nil {
		c.t.Errorf("start daemon %d: %v", d.number, err)
		return
	}
	d.isUp, d.isLeaving, d.faultAt = true, false, time.Now()
}

// signal sends a signal and, if it ends the process, waits for that.
func (c *cluster) signal(d *daemon, s syscall.Signal) {
	d.mu.Lock()
	process := d.process
	d.faultAt = time.Now()
	d.isLeaving = d.isLeaving || s == syscall.SIGTERM
	d.mu.Unlock()
	if err := process.Process.Signal(s); err != nil {
		c.t.Errorf("signal daemon %d: %v", d.number, err)
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		// The exit status of a killed process is no news.
		_ = process.Wait()
		d.mu.Lock()
		d.isUp = false
		d.mu.Unlock()
	}
}

func (c *cluster) stop() {
	for _, d := range c.daemons {
		d.mu.Lock()
		if d.isUp {
			_ = d.process.Process.Kill()
			_ = d.process.Wait()
		}
		d.mu.Unlock()
		_ = d.link.listener.Close()
	}
	for _, s := range c.servers {
		s.Stop()
	}
}

// configure writes the next version of the configuration.
func (c *cluster) configure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 1 + rand.Int64N(5)
	route := func(a netip.AddrPort, kind, service string) map[string]any {
		return map[string]any{"name": a.String(), "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()), "kind": kind, "service": service}
	}
	routes := []map[string]any{route(feed, "safe", "bindery"), route(orders, "unsafe", "bindery"), route(photos, "download", "galerij")}
	for a := range c.extra {
		routes = append(routes, route(a, "safe", "bindery"))
	}
	c.store.Put("config", "main", map[string]any{"version": c.version, "routes": routes, "services": []any{}, "limits": map[string]any{"idle_timeout_ms": 15000}})
}

func (c *cluster) register(s *server, state string) {
	c.store.Put("servers", s.ID, map[string]any{
		"service": s.service, "address": s.Address().String(), "zone": fmt.Sprintf("zone-%d", s.instance%2), "version": "v1",
		"slots": 2, "state": state, "cold_remaining_ms": 0, "seq": 1, "born": s.StartedAt.UnixMilli(),
	})
}

func (c *cluster) addServer(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextServer++
	instance := uint64(0xa0000 + c.nextServer)
	u, err := echo.StartUpstream(fmt.Sprintf("i-%x", instance), instance,
		netip.AddrPortFrom(r4(hostUpstreams, 0, c.nextServer), 9000), packetPort)
	if err != nil {
		c.t.Fatal(err)
	}
	s := &server{Upstream: u, service: service, instance: instance}
	c.servers[u.ID] = s
	c.register(s, "ready")
}

// route returns a daemon that takes packets, as routers that probe do.
func (c *cluster) route() netip.AddrPort {
	var ready []*daemon
	for _, d := range c.daemons {
		d.mu.Lock()
		if d.isUp && !d.isLeaving {
			ready = append(ready, d)
		}
		d.mu.Unlock()
	}
	if len(ready) == 0 {
		ready = c.daemons
	}
	return netip.AddrPortFrom(ready[rand.IntN(len(ready))].address, packetPort)
}

// waitReady waits until each daemon says that it takes packets.
func (c *cluster) waitReady() {
	for _, d := range c.daemons {
		deadline := time.Now().Add(10 * time.Second)
		for {
			r, err := http.Get(fmt.Sprintf("http://%s:%d/api/ready", d.address, readyPort))
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				c.t.Fatalf("daemon %d is not ready: %v", d.number, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// isCalm reports whether nothing was done to any daemon or the store for a while before a time.
func (c *cluster) isCalm(at time.Time) bool {
	c.mu.Lock()
	latest := c.storeAt
	c.mu.Unlock()
	for _, d := range c.daemons {
		d.mu.Lock()
		if d.faultAt.After(latest) {
			latest = d.faultAt
		}
		d.mu.Unlock()
	}
	return at.Sub(latest) > calm
}
