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
	// silencePeriod is the time after which open connections to the store go silent again.
	silencePeriod = 18 * time.Second
	// flowsPerRoute is the number of long flows on each new route.
	flowsPerRoute = 24
)

// frozenPeer adds routes, and uses long flows on each of them. With trouble, the open connections of two daemons to the
// store go silent, and from stableWindow later on one of these two freezes and wakes again, around each change. It is
// broken if a client gets a reset of an open flow from a daemon in touch.
func frozenPeer(ctx context.Context, w *world, trouble bool) int {
	w.addRoutes(0, 1)
	if err := w.waitReady(ctx); err != nil {
		w.log("the daemons did not become ready")
		return exitNotRun
	}
	frozen, deaf := w.daemons[2], w.daemons[1:3]
	var counts counters
	next := 2
	deadline, _ := ctx.Deadline()
	var silentAt time.Time
	for ctx.Err() == nil && time.Until(deadline) > 8*time.Second {
		if trouble && time.Since(silentAt) > silencePeriod {
			silentAt = time.Now()
			w.log("the open connections of %s and %s to the store go silent", deaf[0].name, deaf[1].name)
			for _, d := range deaf {
				d.store.silence()
			}
			for _, d := range w.daemons {
				d.disturb()
			}
			time.Sleep(stableWindow + 300*time.Millisecond)
		}
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
