package soak_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	// evacuationBound is the time after which an evacuated zone gets no new flow.
	evacuationBound = 3 * time.Second
	// zoneCount is the number of availability zones. Daemons and upstreams are distributed over them evenly.
	zoneCount = 3
)

// Offsets of the second octet of loopback addresses, by role, within the block of a run.
const (
	roleDaemons = iota
	roleCallers
	roleUpstreams
	roleProxies
	roleCount
)

// baseSecondOctet is the second octet of block 0. The tests of other packages use lower ones.
const baseSecondOctet = 60

// addressBlock is a block of loopback addresses. Runs with different blocks may share a machine.
type addressBlock int

// address returns an address of a role in the block.
func (b addressBlock) address(role, high, low int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(baseSecondOctet + int(b)*roleCount + role), byte(high), byte(low)})
}

// Addresses of the routes: feed serves safe requests, orders unsafe requests and photos downloads.
var (
	feed   = netip.MustParseAddrPort("198.18.0.1:8443")
	orders = netip.MustParseAddrPort("198.18.0.1:8080")
	photos = netip.MustParseAddrPort("198.18.0.2:8443")
)

// daemon is one process of the balancer.
type daemon struct {
	number  int
	address netip.Addr
	// settings is the path of the settings file.
	settings   string
	storeProxy *proxy
	mu         sync.Mutex
	// storeListener accepts connections at the address of the store that the settings name, and figures are bounds in
	// the settings.
	storeListener net.Listener
	figures       map[string]string
	process       *exec.Cmd
	isUp          bool
	isLeaving     bool
	// faults are the times of the starts, signals and store faults of the daemon.
	faults []time.Time
}

// recordFaultLocked records a start, a signal, or the begin or end of a store fault.
func (d *daemon) recordFaultLocked() { d.faults = append(d.faults, time.Now()) }

func (d *daemon) lastFaultLocked() time.Time {
	if len(d.faults) == 0 {
		return time.Time{}
	}
	return d.faults[len(d.faults)-1]
}

// wasQuiet reports whether the daemon had no fault in the period before at.
func (d *daemon) wasQuiet(at time.Time, period time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(d.faults, func(f time.Time) bool { return !f.After(at) && at.Sub(f) <= period })
}

// States of the entries of upstreams. An upstream in stateStopped has no entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateStopped  = ""
)

// zoneName returns the availability zone of the daemon or upstream with a number.
func zoneName(number int) string { return fmt.Sprintf("zone-%d", number%zoneCount) }

// upstreamServer is an upstream with the times of its drain and its last fault.
type upstreamServer struct {
	*echo.Upstream
	service   string
	instance  uint64
	drainedAt time.Time
	state     string
	// writes is the number of entries that the upstream has written.
	writes int
	// lastFaultAt is the end of the upstream's last silence. It lies in the future while the upstream
	// is silent and after it has ended.
	lastFaultAt time.Time
}

// cluster holds the store, the daemons and the upstreams of a run.
type cluster struct {
	addressBlock
	t       *testing.T
	binary  string
	store   *metastore.Store
	daemons []*daemon
	// routesByFlow makes routers send all packets of a flow to one daemon while that daemon is up, otherwise each
	// packet to a random one.
	routesByFlow bool

	mu              sync.Mutex
	upstreamServers map[string]*upstreamServer
	nextUpstream    int
	version         int64
	addedRoutes     map[netip.AddrPort]time.Time
	// lastStoreFaultAt is the time of the last fault of the store that affected all daemons.
	lastStoreFaultAt time.Time
	// lastUpstreamFaultAt is the last begin or end of a silence, and the last end of an upstream.
	lastUpstreamFaultAt time.Time
	// work is how long upstreams take for a request.
	work        time.Duration
	evacuations []*evacuation
	// restorations are the times in which the store was unavailable, or lacked writes that it had accepted.
	restorations []interval
	log          []string
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

func newCluster(t *testing.T, b addressBlock, daemons, upstreams int) *cluster {
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{
		addressBlock: b, t: t, binary: binary, store: metastore.New(),
		upstreamServers: map[string]*upstreamServer{}, addedRoutes: map[netip.AddrPort]time.Time{},
	}
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
		storeProxy, listener, err := startProxy(c.address(roleProxies, 0, 1), api.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		d := &daemon{number: i, address: c.address(roleDaemons, i%2, i+1), storeProxy: storeProxy, storeListener: listener}
		d.settings = filepath.Join(t.TempDir(), "settings.ini")
		c.writeSettingsLocked(d)
		c.daemons = append(c.daemons, d)
		c.start(d)
	}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) start(d *daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = exec.Command(c.binary, "in-band", "--settings-file", d.settings, "--log-level", *logLevel)
	if *logDirectory != "" {
		path := filepath.Join(*logDirectory, fmt.Sprintf("%s-%d.log", filepath.Base(c.t.Name()), d.number))
		log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			c.t.Errorf("open log of daemon %d: %v", d.number, err)
			return
		}
		defer func() { _ = log.Close() }() // The process has its own descriptor.
		d.process.Stdout, d.process.Stderr = log, log
	}
	if err := d.process.Start(); err != nil {
		c.t.Errorf("start daemon %d: %v", d.number, err)
		return
	}
	d.isUp, d.isLeaving = true, false
	d.recordFaultLocked()
}

// signal sends a signal and, if the signal ends the process, waits for its end.
func (c *cluster) signal(d *daemon, s syscall.Signal) {
	d.mu.Lock()
	process := d.process
	d.recordFaultLocked()
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
		d.storeProxy.closeListener(d.storeListener)
		d.mu.Unlock()
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
	route := func(a netip.AddrPort, kind, service string, priority int, objective time.Duration) map[string]any {
		return map[string]any{
			"name": a.String(), "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()), "kind": kind, "service": service,
			"priority": priority, "target_latency_ms": objective.Milliseconds(),
		}
	}
	routes := []map[string]any{
		route(feed, "safe", "bindery", 2, 250*time.Millisecond),
		route(orders, "unsafe", "bindery", 1, 250*time.Millisecond),
		route(photos, "download", "galerij", 2, 800*time.Millisecond),
	}
	for a := range c.addedRoutes {
		routes = append(routes, route(a, "safe", "bindery", 2, 250*time.Millisecond))
	}
	c.store.Put("config", "main", map[string]any{"version": c.version, "routes": routes, "services": []any{}, "limits": map[string]any{"idle_timeout_ms": 15000}})
}

// registerLocked writes the entry of an upstream to the store, or removes it if the upstream has stopped.
func (c *cluster) registerLocked(s *upstreamServer) {
	if s.state == stateStopped {
		c.store.Delete("servers", s.ID)
		return
	}
	s.writes++
	c.store.Put("servers", s.ID, map[string]any{
		"service": s.service, "address": s.Address().String(), "zone": zoneName(int(s.instance)), "version": "v1",
		"slots": echo.Slots, "state": s.state, "cold_remaining_ms": 0, "seq": s.writes, "born": s.StartedAt.UnixMilli(),
	})
}

// setState changes the state of an upstream and writes its entry.
func (c *cluster) setState(s *upstreamServer, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.state = state
	c.registerLocked(s)
}

func (c *cluster) addUpstream(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextUpstream++
	instance := uint64(0xa0000 + c.nextUpstream)
	u, err := echo.StartUpstream(fmt.Sprintf("i-%x", instance), instance,
		netip.AddrPortFrom(c.address(roleUpstreams, 0, c.nextUpstream), 9000), packetPort)
	if err != nil {
		c.t.Fatal(err)
	}
	u.SetWork(c.work)
	s := &upstreamServer{Upstream: u, service: service, instance: instance, state: stateReady}
	c.upstreamServers[u.ID] = s
	c.registerLocked(s)
}

// readyDaemons returns the daemons that are up and not leaving, which routers that probe readiness select. If there
// is none, it returns all.
func (c *cluster) readyDaemons() []*daemon {
	var ready []*daemon
	for _, d := range c.daemons {
		d.mu.Lock()
		if d.isUp && !d.isLeaving {
			ready = append(ready, d)
		}
		d.mu.Unlock()
	}
	if len(ready) == 0 {
		return c.daemons
	}
	return ready
}

// pickDaemon returns the packet address of a random daemon.
func (c *cluster) pickDaemon() netip.AddrPort {
	ready := c.readyDaemons()
	return netip.AddrPortFrom(ready[rand.IntN(len(ready))].address, packetPort)
}

// startCaller starts a caller whose packets go to daemons as the run's routers distribute them.
func (c *cluster) startCaller(address netip.AddrPort) (*echo.Caller, error) {
	caller, err := echo.StartCaller(address, c.pickDaemon)
	if err != nil || !c.routesByFlow {
		return caller, err
	}
	caller.RouteFlows(func(port uint16) netip.AddrPort {
		// The daemon with the highest hash changes only for the flows of a daemon that comes or goes.
		best := slices.MaxFunc(c.readyDaemons(), func(a, b *daemon) int {
			return cmp.Compare(a.flowHash(address.Addr(), port), b.flowHash(address.Addr(), port))
		})
		return netip.AddrPortFrom(best.address, packetPort)
	})
	return caller, nil
}

func (d *daemon) flowHash(caller netip.Addr, port uint16) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, caller, port, d.number) // A hash returns no error.
	return h.Sum64()
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
		if last := d.lastFaultLocked(); last.After(latest) {
			latest = last
		}
		d.mu.Unlock()
	}
	return at.Sub(latest) > quietPeriod
}
