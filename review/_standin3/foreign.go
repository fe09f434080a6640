package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	flowCount = 200
	// overwrittenCount is the number of endpoints whose entries another writer overwrites.
	overwrittenCount = 4
	// foreignRounds is how often the other writer writes each of them, foreignDelay the time until it begins, and
	// foreignInterval the time between two rounds.
	foreignRounds   = 2
	foreignDelay    = 50 * time.Millisecond
	foreignInterval = 1600 * time.Millisecond
	// longestPause is the longest pause between two requests on a flow.
	longestPause = 3 * time.Second
	// feedDeadline is the deadline of stock-feed, and workTime a usual time that it takes.
	feedDeadline = 1500 * time.Millisecond
	workTime     = 70 * time.Millisecond
	flowTTL      = 60 * time.Second
	idleTimeout  = 15 * time.Second
)

// judgement holds what clients saw.
type judgement struct {
	mu                                  sync.Mutex
	sent, answered, unanswered, refused int
	violations                          int
	isOver                              bool
}

// beat makes an endpoint write its entry at each heartbeat. A write that changes nothing has no effect.
func (c *cluster) beat(e *endpoint) {
	time.Sleep(time.Duration(rand.Float64() * float64(heartbeat)))
	for ; c.ctx.Err() == nil; time.Sleep(heartbeat) {
		c.mu.Lock()
		if c.overwritten[e.ID] {
			c.overwritten[e.ID] = false
			c.register(e)
			c.record.Printf("endpoint %s writes its entry again", e.ID)
		}
		c.mu.Unlock()
	}
}

// writeForeign writes an entry of another writer in place of an endpoint's: of a service that is not named in the
// configuration, at an address where none of its endpoints is.
func (c *cluster) writeForeign(e *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overwritten[e.ID] = true
	c.store.Put("servers", e.ID, map[string]any{
		"service": "archive", "address": c.address(3, 200, 8).String(), "zone": e.zone, "version": "v3", "slots": 2, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": time.Now().Add(-time.Hour).UnixMilli(),
	})
	c.record.Printf("another writer writes an entry of the service archive for %s", e.ID)
}

// writeForeignEntries does so for the first endpoints of a service.
func (c *cluster) writeForeignEntries(service string, count int) {
	for _, e := range c.endpoints {
		if e.service == service && count > 0 {
			c.writeForeign(e)
			count--
		}
	}
}

// keepFlow keeps a flow open for many requests, with pauses between them, and opens another one when it ends.
func (c *cluster) keepFlow(from *client, number int, j *judgement) {
	for n := 0; ; {
		f := from.open(feed)
		for f != nil {
			err := f.idle(time.Duration(rand.Float64() * float64(longestPause)))
			wasSent := err == nil
			j.mu.Lock()
			isOver := j.isOver
			if wasSent && !isOver {
				j.sent++
			}
			j.mu.Unlock()
			if isOver {
				f.finish()
				return
			}
			if wasSent {
				n++
				err = f.request(fmt.Sprintf("feed-%d-%d", number, n), feedDeadline)
			}
			j.mu.Lock()
			switch {
			case err == nil:
				j.answered++
			case errors.Is(err, errReset):
				c.judgeReset(f, j)
			default:
				j.unanswered++
				c.record.Printf("a request on a flow to %s, open for %.1f s, was not answered before its deadline", f.endpoint, time.Since(f.openedAt).Seconds())
			}
			j.mu.Unlock()
			if err != nil {
				f.finish()
				f = nil
			}
		}
		j.mu.Lock()
		isOver := j.isOver
		j.mu.Unlock()
		if isOver {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// judgeReset checks FLOW (a): the reset of an open flow by a machine other than its endpoint's. All endpoints run
// undisturbed. A daemon is in touch if it had no signal and no start for the stable window.
func (c *cluster) judgeReset(f *clientFlow, j *judgement) {
	var by *daemon
	for _, d := range c.all() {
		if d.ip == f.resetBy {
			by = d
		}
	}
	age, idle := time.Since(f.openedAt), time.Since(f.lastUsedAt)
	if by == nil {
		c.record.Printf("a flow to %s was reset by the endpoint's machine %s", f.endpoint, f.resetBy)
		return
	}
	by.mu.Lock()
	undisturbed := time.Since(by.disturbedAt)
	by.mu.Unlock()
	isCounted := undisturbed > stableWindow && age < flowTTL && idle < idleTimeout && f.endpoint != ""
	c.record.Printf("%s reset a flow to %s, open for %.1f s; %s undisturbed for %.1f s; counts: %t",
		by.name, f.endpoint, age.Seconds(), by.name, undisturbed.Seconds(), isCounted)
	if isCounted {
		j.violations++
	}
}

// playForeign adds a daemon, so that the routers send most flows to other daemons than before, and lets another writer
// write over the entries of four endpoints of a service. It checks FLOW (a).
func playForeign(c *cluster, isTroubled bool) (int, error) {
	from, err := startClient(c.address(6, 1, 2), c.route)
	if err != nil {
		return failed, err
	}
	j := &judgement{}
	for _, e := range c.endpoints {
		e.SetWork(workTime)
		go c.beat(e)
	}
	var flows sync.WaitGroup
	for n := range flowCount {
		flows.Add(1)
		go func() {
			defer flows.Done()
			c.keepFlow(from, n, j)
		}()
	}
	time.Sleep(6 * time.Second)
	d, err := c.addDaemon()
	if err != nil {
		return failed, err
	}
	c.record.Printf("%s is in rotation", d.name)
	time.Sleep(foreignDelay)
	for range foreignRounds {
		if isTroubled {
			c.writeForeignEntries("bindery", overwrittenCount)
		}
		time.Sleep(foreignInterval)
	}
	time.Sleep(12 * time.Second)
	j.mu.Lock()
	j.isOver = true
	j.mu.Unlock()
	flows.Wait()
	c.record.Printf("%d requests sent, %d answered, %d not answered; %d resets count", j.sent, j.answered, j.unanswered, j.violations)
	if 2*j.answered < j.sent || j.sent == 0 {
		return failed, errors.New("most requests were not answered")
	}
	if j.violations > 0 {
		c.record.Printf("FLOW is broken")
		return broken, nil
	}
	return held, nil
}
