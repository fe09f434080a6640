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
	// configurationBound is the time in which a change must be in force. It applies only after
	// quietPeriod without a fault of a daemon, as on the users' platform.
	configurationBound = 3 * time.Second
	quietPeriod        = 4 * time.Second
)

// Offsets of the second octet of loopback addresses, by role, within the block of a run.
const (
	roleDaemons = iota
	roleCallers
	roleUpstreams
	roleProxies
	roleCount
)

// baseSecondOctet is the second octet of block 0.
const baseSecondOctet = 40

// blockAddress returns a loopback address of a role in the block of this run.
func blockAddress(role, high, low int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(baseSecondOctet + *block*roleCount + role), byte(high), byte(low)})
}

// Addresses of the routes: feed serves safe requests, orders unsafe requests and photos downloads.
var (
	feed   = netip.MustParseAddrPort("198.18.0.1:8443")
	orders = netip.MustParseAddrPort("198.18.0.1:8080")
	photos = netip.MustParseAddrPort("198.18.0.2:8443")
)

// daemon is one process of the balancer.
type daemon struct {
	number     int
	address    netip.Addr
	settings   string
	storeProxy *proxy
	mu         sync.Mutex
	process    *exec.Cmd
	isUp       bool
	isLeaving  bool
	// lastFaultAt is the time of the last start, signal or store fault of the daemon.
	lastFaultAt time.Time
}

// upstreamServer is an upstream with the times of its drain and its last fault.
type upstreamServer struct {
	*echo.Upstream
	service   string
	instance  uint64
	drainedAt time.Time
	// lastFaultAt is the end of the upstream's last silence. It lies in the future while the upstream
	// is silent and after it has ended.
	lastFaultAt time.Time
}

// cluster holds the store, the daemons and the upstreams of a run.
type cluster struct {
	t       *testing.T
	binary  string
	store   *metastore.Store
	daemons []*daemon

	mu              sync.Mutex
	upstreamServers map[string]*upstreamServer
	nextUpstream    int
	version         int64
	addedRoutes     map[netip.AddrPort]time.Time
	// lastStoreFaultAt is the time of the last fault of the store that affected all daemons.
	lastStoreFaultAt time.Time
	log              []string
}

func (c *cluster) logEvent(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// build compiles the balancer once for all runs of a test binary.
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
	c := &cluster{t: t, binary: binary, store: metastore.New(), upstreamServers: map[string]*upstreamServer{}, addedRoutes: map[netip.AddrPort]time.Time{}}
	api := httptest.NewServer(c.store.Handler())
	t.Cleanup(api.CloseClientConnections)
	c.writeConfiguration()
	for i := range upstreams {
		service := "bindery"
		if i%4 == 3 {
			service = "galerij"
		}
		c.addUpstream(service)
	}
	for i := range daemons {
		storeProxy, err := startProxy(api.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		d := &daemon{number: i, address: blockAddress(roleDaemons, i%2, i+1), storeProxy: storeProxy}
		d.settings = filepath.Join(t.TempDir(), "settings.ini")
		text := fmt.Sprintf("name = daemon-%d\nzone = zone-%d\npacket-address = %s:%d\nready-address = %s:%d\nadmin-address = %s:%d\nstore-address = %s\nseeds = %s:1,%s:1\n",
			i, i%2, d.address, packetPort, d.address, readyPort, d.address, peerPort, storeProxy.listener.Addr(), blockAddress(roleDaemons, 0, 1), blockAddress(roleDaemons, 1, 2))
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
	d.isUp, d.isLeaving, d.lastFaultAt = true, false, time.Now()
}

// signal sends a signal and, if the signal ends the process, waits for its end.
func (c *cluster) signal(d *daemon, s syscall.Signal) {
	d.mu.Lock()
	process := d.process
	d.lastFaultAt = time.Now()
	d.isLeaving = d.isLeaving || s == syscall.SIGTERM
	d.mu.Unlock()
	if err := process.Process.Signal(s); err != nil {
		c.t.Errorf("signal daemon %d: %v", d.number, err)
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		// A process that was killed always exits with an error.
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
		_ = d.storeProxy.listener.Close()
	}
	for _, s := range c.upstreamServers {
		s.Stop()
	}
}

// writeConfiguration writes the next version of the configuration to the store.
func (c *cluster) writeConfiguration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 1 + rand.Int64N(5)
	route := func(a netip.AddrPort, kind, service string) map[string]any {
		return map[string]any{"name": a.String(), "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()), "kind": kind, "service": service}
	}
	routes := []map[string]any{route(feed, "safe", "bindery"), route(orders, "unsafe", "bindery"), route(photos, "download", "galerij")}
	for a := range c.addedRoutes {
		routes = append(routes, route(a, "safe", "bindery"))
	}
	c.store.Put("config", "main", map[string]any{"version": c.version, "routes": routes, "services": []any{}, "limits": map[string]any{"idle_timeout_ms": 15000}})
}

func (c *cluster) register(s *upstreamServer, state string) {
	c.store.Put("servers", s.ID, map[string]any{
		"service": s.service, "address": s.Address().String(), "zone": fmt.Sprintf("zone-%d", s.instance%2), "version": "v1",
		"slots": 2, "state": state, "cold_remaining_ms": 0, "seq": 1, "born": s.StartedAt.UnixMilli(),
	})
}

func (c *cluster) addUpstream(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextUpstream++
	instance := uint64(0xa0000 + c.nextUpstream)
	u, err := echo.StartUpstream(fmt.Sprintf("i-%x", instance), instance,
		netip.AddrPortFrom(blockAddress(roleUpstreams, 0, c.nextUpstream), 9000), packetPort)
	if err != nil {
		c.t.Fatal(err)
	}
	s := &upstreamServer{Upstream: u, service: service, instance: instance}
	c.upstreamServers[u.ID] = s
	c.register(s, "ready")
}

// pickDaemon returns the packet address of a random daemon that is up and not leaving, as routers that
// probe readiness do. If there is none, it returns that of any daemon.
func (c *cluster) pickDaemon() netip.AddrPort {
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

// waitReady waits until each daemon reports that it is ready for packets.
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

// wasQuiet reports whether neither a daemon nor the store had a fault in the quietPeriod before at.
func (c *cluster) wasQuiet(at time.Time) bool {
	c.mu.Lock()
	latest := c.lastStoreFaultAt
	c.mu.Unlock()
	for _, d := range c.daemons {
		d.mu.Lock()
		if d.lastFaultAt.After(latest) {
			latest = d.lastFaultAt
		}
		d.mu.Unlock()
	}
	return at.Sub(latest) > quietPeriod
}
