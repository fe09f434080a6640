// Package soak runs the balancer as processes, injects faults from outside, and checks the results
// that callers and upstreams see.
package soak_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fulmarfield/fulmarfield/standin/echo"
)

var (
	seeds         = flag.String("soak.seeds", "", "seeds to run, such as 1-50 or 7,9; empty runs the seeds of known regressions")
	faultDuration = flag.Duration("soak.length", 12*time.Second, "time in which faults are injected")
	block         = flag.Int("soak.block", 0, "block of loopback addresses; runs with different blocks may share a machine. The seeds of known regressions run in parallel and use the following blocks, too")
	daemons       = flag.Int("soak.daemons", 4, "number of daemons")
	logDirectory  = flag.String("soak.logs", "", "directory for the logs of the daemons, a file for each seed and daemon; empty keeps none")
	logLevel      = flag.String("soak.loglevel", "warn", "lowest level in the logs of the daemons")
	callers       = flag.Int("soak.callers", 12, "number of callers")
)

const (
	// requestTimeout is the time after which a caller's request fails.
	requestTimeout = 2 * time.Second
	// faultGap is the mean pause between two faults.
	faultGap = 900 * time.Millisecond
	// recoveryTime is the time after the last fault from which every request must succeed.
	recoveryTime = 5 * time.Second
)

// regressions lists the seeds that run by default, with the fault that each one found or the reason to
// run it.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "no failure; the default run of CI"},
	{3, "callers were refused as overloaded without overload where each packet goes to a random daemon; all daemons are killed at once"},
	{202, "no failure; an overload with routers that hash flows, so that daemons refuse callers"},
	{157, "a resumed daemon read data and its retransmissions at once and treated the upstream as unreachable"},
}

// soakRun is one run of a seed.
type soakRun struct {
	*cluster
	random *rand.Rand
	// isOver stops the callers. From isRecovered on every request must succeed.
	isOver, isRecovered atomic.Bool
	requests, failed    atomic.Int64
	refused, notRun     atomic.Int64
	// overloaded is the number of opening packets that daemons have refused as overloaded.
	overloaded atomic.Int64
	problemsMu sync.Mutex
	problems   []string
	// unrun are the requests of which callers know that they have not run.
	unrun []string
}

func (r *soakRun) reportProblem(format string, args ...any) {
	r.problemsMu.Lock()
	defer r.problemsMu.Unlock()
	r.problems = append(r.problems, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func seedList(t *testing.T) []uint64 {
	var list []uint64
	if *seeds == "" {
		for _, r := range regressions {
			list = append(list, r.seed)
		}
	}
	for part := range strings.SplitSeq(*seeds, ",") {
		var from, to uint64
		if part == "" {
			continue
		}
		if n, _ := fmt.Sscanf(part, "%d-%d", &from, &to); n == 1 {
			to = from
		} else if n == 0 {
			t.Fatalf("bad seeds %q", part)
		}
		for s := from; s <= to; s++ {
			list = append(list, s)
		}
	}
	return list
}

// Guards against combinations of faults that violate a guarantee: an established flow is reset or
// moves although its upstream is healthy; a request runs twice, reaches another service or gets a
// wrong answer; a request that was refused has run; a draining upstream or an evacuated zone receives new flows; a
// configuration is in force too late; callers are refused as overloaded without overload; a daemon refuses settings that
// the platform may state, or does not start with them; requests fail after the faults have ended.
func TestSoak(t *testing.T) {
	for i, seed := range seedList(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			b := addressBlock(*block)
			if *seeds == "" {
				t.Parallel()
				b += addressBlock(i)
			}
			r := &soakRun{cluster: newCluster(t, b, *daemons, 8), random: rand.New(rand.NewPCG(seed, 1))}
			r.routesByFlow = routesByFlow(seed)
			r.waitReady()
			var tasks sync.WaitGroup
			for i := range *callers {
				tasks.Go(func() { r.runCaller(i) })
			}
			var faults sync.WaitGroup
			if seed%killAllInterval == 0 {
				r.killAll(&faults, seed)
			}
			r.injectHardLoad(&faults, seed)
			r.injectSettingsChanges(&faults, seed)
			for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
				time.Sleep(time.Duration(r.random.Float64() * 2 * float64(faultGap)))
				r.inject(&faults)
			}
			faults.Wait()
			time.Sleep(recoveryTime)
			r.isRecovered.Store(true)
			time.Sleep(2 * time.Second)
			r.isOver.Store(true)
			tasks.Wait()
			r.checkRuns()
			r.checkEvacuations()
			overloaded := r.checkMetrics(seed)
			t.Logf("%d requests, %d failed; callers refused %d times, by daemons in overload %d times; %d requests not run",
				r.requests.Load(), r.failed.Load(), r.refused.Load(), overloaded, r.notRun.Load())
			for _, p := range r.problems {
				t.Error(p)
			}
			if t.Failed() {
				t.Log("injected faults:\n" + strings.Join(r.log, "\n"))
			}
		})
	}
}

// soakCaller sends the requests of one caller. A request is sent again on a new flow after a refusal or a "not run"
// answer, up to maxAttempts times.
type soakCaller struct {
	*soakRun
	caller  *echo.Caller
	service netip.AddrPort
	number  int
	// request is the present request, "" if it has ended, and sent the number of requests so far. refusals counts how
	// often the present one was refused.
	request        string
	sent, refusals int
}

const maxAttempts = 3

func (r *soakRun) newCaller(c *echo.Caller, number int) *soakCaller {
	return &soakCaller{soakRun: r, caller: c, service: []netip.AddrPort{feed, orders, photos}[number%3], number: number}
}

// runCaller runs one caller, which opens flows and sends requests until the run is over.
func (r *soakRun) runCaller(number int) {
	address := netip.AddrPortFrom(r.address(roleCallers, 0, number+1), packetPort)
	c, err := r.startCaller(address)
	if err != nil {
		r.reportProblem("%v", err)
		return
	}
	defer c.Stop()
	for caller := r.newCaller(c, number); !r.isOver.Load(); {
		caller.useFlow(40)
	}
}

// useFlow opens a flow and sends up to a number of requests on it. It ends early when one fails or the run is over.
func (c *soakCaller) useFlow(requests int) {
	c.beginRequest()
	openedAt := time.Now()
	f, err := c.caller.Open(c.service)
	if err != nil {
		c.recordFailedRequest("open %s: %v", c.service, err)
		c.checkRefusal(err, openedAt)
		c.recordRefusal()
		return
	}
	defer f.Close()
	upstream := ""
	for range requests {
		if c.isOver.Load() {
			return
		}
		c.beginRequest()
		c.requests.Add(1)
		answer, err := f.Request(c.request, requestTimeout)
		if err != nil {
			c.recordFailedRequest("%s on %s: %v", c.request, upstream, err)
			if errors.Is(err, echo.ErrReset) {
				c.checkReset(upstream, c.request)
			}
			c.request = ""
			return
		}
		if echo.IsNotRun(answer, c.request) {
			c.recordFailedRequest("%s on %s: not run", c.request, upstream)
			c.notRun.Add(1)
			c.recordRefusal()
			return
		}
		id := echo.AnsweringUpstream(answer, c.request)
		switch {
		case id == "":
			c.reportProblem("%s got %q", c.request, answer)
		case upstream != "" && id != upstream:
			c.reportProblem("%s moved from %s to %s", c.request, upstream, id)
		}
		upstream = id
		last := c.request
		c.request = ""
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		if f.IsReset() {
			c.checkReset(upstream, "an idle flow of "+last)
			return
		}
	}
}

// beginRequest begins the next request if the last one has ended.
func (c *soakCaller) beginRequest() {
	if c.request == "" {
		c.sent++
		c.request, c.refusals = fmt.Sprintf("%s caller %d request %d", c.service, c.number, c.sent), 0
	}
}

// recordRefusal records that the present request was not run. The caller gives up after maxAttempts.
func (c *soakCaller) recordRefusal() {
	c.refusals++
	if c.refusals < maxAttempts {
		return
	}
	c.problemsMu.Lock()
	defer c.problemsMu.Unlock()
	c.unrun = append(c.unrun, c.request)
	c.request = ""
}

// checkRefusal reports a problem if a caller whose flow did not open got no reset, although neither a daemon nor an
// upstream had a fault lately.
func (r *soakRun) checkRefusal(err error, openedAt time.Time) {
	if errors.Is(err, echo.ErrReset) {
		r.refused.Add(1)
		return
	}
	now := time.Now()
	r.mu.Lock()
	wasQuiet := now.Sub(r.lastUpstreamFaultAt) > quietPeriod
	r.mu.Unlock()
	for _, d := range r.daemons {
		wasQuiet = wasQuiet && d.wasQuiet(now, quietPeriod)
	}
	if wasQuiet {
		r.reportProblem("a flow that was sent at %s was neither opened nor refused", openedAt.Format("05.000"))
	}
}

func (r *soakRun) recordFailedRequest(format string, args ...any) {
	r.failed.Add(1)
	if r.isRecovered.Load() {
		r.reportProblem("after recovery: "+format, args...)
	}
}

// checkReset reports a problem if a flow was reset although its upstream had no fault in the
// quietPeriod before.
func (r *soakRun) checkReset(id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.upstreamServers[id]; s != nil && time.Since(s.lastFaultAt) > quietPeriod {
		r.reportProblem("%s was reset although %s is healthy", what, id)
	}
}

// checkRuns checks that upstreams ran requests of their service only, and unsafe requests at most once.
func (r *soakRun) checkRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := map[string]int{}
	for id, s := range r.upstreamServers {
		for request, n := range s.Runs() {
			total[request] += n
			if strings.HasPrefix(request, photos.String()) != (s.service == "galerij") {
				r.reportProblem("%s of %s ran %q", id, s.service, request)
			}
		}
	}
	for _, request := range r.unrun {
		if total[request] > 0 {
			r.problems = append(r.problems, fmt.Sprintf("%q was refused and ran %d times", request, total[request]))
		}
	}
	for request, n := range total {
		if strings.HasPrefix(request, orders.String()) && n > 1 {
			r.problems = append(r.problems, fmt.Sprintf("%q ran %d times", request, n))
		}
	}
}

// inject starts one random fault. Lasting faults end in a goroutine of their own, so that faults
// overlap.
func (r *soakRun) inject(tasks *sync.WaitGroup) {
	d := r.daemons[r.random.IntN(len(r.daemons))]
	duration := time.Duration(500+r.random.IntN(2500)) * time.Millisecond
	switch r.random.IntN(9) {
	case 0, 1:
		s := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[r.random.IntN(2)]
		r.restart(tasks, d, s, duration)
	case 2:
		r.pause(tasks, d, duration)
	case 3, 4:
		r.injectStoreFault(tasks, proxyFault(1+r.random.IntN(int(proxyFaultCount)-1)), r.random.IntN(2) == 0, d, duration)
	case 5:
		r.dropHistory(tasks)
	case 6:
		r.replaceUpstream(tasks)
	case 7:
		r.silenceUpstream(tasks, duration)
	case 8:
		r.addRoute(tasks)
	}
}

// routesByFlow reports whether routers hash flows in the run of a seed. In the other runs each packet goes to a random
// daemon.
func routesByFlow(seed uint64) bool { return seed%2 == 0 }

// killAllInterval limits the kill of all daemons to every third seed. The other seeds, which include
// regressions, keep their sequence of faults.
const killAllInterval = 3

// killAll kills all daemons at once, at a random time within the run.
func (r *soakRun) killAll(tasks *sync.WaitGroup, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	at, down := time.Duration(random.Int64N(int64(*faultDuration))), time.Duration(random.Int64N(int64(time.Second)))
	tasks.Go(func() {
		time.Sleep(at)
		for _, d := range r.daemons {
			r.restart(tasks, d, syscall.SIGKILL, down)
		}
	})
}

func (r *soakRun) restart(tasks *sync.WaitGroup, d *daemon, s syscall.Signal, down time.Duration) {
	d.mu.Lock()
	isRunning := d.isUp && !d.isLeaving && time.Since(d.lastFaultLocked()) > time.Second
	d.isLeaving = d.isLeaving || isRunning
	d.mu.Unlock()
	if !isRunning {
		return
	}
	tasks.Go(func() {
		r.logEvent("daemon %d receives %s and is down for %s", d.number, s, down)
		r.readRefusals(d)
		r.signal(d, s)
		time.Sleep(down)
		r.start(d)
	})
}

func (r *soakRun) pause(tasks *sync.WaitGroup, d *daemon, duration time.Duration) {
	d.mu.Lock()
	isRunning := d.isUp && !d.isLeaving
	d.mu.Unlock()
	if !isRunning {
		return
	}
	r.logEvent("daemon %d is paused for %s", d.number, duration)
	r.signal(d, syscall.SIGSTOP)
	tasks.Go(func() {
		time.Sleep(duration)
		// The daemon may have been killed in the meantime.
		_ = d.process.Process.Signal(syscall.SIGCONT)
		d.mu.Lock()
		d.recordFaultLocked()
		d.mu.Unlock()
	})
}

func (r *soakRun) injectStoreFault(tasks *sync.WaitGroup, f proxyFault, all bool, d *daemon, duration time.Duration) {
	list := []*daemon{d}
	if all {
		list = r.daemons
	}
	r.logEvent("store fault %d for %d daemons, first daemon %d, for %s", f, len(list), d.number, duration)
	setFault := func(f proxyFault) {
		for _, d := range list {
			d.storeProxy.setFault(f)
			d.mu.Lock()
			d.recordFaultLocked()
			d.mu.Unlock()
		}
	}
	setFault(f)
	tasks.Go(func() {
		time.Sleep(duration)
		setFault(faultNone)
	})
}

// dropHistory adds a route while the store hides changes from watches and stale reads, and compacts its
// history a second later.
func (r *soakRun) dropHistory(tasks *sync.WaitGroup) {
	r.logEvent("the store hides changes and then drops its history")
	r.store.SuspendUpdates()
	r.addRoute(tasks)
	tasks.Go(func() {
		time.Sleep(time.Second)
		r.store.Compact()
	})
}

// addRoute adds a route and checks that callers can open flows to it after configurationBound.
func (r *soakRun) addRoute(tasks *sync.WaitGroup) {
	r.mu.Lock()
	a := netip.AddrPortFrom(feed.Addr(), uint16(9000+len(r.addedRoutes)))
	r.addedRoutes[a] = time.Now()
	number := len(r.addedRoutes)
	r.mu.Unlock()
	r.writeConfiguration()
	r.logEvent("route %s added", a)
	tasks.Go(func() {
		time.Sleep(configurationBound)
		wasQuietBefore := r.wasQuiet(time.Now())
		c, err := r.startCaller(netip.AddrPortFrom(r.address(roleCallers, 1, number), packetPort))
		if err != nil {
			r.reportProblem("%v", err)
			return
		}
		defer c.Stop()
		if _, err := c.Open(a); err != nil && wasQuietBefore && r.wasQuiet(time.Now()) {
			r.reportProblem("route %s is not in force: %v", a, err)
		}
	})
}

// replaceUpstream starts an upstream and drains the oldest one. It checks that the draining upstream
// receives no new flows after configurationBound, and stops it.
func (r *soakRun) replaceUpstream(tasks *sync.WaitGroup) {
	r.mu.Lock()
	var old *upstreamServer
	for _, s := range r.upstreamServers {
		if s.service == "bindery" && s.drainedAt.IsZero() && (old == nil || s.instance < old.instance) {
			old = s
		}
	}
	old.drainedAt = time.Now()
	r.mu.Unlock()
	r.addUpstream(old.service)
	r.setState(old, stateDraining)
	r.logEvent("%s is draining", old.ID)
	tasks.Go(func() {
		time.Sleep(configurationBound + time.Second)
		late := 0
		for _, at := range old.OpenTimes() {
			if at.After(old.drainedAt.Add(configurationBound)) && r.wasQuiet(at) {
				late++
			}
		}
		if late > 0 {
			r.reportProblem("%s received %d flows after its drain", old.ID, late)
		}
		r.mu.Lock()
		old.lastFaultAt = time.Now().Add(time.Hour)
		r.lastUpstreamFaultAt = time.Now()
		r.mu.Unlock()
		r.setState(old, stateStopped)
		old.Stop()
		r.logEvent("%s has stopped", old.ID)
	})
}

func (r *soakRun) silenceUpstream(tasks *sync.WaitGroup, duration time.Duration) {
	r.mu.Lock()
	var s *upstreamServer
	for _, candidate := range r.upstreamServers {
		if candidate.drainedAt.IsZero() && (s == nil || candidate.instance > s.instance) {
			s = candidate
		}
	}
	s.lastFaultAt = time.Now().Add(time.Hour)
	r.lastUpstreamFaultAt = time.Now()
	r.mu.Unlock()
	r.logEvent("%s is silent for %s", s.ID, duration)
	s.SetSilent(true)
	tasks.Go(func() {
		time.Sleep(duration)
		s.SetSilent(false)
		r.mu.Lock()
		defer r.mu.Unlock()
		s.lastFaultAt = time.Now()
		r.lastUpstreamFaultAt = s.lastFaultAt
	})
}
