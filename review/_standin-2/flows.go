package main

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// shortPause and longPause are times between two requests on a flow, and requestDeadline is that of a request.
const (
	shortPause      = 150 * time.Millisecond
	longPause       = time.Second
	requestDeadline = 2 * time.Second
)

// counters are what clients saw.
type counters struct{ opened, refused, sent, answered, unanswered, broken atomic.Int64 }

// conclude records the counters and returns the exit status.
func (w *world) conclude(c *counters) int {
	w.logRuns()
	text := fmt.Sprintf("flows opened %d, openings refused %d, requests sent %d, answered %d, without an answer %d, FLOW broken %d",
		c.opened.Load(), c.refused.Load(), c.sent.Load(), c.answered.Load(), c.unanswered.Load(), c.broken.Load())
	w.log("%s", text)
	fmt.Println(text)
	switch {
	case c.broken.Load() > 0:
		return exitBroken
	case c.opened.Load() == 0:
		return exitNotRun
	default:
		return exitHeld
	}
}

// useRoute opens a flow to a route, as soon as a daemon accepts one, and sends requests on it until end, with a pause
// between two of them.
func (w *world) useRoute(number int, end time.Time, pause time.Duration, c *counters) {
	var f *flow
	for f == nil && time.Now().Before(end) {
		opened, err := w.client.open(serviceAddress(number))
		if err == nil {
			f = opened
			break
		}
		c.refused.Add(1)
		time.Sleep(40 * time.Millisecond)
	}
	if f == nil {
		return
	}
	c.opened.Add(1)
	defer f.remove()
	for n := 0; time.Now().Before(end); n++ {
		text := fmt.Sprintf("%s/%d", f.local, n)
		c.sent.Add(1)
		_, err := f.request(text, requestDeadline)
		switch {
		case err == nil:
			c.answered.Add(1)
		case errors.Is(err, errReset):
			c.unanswered.Add(1)
			w.judgeReset(f, text, c)
			return
		default:
			c.unanswered.Add(1)
			w.log("request %s: %v", text, err)
			return
		}
		time.Sleep(pause)
		if f.wasReset() {
			w.judgeReset(f, "", c)
			return
		}
	}
	f.close()
}

// judgeReset checks FLOW (a) on a reset of an open flow. text is the request in progress, "" if there is none.
func (w *world) judgeReset(f *flow, text string, c *counters) {
	now := time.Now()
	d := w.daemonAt(f.resetBy)
	if d == nil {
		w.log("flow %s to %s: reset by its endpoint %s", f.local, f.service, f.resetBy)
		return
	}
	w.mu.Lock()
	acknowledged := w.routes[f.service]
	disturbedAt := w.disturbedAt[f.endpoint]
	isStoreStable := now.Sub(w.storeDisturbedAt) > stableWindow
	w.mu.Unlock()
	isInTouch := d.isInTouch(now) && isStoreStable
	// The endpoint lives, and its process is the one that accepted the flow.
	isUndisturbed := now.Sub(disturbedAt) > stableWindow && f.openedAt.After(disturbedAt)
	isBroken := isInTouch && isUndisturbed && now.Sub(f.openedAt) < flowTTL && now.Sub(f.usedAt) < idleTimeout
	w.log("flow %s to %s on endpoint %s: reset by %s, open for %.3f s, route acknowledged %.3f s ago, in touch: %v, endpoint undisturbed: %v, FLOW broken: %v",
		f.local, f.service, f.endpoint, d.name, now.Sub(f.openedAt).Seconds(), now.Sub(acknowledged).Seconds(), isInTouch, isUndisturbed, isBroken)
	if isBroken {
		c.broken.Add(1)
	}
	if text != "" {
		time.Sleep(200 * time.Millisecond) // The request may still run.
		w.log("request %s was in progress on flow %s: never answered, run %d times", text, f.local, w.countRuns()[text])
	}
}
