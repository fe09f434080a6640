package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// foreignDelay is the time from a write of the endpoint to the next one of the other writer.
	foreignDelay = 50 * time.Millisecond
	// restartGap is the time between two restarts, and restartDown that from the end of a daemon to its next start.
	restartGap, restartDown = 5 * time.Second, 500 * time.Millisecond
	// overwritten is the number of endpoints, of 18, whose entries the other writer overwrites.
	overwritten = 6
)

// unreadable restarts the daemons of a zone in turn, and uses long flows. With trouble, another writer writes bytes that
// can't be read under the IDs of some endpoints that run, again and again. The endpoints write their own entries at each
// heartbeat. It is broken if a client gets a reset of an open flow from a daemon in touch.
func unreadable(ctx context.Context, w *world, trouble bool) int {
	w.addRoutes(0, safeRoute)
	if err := w.waitReady(ctx); err != nil {
		w.log("the daemons did not become ready")
		return exitNotRun
	}
	var counts counters
	deadline, _ := ctx.Deadline()
	for round := 0; ctx.Err() == nil && time.Until(deadline) > 32*time.Second; round++ {
		end := time.Now().Add(26 * time.Second)
		var flows, writers sync.WaitGroup
		for n := range 120 {
			flows.Add(1)
			go func() {
				defer flows.Done()
				w.useRoute(n%2, end, []time.Duration{shortPause, longPause}[n/2%2], &counts)
			}()
		}
		time.Sleep(time.Second)
		for n := range overwritten {
			e := w.endpoints[w.address(roleEndpoint, 0, (round*overwritten+n)%14+1)]
			writers.Add(1)
			go func() {
				defer writers.Done()
				w.contend(e, end, trouble)
			}()
		}
		time.Sleep(time.Second)
		for _, d := range w.daemons[:3] {
			w.restart(d)
			time.Sleep(restartGap)
		}
		flows.Wait()
		writers.Wait()
	}
	return w.conclude(&counts)
}

// contend lets an endpoint write its entry at each heartbeat, and another writer write again after each of them.
func (w *world) contend(e *endpoint, end time.Time, hasOther bool) {
	if hasOther {
		w.log("another writer begins to write under the ID of endpoint %s at %s", e.id, e.address)
	}
	time.Sleep(rand.N(heartbeat))
	for time.Now().Before(end) {
		if hasOther {
			w.store.Put("servers", e.id, []byte(`"\u0000\u0001??"`))
		}
		time.Sleep(heartbeat - foreignDelay)
		if hasOther {
			w.store.Put("servers", e.id, e.entry())
		}
		time.Sleep(foreignDelay)
	}
}

// restart stops a daemon with SIGTERM, and starts it again after its end.
func (w *world) restart(d *daemon) {
	w.log("%s gets SIGTERM", d.name)
	d.signal(syscall.SIGTERM, false)
	_ = d.process.Wait()
	time.Sleep(restartDown)
	if err := w.start(d, w.binary); err != nil {
		w.log("%s did not start: %v", d.name, err)
		return
	}
	w.log("%s starts again", d.name)
}
