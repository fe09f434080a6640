package soak_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// overloadCallers is the number of addresses from which additional callers send during an overload, and
	// overloadWorkers the number of callers on each. They keep more requests in progress than the upstreams have slots
	// and queues.
	overloadCallers = 10
	overloadWorkers = 10
	// rewriteTime is the longest time after a restoration in which the operator and the upstreams write again what the
	// store has lost.
	rewriteTime    = 1500 * time.Millisecond
	metricsTimeout = 300 * time.Millisecond
)

// interval is a time with a begin and an end.
type interval struct{ from, to time.Time }

// evacuation is an evacuation of a zone from the store's response to the operator's deletion.
type evacuation struct {
	zone string
	interval
}

// hasOverload reports whether the upstreams are overloaded in the run of a seed. The other runs check that daemons
// refuse nobody.
func hasOverload(seed uint64) bool { return seed%4 == 1 || seed%4 == 2 }

// injectHardLoad evacuates a zone, restores the store to an older state, and overloads the upstreams, at random times
// within the run. Their sequence is independent of that of the other faults.
func (r *soakRun) injectHardLoad(tasks *sync.WaitGroup, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	after := func(fromShare, toShare float64) time.Duration {
		return time.Duration((fromShare + random.Float64()*(toShare-fromShare)) * float64(*faultDuration))
	}
	at := func(delay time.Duration, inject func()) {
		tasks.Go(func() {
			time.Sleep(delay)
			inject()
		})
	}
	zone, evacuatedFor := zoneName(random.IntN(zoneCount)), between(evacuationBound+time.Second, 9*time.Second)
	at(after(0, 0.4), func() { r.evacuate(zone, evacuatedFor) })
	outage, lost := between(100*time.Millisecond, time.Second), between(500*time.Millisecond, 4*time.Second)
	at(after(0.35, 0.85), func() { r.restoreStore(outage, lost) })
	// Daemons know their number, without which they admit everybody, some seconds after they start.
	begin, duration, work := after(0.6, 0.75), between(3*time.Second, 5*time.Second), between(40*time.Millisecond, 100*time.Millisecond)
	if hasOverload(seed) {
		at(begin, func() { r.overload(duration, work) })
	}
}

// evacuate evacuates a zone and takes it back.
func (r *soakRun) evacuate(zone string, duration time.Duration) {
	e := &evacuation{zone: zone}
	r.mu.Lock()
	r.store.Put("evacuations", zone, struct{}{})
	e.from = time.Now()
	r.evacuations = append(r.evacuations, e)
	r.mu.Unlock()
	r.logEvent("%s is evacuated for %s", zone, duration)
	time.Sleep(duration)
	r.mu.Lock()
	e.to = time.Now()
	r.store.Delete("evacuations", zone)
	r.mu.Unlock()
	r.logEvent("%s is taken back", zone)
}

// restoreStore makes the store unavailable and brings back an older state. The operator and the upstreams write again
// what was lost.
func (r *soakRun) restoreStore(outage, lost time.Duration) {
	began := time.Now()
	setFault := func() {
		r.mu.Lock()
		r.lastStoreFaultAt = time.Now()
		r.mu.Unlock()
	}
	setFault()
	r.logEvent("the store is unavailable for %s and loses the %s before", outage, lost)
	r.store.SetDown(true)
	time.Sleep(outage)
	r.store.Restore(time.Since(began) + lost)
	r.store.SetDown(false)
	setFault()
	var writers sync.WaitGroup
	r.mu.Lock()
	for _, s := range r.upstreamServers {
		writers.Go(func() {
			time.Sleep(rand.N(rewriteTime))
			r.mu.Lock()
			defer r.mu.Unlock()
			r.registerLocked(s)
		})
	}
	r.mu.Unlock()
	writers.Go(func() {
		time.Sleep(rand.N(rewriteTime))
		r.writeConfiguration()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, e := range r.evacuations {
			if e.to.IsZero() {
				r.store.Put("evacuations", e.zone, struct{}{})
			} else {
				r.store.Delete("evacuations", e.zone)
			}
		}
	})
	writers.Wait()
	setFault()
	r.mu.Lock()
	r.restorations = append(r.restorations, interval{began.Add(-lost), time.Now()})
	r.mu.Unlock()
	r.logEvent("what the store has lost is written again")
}

// overload makes all upstreams slow and adds callers that open a flow for each request.
func (r *soakRun) overload(duration, work time.Duration) {
	r.logEvent("the upstreams are overloaded for %s, requests take %s", duration, work)
	r.setWork(work)
	end := time.Now().Add(duration)
	var workers sync.WaitGroup
	for i := range overloadCallers {
		c, err := r.startCaller(netip.AddrPortFrom(r.address(roleCallers, 2, i+1), packetPort))
		if err != nil {
			r.reportProblem("%v", err)
			continue
		}
		defer c.Stop()
		for j := range overloadWorkers {
			workers.Go(func() {
				for caller := r.newCaller(c, 1000+i*overloadWorkers+j); time.Now().Before(end); {
					caller.useFlow(1)
					time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(duration)
	r.setWork(0)
	workers.Wait()
	r.logEvent("the overload has ended")
}

func (r *soakRun) setWork(work time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work = work
	for _, s := range r.upstreamServers {
		s.SetWork(work)
	}
}

// checkEvacuations reports flows that a daemon without a fault placed in an evacuated zone after evacuationBound.
func (r *soakRun) checkEvacuations() {
	r.mu.Lock()
	defer r.mu.Unlock()
	daemons := map[netip.Addr]*daemon{}
	for _, d := range r.daemons {
		daemons[d.address] = d
	}
	for _, s := range r.upstreamServers {
		for _, p := range s.Placements() {
			d := daemons[p.By]
			if d == nil {
				r.problems = append(r.problems, fmt.Sprintf("%s received a flow from %s, which is no daemon", s.ID, p.By))
				continue
			}
			for _, e := range r.evacuations {
				if e.zone == zoneName(int(s.instance)) && r.mustBeInForceLocked(e, p.At) && d.wasQuiet(p.At, quietPeriod) {
					r.problems = append(r.problems, fmt.Sprintf("%s daemon %d placed a flow on %s in %s, evacuated since %s",
						p.At.Format("05.000"), d.number, s.ID, e.zone, e.from.Format("05.000")))
				}
			}
		}
	}
}

// mustBeInForceLocked reports whether an evacuation must be in force at a time on daemons without a fault. If the
// store lost it, or was unavailable within the bound, the bound begins anew when it is written again.
func (c *cluster) mustBeInForceLocked(e *evacuation, at time.Time) bool {
	if !at.After(e.from.Add(evacuationBound)) || !at.Before(e.to) {
		return false
	}
	for _, i := range c.restorations {
		if i.from.Before(e.from.Add(evacuationBound)) && i.to.After(e.from) && at.Before(i.to.Add(evacuationBound)) {
			return false
		}
	}
	return true
}

// readMetrics returns the metrics of a daemon, nil if it does not answer.
func (d *daemon) readMetrics() map[string]int64 {
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", d.address, peerPort))
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	values := map[string]int64{}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseInt(text, 10, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

// readRefusals adds the refusals of a daemon that is about to end or at the end of the run.
func (r *soakRun) readRefusals(d *daemon) map[string]int64 {
	values := d.readMetrics()
	r.overloaded.Add(values["reset_overloaded"] + values["drop_overloaded"])
	return values
}

// checkMetrics reports daemons on which an evacuation is still in force, and opening packets that were refused as
// overloaded although there was no overload. It returns the number of the latter.
func (r *soakRun) checkMetrics(seed uint64) int64 {
	for _, d := range r.daemons {
		values := r.readRefusals(d)
		if values == nil {
			r.reportProblem("daemon %d has no metrics", d.number)
		}
		if n := values["settings_refused"]; n > 0 {
			r.reportProblem("daemon %d refused its settings %d times", d.number, n)
		}
		for zone := range zoneCount {
			if _, found := values["evacuation_"+zoneName(zone)+"_age_ms"]; found {
				r.reportProblem("daemon %d still holds the evacuation of %s", d.number, zoneName(zone))
			}
		}
	}
	count := r.overloaded.Load()
	if count > 0 && !hasOverload(seed) {
		r.reportProblem("%d opening packets were refused as overloaded without overload", count)
	}
	return count
}
