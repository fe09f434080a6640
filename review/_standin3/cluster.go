package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarfield/fulmarfield/standin/echo"
	"github.com/fulmarfield/fulmarfield/standin/metastore"
)

// Figures of the site hopkrans-lb.
const (
	daemonCount     = 3
	heartbeat       = 1200 * time.Millisecond
	probeInterval   = 500 * time.Millisecond
	missesUntilOut  = 2
	requestDeadline = 2 * time.Second
	stableWindow    = 4 * time.Second
	configApply     = 3 * time.Second
	recovery        = 12 * time.Second
	restartDelay    = 980 * time.Millisecond
)

var zones = []string{"schuur", "droogvloer", "winkel"}

// cluster is a small deployment: daemons as processes, and stand-ins of the store, the endpoints, the routers and the
// clients in this process.
type cluster struct {
	directory, template, program string
	octet                        byte
	port                         uint16
	record                       *log.Logger
	store                        *metastore.Store
	storeServer                  *http.Server
	storeAddress                 string
	daemons                      []*daemon
	spare                        *daemon
	endpoints                    []*endpoint
	caller                       *echo.Caller

	mu      sync.Mutex
	changes settings
	// overwritten holds the endpoints whose entries another writer has overwritten.
	overwritten map[string]bool
	stopped     bool
	ctx         context.Context
	cancel      context.CancelFunc
	waiters     sync.WaitGroup
}

// daemon is a process of the balancer with its place.
type daemon struct {
	name, zone string
	ip         netip.Addr
	file       string
	mu         sync.Mutex
	process    *os.Process
	starts     int
	misses     int
	isOut      bool
	// disturbedAt is the time of the last start or signal.
	disturbedAt time.Time
}

// endpoint is an endpoint with its entry in the store.
type endpoint struct {
	*echo.Upstream
	service, zone string
}

func newCluster(record *log.Logger, directory string) (*cluster, error) {
	template, err := os.ReadFile("deploy/settings.ini.template")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		directory: directory, template: string(template), program: "target/fulmar-balancer", record: record,
		octet: byte(100 + rand.IntN(100)), port: uint16(21_000 + 10*rand.IntN(900)), store: metastore.New(), changes: settings{}, overwritten: map[string]bool{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.storeAddress = c.address(9, 1, 9).String()
	if err := c.serveStore(c.storeAddress); err != nil {
		return nil, err
	}
	for i := range 8 {
		if err := c.addEndpoint(i, []string{"bindery", "bindery", "bindery", "galerij"}[i%4]); err != nil {
			return nil, err
		}
	}
	for i := range daemonCount {
		c.daemons = append(c.daemons, c.newDaemon(i))
	}
	c.spare = c.newDaemon(daemonCount)
	if c.caller, err = echo.StartCaller(c.address(5, 1, 2), nil); err != nil {
		return nil, err
	}
	c.caller.RouteFlows(c.route)
	return c, nil
}

// newDaemon returns a daemon that does not run yet.
func (c *cluster) newDaemon(number int) *daemon {
	zone := zones[number%len(zones)]
	return &daemon{
		name: fmt.Sprintf("front-%s-%d", zone, 1+number/len(zones)), zone: zone, ip: c.address(1, byte(number+1), 0).Addr(),
		file: filepath.Join(c.directory, fmt.Sprintf("node-%d.ini", number)),
	}
}

// addDaemon starts the spare machine, and returns when it is in rotation.
func (c *cluster) addDaemon() (*daemon, error) {
	d := c.spare
	d.isOut, d.misses = true, missesUntilOut
	c.mu.Lock()
	c.daemons = append(c.daemons, d)
	c.mu.Unlock()
	c.waiters.Add(1)
	go c.keepRunning(d)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		d.mu.Lock()
		isIn := !d.isOut
		d.mu.Unlock()
		if isIn {
			return d, nil
		}
	}
	return nil, errors.New("the added daemon is not ready in 15 s")
}

// all returns the daemons that have been added so far.
func (c *cluster) all() []*daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*daemon(nil), c.daemons...)
}

// address returns an address of a kind of machine; the last argument is added to the port of the run.
func (c *cluster) address(kind, number byte, offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, c.octet, kind, number}), c.port+offset)
}

// serveStore begins to serve the store at an address.
func (c *cluster) serveStore(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	c.storeServer = &http.Server{Handler: c.store.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			c.record.Printf("store: %v", err)
		}
	}(c.storeServer)
	return nil
}

func (c *cluster) addEndpoint(number int, service string) error {
	instance := uint64(0xa0000 + number)
	u, err := echo.StartUpstream(fmt.Sprintf("i-%x", instance), instance, c.address(3, byte(number+1), 8), c.port+2)
	if err != nil {
		return err
	}
	e := &endpoint{u, service, zones[number%len(zones)]}
	c.endpoints = append(c.endpoints, e)
	c.register(e)
	return nil
}

// register writes the entry of an endpoint.
func (c *cluster) register(e *endpoint) {
	c.store.Put("servers", e.ID, map[string]any{
		"service": e.service, "address": e.Address().String(), "zone": e.zone, "version": "v1", "slots": echo.Slots,
		"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": e.StartedAt.UnixMilli(),
	})
}

// fields returns the platform's settings of a daemon.
func (c *cluster) fields(d *daemon) settings {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := func(offset uint16) string { return netip.AddrPortFrom(d.ip, c.port+offset).String() }
	seeds := []any{}
	for _, other := range c.daemons {
		seeds = append(seeds, netip.AddrPortFrom(other.ip, c.port+4).String())
	}
	bounds := map[string]any{
		"grace_s": 6, "config_apply_ms": int(configApply.Milliseconds()), "drain_ms": 3000, "stable_window_ms": int(stableWindow.Milliseconds()),
	}
	platform := map[string]any{"address": c.storeAddress}
	for name, value := range c.changes {
		bounds[name] = value
	}
	return settings{
		"node": d.name, "zone": d.zone, "ip": d.ip.String(), "internal_ports": []any{int(c.port + 5), int(c.port + 7)}, "seeds": seeds,
		"listen": map[string]any{"datagram_addr": at(2), "ready": at(3), "control": at(4)}, "bounds": bounds, "platform": platform,
	}
}

// writeSettings places the settings file of a daemon.
func (c *cluster) writeSettings(d *daemon) {
	next := d.file + ".next"
	err := os.WriteFile(next, []byte(c.fields(d).render(c.template)), 0o600)
	if err == nil {
		err = os.Rename(next, d.file)
	}
	if err != nil {
		c.record.Printf("settings of %s: %v", d.name, err)
	}
}

// startAll starts all daemons, which the platform starts again after each end, and the probes of the routers.
func (c *cluster) startAll() {
	for _, d := range c.daemons {
		c.writeSettings(d)
		c.waiters.Add(1)
		go c.keepRunning(d)
	}
	go c.probe()
}

// withoutPath writes text without the path of the temporary folder.
type withoutPath struct {
	io.Writer
	path string
}

func (w withoutPath) Write(text []byte) (int, error) {
	_, err := w.Writer.Write(bytes.ReplaceAll(text, []byte(w.path), []byte("settings")))
	return len(text), err
}

// keepRunning starts the process of a daemon again whenever it ends, with the settings in force then.
func (c *cluster) keepRunning(d *daemon) {
	defer c.waiters.Done()
	for {
		c.mu.Lock()
		if c.stopped {
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.writeSettings(d)
		out, err := os.OpenFile(filepath.Join(c.directory, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			c.record.Printf("log of %s: %v", d.name, err)
			return
		}
		command := exec.Command(c.program, "in-band")
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARFIELD_CONFIG=" + d.file}
		command.Stdout, command.Stderr = out, io.MultiWriter(out, withoutPath{c.record.Writer(), c.directory})
		if err := command.Start(); err != nil {
			c.record.Printf("start of %s: %v", d.name, err)
			return
		}
		d.mu.Lock()
		d.process, d.starts, d.disturbedAt = command.Process, d.starts+1, time.Now()
		d.mu.Unlock()
		c.mu.Lock()
		if c.stopped {
			_ = command.Process.Kill()
		}
		c.mu.Unlock()
		err = command.Wait()
		_ = out.Close()
		c.record.Printf("%s ended: %v", d.name, err)
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(restartDelay):
		}
	}
}

// signal sends a signal to the process of a daemon.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Signal(s) // It may have ended.
	}
}

// probe takes daemons out of rotation after missed probes, and back after an answered one, as the routers do.
func (c *cluster) probe() {
	client := &http.Client{Timeout: probeInterval}
	for c.ctx.Err() == nil {
		for _, d := range c.all() {
			go func() {
				response, err := client.Get("http://" + netip.AddrPortFrom(d.ip, c.port+3).String() + "/api/ready")
				if err == nil {
					_ = response.Body.Close()
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if d.misses++; err == nil && response.StatusCode == http.StatusOK {
					d.misses = 0
				}
				d.isOut = d.misses >= missesUntilOut
			}()
		}
		time.Sleep(probeInterval)
	}
}

// route returns the daemon to which the routers send the packets of a flow: the hash over the daemons in rotation,
// or over all if less than half are.
func (c *cluster) route(port uint16) netip.AddrPort {
	var in []*daemon
	daemons := c.all()
	for _, d := range daemons {
		d.mu.Lock()
		if !d.isOut {
			in = append(in, d)
		}
		d.mu.Unlock()
	}
	if 2*len(in) < len(daemons) {
		in = daemons
	}
	return netip.AddrPortFrom(in[int(port)%len(in)].ip, c.port+2)
}

// waitReady waits until all daemons are ready.
func (c *cluster) waitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range c.daemons {
			d.mu.Lock()
			if d.starts > 0 && d.misses == 0 {
				ready++
			}
			d.mu.Unlock()
		}
		if ready == len(c.daemons) {
			time.Sleep(2 * probeInterval)
			return nil
		}
	}
	return errors.New("daemons are not ready in 10 s")
}

// stop ends all processes that were started.
func (c *cluster) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.cancel()
	for _, d := range c.all() {
		d.signal(syscall.SIGKILL)
	}
	c.waiters.Wait()
	_ = c.storeServer.Close()
}

// putConfiguration writes a version of the configuration. routes maps addresses to services.
func (c *cluster) putConfiguration(version int, routes map[netip.AddrPort]string) {
	var list []map[string]any
	for address, service := range routes {
		list = append(list, map[string]any{
			"name": "r-" + service + "-" + address.String(), "host": address.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", address.Port()),
			"kind": "safe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": service, "attempts": 2,
		})
	}
	body := map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": "bindery", "health_path": "/health"}, map[string]any{"name": "galerij", "health_path": "/health"}},
		"limits":   map[string]any{"idle_timeout_ms": 15000},
	}
	raw, _ := json.Marshal(body) // The maps of this program can always be encoded.
	c.store.Put("config", "main", raw)
	c.record.Printf("configuration %d acknowledged", version)
}

// request sends one request on a flow of its own, and returns the ID of the endpoint that answered, or an error.
func (c *cluster) request(service netip.AddrPort, text string) (string, error) {
	f, err := c.caller.Open(service)
	if err != nil {
		return "", err
	}
	defer f.Close()
	answer, err := f.Request(text, requestDeadline)
	if err != nil {
		return "", err
	}
	return echo.AnsweringUpstream(answer, text), nil
}

// serviceOf returns the service of the endpoint with an ID, "" if there is none.
func (c *cluster) serviceOf(id string) string {
	for _, e := range c.endpoints {
		if e.ID == id {
			return e.service
		}
	}
	return ""
}
