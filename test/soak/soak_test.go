// Package soak runs the program as processes, with faults from outside, and checks what callers
// and upstreams see.
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
	seeds   = flag.String("soak.seeds", "", "seeds to run, as 1-50 or 7,9; those that once failed when empty")
	length  = flag.Duration("soak.length", 12*time.Second, "time in which faults begin")
	block   = flag.Int("soak.block", 0, "block of loopback addresses, so that several runs fit one machine")
	daemons = flag.Int("soak.daemons", 4, "number of daemons")
	callers = flag.Int("soak.callers", 12, "number of callers")
)

const (
	// requestTimeout is the caller's deadline, faultGap the mean pause between faults.
	requestTimeout = 2 * time.Second
	faultGap       = 900 * time.Millisecond
	// recovery is how long after the last fault every request must be served again.
	recovery = 5 * time.Second
)

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "no failure; the run that CI always makes"},
	{3, "no failure; a run that kills all daemons at once"},
	{157, "a daemon that stood still read data and its retransmissions at once and took the upstream for dead"},
}

// run is one soak.
type run struct {
	*cluster
	random *rand.Rand
	// isOver stops the callers, isRecovered marks the time in which nothing may fail.
	isOver, isRecovered atomic.Bool
	requests, failed    atomic.Int64
	problemsMu          sync.Mutex
	problems            []string
}

func (r *run) problem(format string, args ...any) {
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

// Guards against whatever combinations of faults break a promise: open flows end or move though
// their upstream lives, a request runs twice, goes to another service, or comes back half; new
// flows go to draining upstreams; configurations come late; the system does not recover.
func TestSoak(t *testing.T) {
	for _, seed := range seedList(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := &run{cluster: newCluster(t, *daemons, 8), random: rand.New(rand.NewPCG(seed, 1))}
			r.waitReady()
			var tasks sync.WaitGroup
			for i := range *callers {
				tasks.Go(func() { r.call(i) })
			}
			var faults sync.WaitGroup
			if seed%killAllEach == 0 {
				r.killAll(&faults, seed)
			}
			for end := time.Now().Add(*length); time.Now().Before(end); {
				time.Sleep(time.Duration(r.random.Float64() * 2 * float64(faultGap)))
				r.inject(&faults)
			}
			faults.Wait()
			time.Sleep(recovery)
			r.isRecovered.Store(true)
			time.Sleep(2 * time.Second)
			r.isOver.Store(true)
			tasks.Wait()
			r.checkRuns()
			t.Logf("%d requests, %d failed", r.requests.Load(), r.failed.Load())
			for _, p := range r.problems {
				t.Error(p)
			}
			if t.Failed() {
				t.Log("what was done:\n" + strings.Join(r.log, "\n"))
			}
		})
	}
}

// call opens flows and sends requests until the run is over.
func (r *run) call(number int) {
	address := netip.AddrPortFrom(r4(hostCallers, 0, number+1), packetPort)
	c, err := echo.StartCaller(address, r.route)
	if err != nil {
		r.problem("%v", err)
		return
	}
	defer c.Stop()
	service := []netip.AddrPort{feed, orders, photos}[number%3]
	for n := 0; !r.isOver.Load(); {
		f, err := c.Open(service)
		if err != nil {
			r.failedRequest("open %s: %v", service, err)
			continue
		}
		n = r.useFlow(f, service, number, n)
		f.Close()
	}
}

// useFlow sends requests on a flow until it fails, is long enough or the run is over.
func (r *run) useFlow(f *echo.Flow, service netip.AddrPort, number, n int) int {
	upstream := ""
	for range 40 {
		if r.isOver.Load() {
			return n
		}
		n++
		request := fmt.Sprintf("%s caller %d request %d", service, number, n)
		r.requests.Add(1)
		answer, err := f.Request(request, requestTimeout)
		if err != nil {
			r.failedRequest("%s on %s: %v", request, upstream, err)
			if errors.Is(err, echo.ErrReset) {
				r.checkReset(upstream, request)
			}
			return n
		}
		id := echo.AnsweringUpstream(answer, request)
		switch {
		case id == "":
			r.problem("%s got %q", request, answer)
		case upstream != "" && id != upstream:
			r.problem("%s moved from %s to %s", request, upstream, id)
		}
		upstream = id
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		if f.IsReset() {
			r.checkReset(upstream, "an idle flow of "+request)
			return n
		}
	}
	return n
}

func (r *run) failedRequest(format string, args ...any) {
	r.failed.Add(1)
	if r.isRecovered.Load() {
		r.problem("after recovery: "+format, args...)
	}
}

// checkReset reports a reset of a flow whose upstream lives and was left alone.
func (r *run) checkReset(id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.servers[id]; s != nil && time.Since(s.harmedAt) > calm {
		go r.problem("%s was reset though %s lives", what, id)
	}
}

// checkRuns looks at what upstreams have run.
func (r *run) checkRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := map[string]int{}
	for id, s := range r.servers {
		for request, n := range s.Runs() {
			total[request] += n
			if strings.HasPrefix(request, photos.String()) != (s.service == "galerij") {
				go r.problem("%s of %s ran %q", id, s.service, request)
			}
		}
	}
	for request, n := range total {
		if strings.HasPrefix(request, orders.String()) && n > 1 {
			r.problems = append(r.problems, fmt.Sprintf("%q ran %d times", request, n))
		}
	}
}

// inject begins one fault; those that last end in a task of their own, so that faults overlap.
func (r *run) inject(tasks *sync.WaitGroup) {
	d := r.daemons[r.random.IntN(len(r.daemons))]
	lasting := time.Duration(500+r.random.IntN(2500)) * time.Millisecond
	switch r.random.IntN(9) {
	case 0, 1:
		s := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[r.random.IntN(2)]
		r.restart(tasks, d, s, lasting)
	case 2:
		r.pause(tasks, d, lasting)
	case 3, 4:
		r.harmLink(tasks, linkFault(1+r.random.IntN(int(linkFaults)-1)), r.random.IntN(2) == 0, d, lasting)
	case 5:
		r.dropHistory(tasks)
	case 6:
		r.replaceServer(tasks)
	case 7:
		r.silence(tasks, lasting)
	case 8:
		r.addRoute(tasks)
	}
}

// killAllEach is every which seed has a kill of all daemons beside its other faults, so that the
// faults of the seeds between, some of which failed once, stay what they were.
const killAllEach = 3

// killAll kills all daemons at once, at a time within the run.
func (r *run) killAll(tasks *sync.WaitGroup, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	at, down := time.Duration(random.Int64N(int64(*length))), time.Duration(random.Int64N(int64(time.Second)))
	tasks.Go(func() {
		time.Sleep(at)
		for _, d := range r.daemons {
			r.restart(tasks, d, syscall.SIGKILL, down)
		}
	})
}

func (r *run) restart(tasks *sync.WaitGroup, d *daemon, s syscall.Signal, down time.Duration) {
	d.mu.Lock()
	isFree := d.isUp && !d.isLeaving && time.Since(d.faultAt) > time.Second
	d.isLeaving = d.isLeaving || isFree
	d.mu.Unlock()
	if !isFree {
		return
	}
	tasks.Go(func() {
		r.note("daemon %d gets %s, is down for %s", d.number, s, down)
		r.signal(d, s)
		time.Sleep(down)
		r.start(d)
	})
}

func (r *run) pause(tasks *sync.WaitGroup, d *daemon, lasting time.Duration) {
	d.mu.Lock()
	isFree := d.isUp && !d.isLeaving
	d.mu.Unlock()
	if !isFree {
		return
	}
	r.note("daemon %d stands still for %s", d.number, lasting)
	r.signal(d, syscall.SIGSTOP)
	tasks.Go(func() {
		time.Sleep(lasting)
		// It may have been killed meanwhile.
		_ = d.process.Process.Signal(syscall.SIGCONT)
		d.mu.Lock()
		d.faultAt = time.Now()
		d.mu.Unlock()
	})
}

func (r *run) harmLink(tasks *sync.WaitGroup, f linkFault, all bool, d *daemon, lasting time.Duration) {
	list := []*daemon{d}
	if all {
		list = r.daemons
	}
	r.note("store: fault %d for %d daemons from %d, for %s", f, len(list), d.number, lasting)
	set := func(f linkFault) {
		for _, d := range list {
			d.link.set(f)
			d.mu.Lock()
			d.faultAt = time.Now()
			d.mu.Unlock()
		}
	}
	set(f)
	tasks.Go(func() {
		time.Sleep(lasting)
		set(linkWorks)
	})
}

// dropHistory changes the configuration while no watch shows it.
func (r *run) dropHistory(tasks *sync.WaitGroup) {
	r.note("the store drops its history")
	r.store.SuspendUpdates()
	r.addRoute(tasks)
	tasks.Go(func() {
		time.Sleep(time.Second)
		r.store.Compact()
	})
}

// addRoute adds a route and checks that callers can use it in time.
func (r *run) addRoute(tasks *sync.WaitGroup) {
	r.mu.Lock()
	a := netip.AddrPortFrom(feed.Addr(), uint16(9000+len(r.extra)))
	r.extra[a] = time.Now()
	number := len(r.extra)
	r.mu.Unlock()
	r.configure()
	r.note("route %s added", a)
	tasks.Go(func() {
		time.Sleep(bound)
		wasCalm := r.isCalm(time.Now())
		c, err := echo.StartCaller(netip.AddrPortFrom(r4(hostCallers, 1, number), packetPort), r.route)
		if err != nil {
			r.problem("%v", err)
			return
		}
		defer c.Stop()
		if _, err := c.Open(a); err != nil && wasCalm && r.isCalm(time.Now()) {
			r.problem("route %s is not in force: %v", a, err)
		}
	})
}

// replaceServer starts an upstream, drains another one, checks that it gets no new flow, and ends
// it.
func (r *run) replaceServer(tasks *sync.WaitGroup) {
	r.mu.Lock()
	var old *server
	for _, s := range r.servers {
		if s.service == "bindery" && s.drainedAt.IsZero() && (old == nil || s.instance < old.instance) {
			old = s
		}
	}
	old.drainedAt = time.Now()
	r.mu.Unlock()
	r.addServer(old.service)
	r.register(old, "draining")
	r.note("%s drains", old.ID)
	tasks.Go(func() {
		time.Sleep(bound + time.Second)
		late := 0
		for _, at := range old.OpenTimes() {
			if at.After(old.drainedAt.Add(bound)) && r.isCalm(at) {
				late++
			}
		}
		if late > 0 {
			r.problem("%s got %d flows after it drained", old.ID, late)
		}
		r.mu.Lock()
		old.harmedAt = time.Now().Add(time.Hour)
		r.mu.Unlock()
		r.store.Delete("servers", old.ID)
		old.Stop()
		r.note("%s has ended", old.ID)
	})
}

func (r *run) silence(tasks *sync.WaitGroup, lasting time.Duration) {
	r.mu.Lock()
	var s *server
	for _, candidate := range r.servers {
		if candidate.drainedAt.IsZero() && (s == nil || candidate.instance > s.instance) {
			s = candidate
		}
	}
	s.harmedAt = time.Now().Add(time.Hour)
	r.mu.Unlock()
	r.note("%s is silent for %s", s.ID, lasting)
	s.SetSilent(true)
	tasks.Go(func() {
		time.Sleep(lasting)
		s.SetSilent(false)
		r.mu.Lock()
		defer r.mu.Unlock()
		s.harmedAt = time.Now()
	})
}
