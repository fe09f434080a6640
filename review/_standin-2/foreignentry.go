package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// foreignEntry uses long flows. With trouble, another writer writes one entry of a service that the configuration does
// not name, under the ID of an endpoint that runs. The endpoint writes its own entry again at its next heartbeat. It is
// broken if a client gets a reset of an open flow from a daemon in touch.
func foreignEntry(ctx context.Context, w *world, trouble bool) int {
	w.addRoutes(0, safeRoute)
	if err := w.waitReady(ctx); err != nil {
		w.log("the daemons did not become ready")
		return exitNotRun
	}
	// The address in the foreign entry is that of a process which is no endpoint and does not answer.
	silent, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.address(roleEndpoint, 1, 1), w.ports.endpoint)))
	if err != nil {
		w.log("%v", err)
		return exitNotRun
	}
	defer func() { _ = silent.Close() }()
	var counts counters
	deadline, _ := ctx.Deadline()
	for round := 0; ctx.Err() == nil && time.Until(deadline) > 10*time.Second; round++ {
		e := w.endpoints[w.address(roleEndpoint, 0, round%14+1)]
		end := time.Now().Add(7 * time.Second)
		var flows sync.WaitGroup
		for n := range 120 {
			flows.Add(1)
			go func() {
				defer flows.Done()
				w.useRoute(n%2, end, []time.Duration{shortPause, longPause}[n/2%2], &counts)
			}()
		}
		time.Sleep(2 * time.Second)
		lastHeartbeat := time.Now()
		time.Sleep(rand.N(heartbeat))
		if trouble {
			w.store.Put("servers", e.id, map[string]any{
				"service": "archive", "address": silent.LocalAddr().String(), "zone": e.zone, "version": "v7", "slots": 1,
				"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": w.began.UnixMilli() - 86_400_000,
			})
			w.log("another writer writes an entry of service archive under the ID of endpoint %s at %s", e.id, e.address)
			time.Sleep(time.Until(lastHeartbeat.Add(heartbeat)))
			w.store.Put("servers", e.id, e.entry())
			w.log("endpoint %s writes its entry again", e.id)
		}
		flows.Wait()
	}
	w.log("flows on route 0 carry unsafe requests, those on route 1 safe ones")
	return w.conclude(&counts)
}
