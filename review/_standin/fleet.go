package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments (SYSTEM.md, grown/LATER.md).
const (
	stableWindow  = 5 * time.Second // The longer one of hopkrans-lb and hopkrans-lb-grown.
	flowTTL       = 60 * time.Second
	graceSeconds  = 6
	boundMS       = 3000
	probeInterval = 500 * time.Millisecond
	callTimeout   = 5 * time.Second
)

// daemon is one process of the product.
type daemon struct {
	name, zone, settings string
	packet               netip.AddrPort
	ready                netip.AddrPort
	logFile              string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (d *daemon) start() error {
	out, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command("target/fulmar-balancer", "in-band")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARFIELD_CONFIG=" + d.settings}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	setStarted(command.Process, true)
	exited := make(chan struct{})
	d.mu.Lock()
	d.command, d.exited = command, exited
	d.mu.Unlock()
	go func() {
		_ = command.Wait()
		setStarted(command.Process, false)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Signal(s)
}

// stop sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (d *daemon) stop() error {
	if err := d.signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-d.exited:
	case <-time.After(graceSeconds * time.Second):
		_ = d.signal(syscall.SIGKILL)
		<-d.exited
	}
	return nil
}

// started are the processes that were started and not waited for yet.
var started struct {
	sync.Mutex
	processes map[*os.Process]bool
}

func setStarted(p *os.Process, isRunning bool) {
	started.Lock()
	defer started.Unlock()
	if started.processes == nil {
		started.processes = map[*os.Process]bool{}
	}
	if isRunning {
		started.processes[p] = true
	} else {
		delete(started.processes, p)
	}
}

// killStarted ends all processes that run.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for p := range started.processes {
		_ = p.Kill()
	}
}

// router forwards clients' packets as the platform's routers do: by a hash of the addresses and ports
// over the daemons of the zone that are in rotation.
type router struct {
	mu       sync.Mutex
	daemons  []*daemon
	rotation map[*daemon]bool
	record   *record
}

func newRouter(daemons []*daemon, rec *record) *router {
	r := &router{daemons: daemons, rotation: map[*daemon]bool{}, record: rec}
	for _, d := range daemons {
		go r.probe(d)
	}
	return r
}

// probe queries the ready address of a daemon twice a second; after two misses the daemon is out of
// rotation until it responds again.
func (r *router) probe(d *daemon) {
	caller := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for range time.Tick(probeInterval) {
		response, err := caller.Get("http://" + d.ready.String() + "/api/ready")
		isReady := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if misses++; isReady {
			misses = 0
		}
		r.mu.Lock()
		was := r.rotation[d]
		r.rotation[d] = isReady || was && misses < 2
		now := r.rotation[d]
		r.mu.Unlock()
		if was != now {
			r.record.note("router: %s in rotation: %v", d.name, now)
		}
	}
}

func (r *router) route(zone string, src, dst netip.AddrPort) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready []*daemon
	for _, d := range r.daemons {
		if d.zone != zone {
			continue
		}
		all = append(all, d)
		if r.rotation[d] {
			ready = append(ready, d)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(src.String() + dst.String()))
	return ready[h.Sum32()%uint32(len(ready))].packet, len(ready) > 0
}

// allReady reports whether all daemons are in rotation.
func (r *router) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.daemons {
		if !r.rotation[d] {
			return false
		}
	}
	return true
}

// endpointProcess is one process of an endpoint.
type endpointProcess struct {
	id, zone, service string
	args              []string
	command           *exec.Cmd
}

func (e *endpointProcess) start() error {
	e.command = exec.Command(os.Args[0], e.args...)
	e.command.Stderr = os.Stderr
	if err := e.command.Start(); err != nil {
		return err
	}
	setStarted(e.command.Process, true)
	return nil
}

// kill ends the process with SIGKILL.
func (e *endpointProcess) kill() {
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
	setStarted(e.command.Process, false)
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir       string
	base      [2]byte
	layout    []place
	port      uint16
	store     *metadataStore
	storeAt   string
	daemons   []*daemon
	endpoints []*endpointProcess
	clients   []*client
	router    *router
	record    *record
	version   int
	routes    []map[string]any
	disturbed map[string][]time.Time
}

// place is one zone of a deployment. endpoints counts the endpoints of each service there.
type place struct {
	zone      string
	daemons   int
	endpoints map[string]int
}

// twoZones is the layout of most cases.
var twoZones = []place{
	{"schuur", 3, map[string]int{"bindery": endpointsPerZone}}, {"winkel", 3, map[string]int{"bindery": endpointsPerZone}},
}

// tenEndpoints is a layout in which one endpoint is a tenth of its service.
var tenEndpoints = []place{
	{"schuur", 3, map[string]int{"bindery": flapEndpointsPerZone}}, {"winkel", 3, map[string]int{"bindery": flapEndpointsPerZone}},
}

const (
	endpointsPerZone     = 4
	flapEndpointsPerZone = 5
)

// address returns the loopback address of a host in a zone (from 1; 9 is the platform).
func (d *deployment) address(zone, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.base[0], d.base[1]<<4 | byte(zone), byte(host)})
}

// freePorts returns the first of several ports that are free for UDP and TCP.
func freePorts(count uint16) (uint16, error) {
	for port := uint16(20000); port < 32000; port += count {
		isFree := true
		for p := port; p < port+count && isFree; p++ {
			address := fmt.Sprintf("0.0.0.0:%d", p)
			if u, err := net.ListenPacket("udp4", address); err != nil {
				isFree = false
			} else {
				_ = u.Close()
			}
			if t, err := net.Listen("tcp4", address); err != nil {
				isFree = false
			} else {
				_ = t.Close()
			}
		}
		if isFree {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// newDeployment starts the store and prepares the daemons and the endpoints of a layout.
func newDeployment(dir string, layout []place, firstHeartbeat time.Duration) (*deployment, error) {
	port, err := freePorts(16)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		dir: dir, base: [2]byte{byte(64 + os.Getpid()%128), byte(os.Getpid() / 128 % 16)}, port: port,
		layout: layout, store: newStore(), record: newRecord(), disturbed: map[string][]time.Time{},
	}
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", d.address(9, 1), port))
	if err != nil {
		return nil, err
	}
	d.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, d.store.handler()) }()
	for z, p := range layout {
		host := 100
		for _, service := range slices.Sorted(maps.Keys(p.endpoints)) {
			for range p.endpoints[service] {
				d.addEndpoint(z+1, host, p.zone, service, firstHeartbeat)
				host++
			}
		}
		for i := range p.daemons {
			if err := d.addDaemon(z+1, p.zone, i); err != nil {
				return nil, err
			}
		}
	}
	return d, nil
}

// addEndpoint prepares an endpoint.
func (d *deployment) addEndpoint(z, host int, zone, service string, firstHeartbeat time.Duration) {
	id := fmt.Sprintf("i-%02x%02xa%05x", z, host-99, os.Getpid())
	d.endpoints = append(d.endpoints, &endpointProcess{id: id, zone: zone, service: service, args: []string{
		"endpoint", "-id", id, "-service", service, "-zone", zone, "-store", d.storeAt,
		"-address", fmt.Sprintf("%s:%d", d.address(z, host), d.port+4), "-client-port", fmt.Sprint(d.port),
		"-first-heartbeat", firstHeartbeat.String(), "-log", filepath.Join(d.dir, "endpoint-"+id+".log"),
	}})
}

// addDaemon writes the settings of a daemon, in the form of deploy/settings.ini.template.
func (d *deployment) addDaemon(z int, zone string, i int) error {
	ip := d.address(z, 10+i)
	name := fmt.Sprintf("front-%s-%d", zone, i+1)
	seeds := fmt.Sprintf("%s:%d,%s:%d,%s:%d", d.address(1, 10), d.port+2, d.address(1, 11), d.port+2, d.address(2, 10), d.port+2)
	settings := fmt.Sprintf("name = %s\nzone = %s\npacket-address = %s:%d\nready-address = %s:%d\nadmin-address = %s:%d\n"+
		"store-address = %s\ngrace-seconds = %d\nconfiguration-bound-ms = %d\ndrain-bound-ms = %d\nseeds = %s\n",
		name, zone, ip, d.port, ip, d.port+1, ip, d.port+3, d.storeAt, graceSeconds, boundMS, boundMS, seeds)
	file := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return err
	}
	d.daemons = append(d.daemons, &daemon{
		name: name, zone: zone, settings: file, logFile: filepath.Join(d.dir, name+".log"),
		packet: netip.AddrPortFrom(ip, d.port), ready: netip.AddrPortFrom(ip, d.port+1),
	})
	return nil
}

// service returns the n-th service address.
func (d *deployment) service(n int) netip.AddrPort {
	return netip.AddrPortFrom(d.address(9, 100), uint16(8000+n))
}

// addRoute adds the route of the n-th service address to the configuration and writes it. Its return is
// the acknowledgement.
func (d *deployment) addRoute(n int, kind string) {
	d.appendRoute(n, kind)
	d.writeConfiguration()
	d.record.note("operator: version %d adds route %s", d.version, d.service(n))
}

// appendRoute adds a route to the next version of the configuration.
func (d *deployment) appendRoute(n int, kind string) {
	at := d.service(n)
	d.routes = append(d.routes, map[string]any{
		"name": fmt.Sprintf("r-%d", n), "host": at.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", at.Port()), "kind": kind,
		"timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "service": "bindery", "attempts": 2,
	})
}

// writeConfiguration writes the next version of the configuration.
func (d *deployment) writeConfiguration() {
	d.version += 3
	services := []any{}
	for _, name := range []string{"bindery", "galerij"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": false})
	}
	spec, _ := json.Marshal(map[string]any{
		"version": d.version, "routes": d.routes,
		"services": services,
		"limits":   map[string]any{"idle_timeout_ms": 15000},
	})
	d.store.put("config", "main", spec)
}

// start starts all processes and waits until the routers send to all daemons.
func (d *deployment) start(clientsPerZone int) error {
	for _, e := range d.endpoints {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, x := range d.daemons {
		if err := x.start(); err != nil {
			return err
		}
	}
	d.router = newRouter(d.daemons, d.record)
	for end := time.Now().Add(2 * callTimeout); !d.router.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the daemons did not become ready")
		}
	}
	_, err := d.addClients(clientsPerZone)
	return err
}

// addClients starts clients in each zone and returns them.
func (d *deployment) addClients(perZone int) ([]*client, error) {
	first := len(d.clients)
	for z, p := range d.layout {
		for range perZone {
			n := len(d.clients)
			at := netip.AddrPortFrom(d.address(z+1, 120+n), d.port)
			c, err := startClient(fmt.Sprintf("%s-%d", p.zone, n+1), p.zone, at, d.router, d.record)
			if err != nil {
				return nil, err
			}
			d.clients = append(d.clients, c)
		}
	}
	return d.clients[first:], nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, x := range d.daemons {
		if x.command != nil {
			_ = x.signal(syscall.SIGKILL)
			<-x.exited
		}
	}
	for _, e := range d.endpoints {
		if e.command != nil && e.command.Process != nil {
			e.kill()
		}
	}
}
