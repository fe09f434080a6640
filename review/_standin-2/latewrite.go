package main

import (
	"context"
	"os"
	"sync"
	"time"
)

const (
	// writeDelay is how much later a write without an answer is done. The bench names 1 to 6 s.
	writeDelay = 6 * time.Second
	// restartDelay is the time from the crash of an endpoint to its next start, and registrationDelay the time from then
	// to its first entry.
	restartDelay, registrationDelay = 250 * time.Millisecond, 800 * time.Millisecond
	// crashedPerRound is the number of endpoints that crash at once, of 18.
	crashedPerRound = 2
	flowsPerRound   = 90
)

// lateWrite uses long flows. With trouble, endpoints crash and start again under their IDs, and the last write of the
// crashed process is not answered and is done later. TROUBLE=crash leaves the late writes out. It is broken if a client gets a reset of an open flow from a daemon in touch, long
// after the start of the endpoint that accepted the flow.
func lateWrite(ctx context.Context, w *world, trouble bool) int {
	w.addRoutes(0, 1)
	if err := w.waitReady(ctx); err != nil {
		w.log("the daemons did not become ready")
		return exitNotRun
	}
	var list []*endpoint
	for n := range 14 {
		list = append(list, w.endpoints[w.address(roleEndpoint, 0, n+1)])
	}
	var counts counters
	deadline, _ := ctx.Deadline()
	for round := 0; ctx.Err() == nil && time.Until(deadline) > 12*time.Second; round++ {
		var flows sync.WaitGroup
		for n := range crashedPerRound {
			if trouble {
				go w.crash(list[(round*crashedPerRound+n)%len(list)], os.Getenv("TROUBLE") != "crash")
			}
		}
		time.Sleep(restartDelay + 50*time.Millisecond)
		end := time.Now().Add(8500 * time.Millisecond)
		for range flowsPerRound {
			flows.Add(1)
			go func() {
				defer flows.Done()
				w.useRoute(0, end, shortPause, &counts)
			}()
		}
		flows.Wait()
	}
	return w.conclude(&counts)
}

// crash lets an endpoint write its entry, crash and start again. If isLate is set, its last write is done late.
func (w *world) crash(e *endpoint, isLate bool) {
	entry := e.entry()
	if isLate {
		w.log("the store does not answer a write of endpoint %s, born %v, and does it %v later", e.id, entry["born"], writeDelay)
		w.mu.Lock()
		w.storeDisturbedAt = time.Now()
		w.mu.Unlock()
		time.AfterFunc(writeDelay, func() {
			w.store.Put("servers", e.id, entry)
			w.log("the store does the late write of endpoint %s, born %v", e.id, entry["born"])
		})
	}
	time.Sleep(30 * time.Millisecond)
	e.Stop()
	time.Sleep(restartDelay - 30*time.Millisecond)
	if err := w.startEndpoint(e); err != nil {
		w.log("endpoint %s did not start: %v", e.id, err)
		return
	}
	w.mu.Lock()
	w.disturbedAt[e.address.Addr()] = time.Now()
	w.mu.Unlock()
	next := e.entry()
	w.log("endpoint %s starts again, born %v", e.id, next["born"])
	time.Sleep(registrationDelay)
	w.store.Put("servers", e.id, next)
	if !isLate {
		return
	}
	// Later heartbeats change nothing until the late write has replaced the entry.
	for beat := heartbeat; beat <= writeDelay+heartbeat; beat += heartbeat {
		time.Sleep(heartbeat)
		if beat > writeDelay-registrationDelay-restartDelay {
			w.store.Put("servers", e.id, next)
			w.log("endpoint %s writes its entry again, born %v", e.id, next["born"])
			return
		}
	}
}
