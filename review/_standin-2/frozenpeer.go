package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// freezeLength is how long the daemon stands still. The site file of hopkrans-lb allows 4 s.
	freezeLength = 1500 * time.Millisecond
	// flowsPerRoute is the number of long flows on each new route.
	flowsPerRoute = 24
)

// frozenPeer adds routes, and uses long flows on each of them. The watches of two daemons return data that is seconds old.
// With trouble, one of these two freezes and wakes again around each change. It is broken if a client gets a reset of an
// open flow from a daemon in touch.
func frozenPeer(ctx context.Context, w *world, trouble bool) int {
	w.addRoutes(0, 1)
	if err := w.waitReady(ctx); err != nil {
		w.log("the daemons did not become ready")
		return exitNotRun
	}
	frozen := w.daemons[2]
	for _, d := range w.daemons[1:3] {
		d.store.isLagging.Store(true)
	}
	var counts counters
	next := 2
	deadline, _ := ctx.Deadline()
	for ctx.Err() == nil && time.Until(deadline) > 8*time.Second {
		time.Sleep(rand.N(500 * time.Millisecond))
		end := time.Now().Add(freezeLength + 900*time.Millisecond)
		if trouble {
			go w.freeze(frozen, freezeLength)
		}
		time.Sleep(350*time.Millisecond + rand.N(350*time.Millisecond))
		number := next
		next++
		w.addRoutes(number)
		w.log("route %s acknowledged", serviceAddress(number))
		var flows sync.WaitGroup
		for range flowsPerRoute {
			flows.Add(1)
			go func() {
				defer flows.Done()
				w.useRoute(number, end, shortPause, &counts)
			}()
		}
		flows.Wait()
	}
	return w.conclude(&counts)
}
