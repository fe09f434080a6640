package main

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fulmarfield/fulmarfield/standin/echo"
	"github.com/fulmarfield/fulmarfield/standin/metastore"
)

// Bounds of the small deployments.
const (
	stableWindow = 4 * time.Second
	flowTTL      = 60 * time.Second
	idleTimeout  = 15 * time.Second
	configBound  = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
	graceSeconds = 6
	requestWork  = 30 * time.Millisecond
	// staleness is the age of what lagging replicas of the store return to watches.
	staleness    = 2 * time.Second
	storeLatency = 4 * time.Millisecond
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
)

// zones are those of the small deployment hopkrans-lb, with the number of daemons in each.
var zones = []struct {
	name    string
	daemons int
}{{"schuur", 3}, {"droogvloer", 1}, {"winkel", 2}}

// world holds the stand-ins, the daemons and the record of a run.
type world struct {
	began  time.Time
	dir    string
	binary string
	block  byte
	ports  struct{ packet, ready, peer, endpoint uint16 }
	// guard is bound until the process ends.
	guard   *net.UDPConn
	store   *metastore.Store
	daemons []*daemon
	client  *client

	mu      sync.Mutex
	record  []string
	version int64
	// routes holds the routes in force, with the time at which the store acknowledged each.
	routes    map[netip.AddrPort]time.Time
	endpoints map[netip.Addr]*endpoint
	// disturbedAt is when the present process of an endpoint started, by the endpoint's address. It is empty for those
	// that have run since the beginning.
	disturbedAt map[netip.Addr]time.Time
	// storeDisturbedAt is the last end of a disruption of the store.
	storeDisturbedAt time.Time
}

// daemon is one process of the system.
type daemon struct {
	name, zone string
	address    netip.Addr
	settings   string
	store      *storeProxy
	inRotation atomic.Bool
	misses     int

	mu      sync.Mutex
	process *exec.Cmd
	// disturbedAt is the time of the last start or signal, or of the last disruption of its connections.
	disturbedAt time.Time
	isFrozen    bool
}

// endpoint is an endpoint with its registration. It writes its entry every heartbeat. The store's entry changes only if
// more than the number of the heartbeat does.
type endpoint struct {
	*echo.Upstream
	id, service, zone string
	instance          uint64
	address           netip.AddrPort
	// runsBefore holds the requests that ran in earlier processes.
	runsBefore map[string]int
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record = append(w.record, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) address(role, high, low int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.block, byte(role<<4 | high), byte(low)})
}

// Roles of addresses.
const (
	roleDaemon = iota + 1
	roleEndpoint
	roleClient
	roleStore
	roleGuard
)

// guardPort is the port whose socket shows that a run uses a block of addresses.
const guardPort = 19_999

// claimAddresses selects a block of loopback addresses that no other run uses, and ports that are free there.
func (w *world) claimAddresses() error {
	var err error
	for range 50 {
		w.block = byte(128 + rand.IntN(100))
		first := uint16(20_000 + rand.IntN(9000))
		w.ports.packet, w.ports.ready, w.ports.peer, w.ports.endpoint = first, first+1, first+2, first+3
		if w.guard, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.address(roleGuard, 0, 1), guardPort))); err != nil {
			continue
		}
		if err = w.checkPorts(); err == nil {
			return nil
		}
	}
	return err
}

// checkPorts returns an error if another program uses one of the ports on all addresses.
func (w *world) checkPorts() error {
	for _, port := range []uint16{w.ports.packet, w.ports.ready, w.ports.peer, w.ports.endpoint} {
		at := netip.AddrPortFrom(w.address(roleGuard, 0, 2), port)
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return err
		}
		_ = udp.Close()
		tcp, err := net.Listen("tcp4", at.String())
		if err != nil {
			return err
		}
		_ = tcp.Close()
	}
	return nil
}

// newWorld starts the store, the endpoints, the daemons, the router and a client.
func newWorld(binary string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		began: time.Now(), dir: dir, binary: binary, store: metastore.New(),
		routes: map[netip.AddrPort]time.Time{}, endpoints: map[netip.Addr]*endpoint{},
		disturbedAt: map[netip.Addr]time.Time{},
	}
	if err := w.claimAddresses(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(w.address(roleStore, 0, 1), 0).String())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(w.serveStore)) }()
	for n := range 14 {
		if err := w.addEndpoint(n, "bindery"); err != nil {
			return nil, err
		}
	}
	for n := range 4 {
		if err := w.addEndpoint(14+n, "galerij"); err != nil {
			return nil, err
		}
	}
	for zone, z := range zones {
		for n := range z.daemons {
			d := &daemon{name: fmt.Sprintf("front-%s-%d", z.name, n+1), zone: z.name, address: w.address(roleDaemon, zone, n+1)}
			if d.store, err = startStoreProxy(w.address(roleStore, 1, len(w.daemons)+1), listener.Addr().String()); err != nil {
				return nil, err
			}
			w.daemons = append(w.daemons, d)
		}
	}
	for _, d := range w.daemons {
		if err := w.writeSettings(d); err != nil {
			return nil, err
		}
		if err := w.start(d, binary); err != nil {
			return nil, err
		}
	}
	go w.probe()
	w.client, err = startClient(netip.AddrPortFrom(w.address(roleClient, 0, 1), w.ports.packet), w.route)
	return w, err
}

func (w *world) writeSettings(d *daemon) error {
	d.settings = filepath.Join(w.dir, d.name+".ini")
	at := func(port uint16) string { return netip.AddrPortFrom(d.address, port).String() }
	seeds := fmt.Sprintf("%s:1,%s:1,%s:1", w.daemons[0].address, w.daemons[3].address, w.daemons[4].address)
	return os.WriteFile(d.settings, []byte(fmt.Sprintf(
		"name = %s\nzone = %s\npacket-address = %s\nready-address = %s\nadmin-address = %s\nstore-address = %s\n"+
			"grace-seconds = %d\nconfiguration-bound-ms = %d\ndrain-bound-ms = 3000\nupstream-heartbeat-ms = %d\nseeds = %s\n",
		d.name, d.zone, at(w.ports.packet), at(w.ports.ready), at(w.ports.peer), d.store.listener.Addr(),
		graceSeconds, configBound.Milliseconds(), heartbeat.Milliseconds(), seeds)), 0o600)
}

// start starts a daemon with the command of the deploy file.
func (w *world) start(d *daemon, binary string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = exec.Command(binary, "in-band")
	d.process.Env = []string{"FULMARFIELD_CONFIG=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	log, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.process.Stdout, d.process.Stderr = log, log
	d.disturbedAt = time.Now()
	return d.process.Start()
}

// freeze stops a daemon, and wakes it after a time.
func (w *world) freeze(d *daemon, length time.Duration) {
	w.log("%s freezes for %.2f s", d.name, length.Seconds())
	d.signal(syscall.SIGSTOP, true)
	time.Sleep(length)
	d.signal(syscall.SIGCONT, false)
	w.log("%s wakes", d.name)
}

func (d *daemon) signal(s syscall.Signal, isFrozen bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbedAt, d.isFrozen = time.Now(), isFrozen
	_ = d.process.Process.Signal(s)
}

// isInTouch reports whether the daemon had no disruption for the stable window.
func (d *daemon) isInTouch(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.isFrozen && at.Sub(d.disturbedAt) > stableWindow
}

// stop ends all processes that the run started.
func (w *world) stop() {
	for _, d := range w.daemons {
		d.mu.Lock()
		if d.process != nil && d.process.Process != nil {
			_ = d.process.Process.Kill()
			_ = d.process.Wait()
		}
		d.mu.Unlock()
	}
}

func (w *world) addEndpoint(n int, service string) error {
	instance := uint64(0xa0000 + n*7919)
	e := &endpoint{
		id: fmt.Sprintf("i-%06x", instance), service: service, zone: zones[n%len(zones)].name, instance: instance,
		address: netip.AddrPortFrom(w.address(roleEndpoint, 0, n+1), w.ports.endpoint), runsBefore: map[string]int{},
	}
	if err := w.startEndpoint(e); err != nil {
		return err
	}
	w.endpoints[e.address.Addr()] = e
	w.store.Put("servers", e.id, e.entry())
	return nil
}

// startEndpoint starts a process of an endpoint, which knows nothing of an earlier one.
func (w *world) startEndpoint(e *endpoint) error {
	u, err := echo.StartUpstream(e.id, e.instance, e.address, w.ports.packet)
	if err != nil {
		return err
	}
	u.SetWork(requestWork)
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.Upstream != nil {
		for text, n := range e.Runs() {
			e.runsBefore[text] += n
		}
	}
	e.Upstream = u
	return nil
}

// entry returns what the endpoint's present process writes to the store.
func (e *endpoint) entry() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": echo.Slots,
		"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": e.StartedAt.UnixMilli(),
	}
}

// countRuns returns how often each request ran.
func (w *world) countRuns() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := map[string]int{}
	for _, e := range w.endpoints {
		for text, n := range e.Runs() {
			total[text] += n
		}
		for text, n := range e.runsBefore {
			total[text] += n
		}
	}
	return total
}

// logRuns records how many requests ran once, and how many ran more often.
func (w *world) logRuns() {
	once, more := 0, 0
	for _, n := range w.countRuns() {
		if n == 1 {
			once++
		} else {
			more++
		}
	}
	w.log("requests run once %d, run more often %d", once, more)
}

// safeRoute is the number of the route whose requests may be repeated.
const safeRoute = 1

// serviceAddress is the address of a route.
func serviceAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(number >> 8), byte(number)}), 8443)
}

// addRoutes writes the next configuration with further routes, and returns when the store has acknowledged it.
func (w *world) addRoutes(numbers ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + rand.Int64N(5)
	for _, n := range numbers {
		w.routes[serviceAddress(n)] = time.Time{}
	}
	var routes []map[string]any
	for _, a := range slices.SortedFunc(maps.Keys(w.routes), netip.AddrPort.Compare) {
		kind := "unsafe"
		if a == serviceAddress(safeRoute) {
			kind = "safe"
		}
		routes = append(routes, map[string]any{
			"name": "r-" + a.Addr().String(), "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()),
			"kind": kind, "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "service": "bindery", "attempts": 2,
		})
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes,
		"services": []any{map[string]any{"name": "bindery", "health_path": "/health"}, map[string]any{"name": "galerij", "health_path": "/health"}},
		"limits":   map[string]any{"idle_timeout_ms": idleTimeout.Milliseconds()},
	})
	for _, n := range numbers {
		w.routes[serviceAddress(n)] = time.Now()
	}
}

// probe queries the readiness of each daemon twice a second. After two misses a daemon is out of rotation until it
// responds again.
func (w *world) probe() {
	c := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range w.daemons {
		go func() {
			for ; ; time.Sleep(time.Until(time.Now().Truncate(probePeriod).Add(probePeriod))) {
				ok := false
				response, err := c.Get("http://" + netip.AddrPortFrom(d.address, w.ports.ready).String() + "/api/ready")
				if err == nil {
					ok = response.StatusCode == http.StatusOK
					_ = response.Body.Close()
				}
				if d.misses++; ok {
					d.misses = 0
				}
				was := d.inRotation.Load()
				d.inRotation.Store(ok || was && d.misses < 2)
				if was != d.inRotation.Load() {
					w.log("%s in rotation: %v", d.name, !was)
				}
			}
		}()
	}
}

// route selects the daemon for a packet of a flow as the routers do with hash "mod". The client is in the first zone.
func (w *world) route(local, service netip.AddrPort) netip.AddrPort {
	var all, list []*daemon
	for _, d := range w.daemons {
		if d.zone == zones[0].name {
			all = append(all, d)
			if d.inRotation.Load() {
				list = append(list, d)
			}
		}
	}
	if 2*len(list) < len(all) {
		list = all
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, local, service)
	return netip.AddrPortFrom(list[h.Sum64()%uint64(len(list))].address, w.ports.packet)
}

// daemonAt returns the daemon with an address, or nil.
func (w *world) daemonAt(a netip.Addr) *daemon {
	for _, d := range w.daemons {
		if d.address == a {
			return d
		}
	}
	return nil
}

// storeProxy forwards the connections of one daemon to the store, which knows the daemon by the address of the proxy.
type storeProxy struct {
	listener net.Listener
	target   string
	// isLagging makes the responses to watches late.
	isLagging atomic.Bool
}

func startStoreProxy(a netip.Addr, target string) (*storeProxy, error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(a, 0).String())
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: listener, target: target}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *storeProxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: p.listener.Addr().(*net.TCPAddr).IP}}
	server, err := dialer.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()
	_, _ = io.Copy(client, server)
}

// serveStore serves a call of a daemon. Watches of lagging daemons return data that is seconds old.
func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	lag := storeLatency
	if r.URL.Query().Has("watch") && r.URL.Query().Get("stale_ok") == "1" && w.isLagging(r.RemoteAddr) {
		lag = staleness
	}
	// A response is complete before it is delayed.
	buffer := &bufferedResponse{header: rw.Header(), status: http.StatusOK}
	w.store.Handler().ServeHTTP(buffer, r)
	time.Sleep(lag)
	rw.WriteHeader(buffer.status)
	_, _ = rw.Write(buffer.body.Bytes())
}

func (w *world) isLagging(remote string) bool {
	from, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	for _, d := range w.daemons {
		if d.store != nil && d.store.isLagging.Load() && d.store.listener.Addr().(*net.TCPAddr).AddrPort().Addr().Unmap() == from.Addr().Unmap() {
			return true
		}
	}
	return false
}

// bufferedResponse is an http.ResponseWriter that keeps the response.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header            { return b.header }
func (b *bufferedResponse) WriteHeader(status int)         { b.status = status }
func (b *bufferedResponse) Write(text []byte) (int, error) { return b.body.Write(text) }

// waitReady waits until all daemons are in rotation and in touch.
func (w *world) waitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := true
		for _, d := range w.daemons {
			ready = ready && d.inRotation.Load() && d.isInTouch(time.Now())
		}
		if ready {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ctx.Err()
}
