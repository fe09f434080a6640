package orders_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	propagationBound = 3 * time.Second
	// callerDelay, zoneDelay and peerDelay are one-way delays.
	callerDelay = 3 * time.Millisecond
	zoneDelay   = 500 * time.Microsecond
	peerDelay   = time.Millisecond
	// rotationDelay is how long routers take to notice that a daemon is ready or not.
	rotationDelay = 750 * time.Millisecond
	// leaveTime is how long a daemon goes on after it was asked to end, and restartTime how long it is down.
	leaveTime   = 1500 * time.Millisecond
	restartTime = 500 * time.Millisecond
	// watchLag is the age of what lagging watches return.
	watchLag = 2 * time.Second
	// queueLength is the number of packets that wait in a daemon's socket.
	queueLength = 256
)

// daemon is one daemon: the real decisions, with models of its sockets, its store and its peers. The world's lock
// protects it.
type daemon struct {
	world   *world
	number  int
	address netip.Addr
	// instance is nil while the daemon does not run.
	instance   *instance
	isLeaving  bool
	inRotation bool
	// waitsUntil is the end of a freeze or stall, in which packets queue. Calls wait in a freeze, too.
	waitsUntil, frozenUntil time.Time
	queue                   []platform.Packet
	// refusedUntil is the end of the time in which the store turns this daemon away.
	refusedUntil time.Time
	// watchesLagUntil is the end of the time in which watches return what is watchLag old.
	watchesLagUntil time.Time
	// disturbedAt is the end of the last disruption that is not planned.
	disturbedAt time.Time
}

// instance is one process of a daemon.
type instance struct {
	daemon  *daemon
	catalog *catalog.Catalog
	syncer  *discovery.Syncer
	steerer *inband.Steerer
	cancel  context.CancelFunc
}

// start starts a process of the daemon. The caller holds the world's lock.
func (d *daemon) start() {
	ctx, cancel := context.WithCancel(d.world.ctx)
	i := &instance{daemon: d, catalog: catalog.New(time.Now), cancel: cancel}
	i.syncer = discovery.NewSyncer(discovery.Options{
		Store: i, Catalog: i.catalog, Counters: telemetry.NewCounters(), Logger: zerolog.Nop(),
		PropagationBound: propagationBound, Evacuations: d.world.evacuations.areRead,
	})
	i.syncer.SetPeers(i, i.gossip)
	i.steerer = inband.NewSteerer(inband.Options{
		Zone: "z", Catalog: i.catalog, Freshness: i.syncer, PropagationBound: propagationBound,
		Random:      rand.New(rand.NewPCG(d.world.random.Uint64(), 1)),
		DaemonCount: func() int { return len(d.world.daemons) },
	})
	d.instance, d.isLeaving, d.queue = i, false, nil
	d.waitsUntil, d.frozenUntil = time.Time{}, time.Time{}
	go func() { _ = i.syncer.Run(ctx) }()
	d.becomeReady(i)
}

// becomeReady puts the daemon into rotation some time after it is ready.
func (d *daemon) becomeReady(i *instance) {
	d.world.after(rotationDelay, func() {
		switch {
		case d.instance != i || d.isLeaving:
		case i.catalog.Current().IsComplete():
			d.inRotation = true
		default:
			d.becomeReady(i)
		}
	})
}

// kill ends the process.
func (d *daemon) kill() {
	if d.instance == nil {
		return
	}
	i := d.instance
	i.cancel()
	d.instance = nil
	d.world.after(rotationDelay, func() { d.inRotation = d.inRotation && d.instance != nil && d.instance != i })
}

// leave ends the process after it has left the rotation, and starts another one.
func (d *daemon) leave() {
	if d.instance == nil || d.isLeaving {
		return
	}
	i := d.instance
	d.isLeaving = true
	d.world.after(rotationDelay, func() { d.inRotation = d.inRotation && d.instance != i })
	d.world.after(leaveTime, func() {
		if d.instance == i {
			d.kill()
			d.world.after(restartTime, func() {
				if d.instance == nil {
					d.start()
				}
			})
		}
	})
}

// wait makes packets queue for a time, and calls as well if the daemon is frozen.
func (d *daemon) wait(length time.Duration, isFrozen bool) {
	until := time.Now().Add(length)
	if isFrozen {
		d.frozenUntil, d.disturbedAt = until, until
	}
	if until.After(d.waitsUntil) {
		d.waitsUntil = until
	}
	i := d.instance
	d.world.after(length, func() {
		if d.instance != i || i == nil || time.Now().Before(d.waitsUntil) {
			return
		}
		queued := d.queue
		d.queue = nil
		for _, p := range queued {
			d.handle(p)
		}
	})
}

// receive handles a packet, or queues it while the daemon waits.
func (d *daemon) receive(p platform.Packet) {
	switch {
	case d.instance == nil:
	case time.Now().Before(d.waitsUntil):
		if len(d.queue) < queueLength {
			d.queue = append(d.queue, p)
		}
	default:
		d.handle(p)
	}
}

// handle carries out the verdict on a packet.
func (d *daemon) handle(p platform.Packet) {
	v := d.instance.steerer.Decide(p, time.Now())
	d.world.judge.count(v.Action.String() + "." + v.Reason.String())
	switch v.Action {
	case inband.ActionForward:
		if p.Opens {
			p.Token = v.Upstream.Token(p.Flow.Service())
		}
		id, address := v.Upstream.ID, v.Upstream.Address
		d.world.transfer(zoneDelay, func() {
			if u := d.world.byAddress[address]; u != nil {
				u.receive(id, p, d)
			}
		})
	case inband.ActionReset:
		d.world.toCaller(p.Flow, answer{kind: answerSystemReset, by: d, reason: v.Reason.String(), isForOpening: p.Opens})
	}
	for _, e := range d.instance.steerer.TakeEndedFlows() {
		d.world.judge.count("ended." + e.Reason.String())
		d.world.toCaller(e.Flow, answer{kind: answerSystemReset, by: d, reason: "ended " + e.Reason.String()})
	}
}

// isInTouch reports whether neither the daemon nor the store was disturbed lately by anything that is not planned.
func (d *daemon) isInTouch() bool {
	now := time.Now()
	return now.Sub(d.disturbedAt) > stableWindow && now.Sub(d.refusedUntil) > stableWindow && d.world.store.isStable(stableWindow) &&
		now.Sub(d.world.lossyUntil) > stableWindow
}

// reachStore waits while the daemon is frozen, and returns an error while the store turns it away.
func (i *instance) reachStore(ctx context.Context) error {
	i.daemon.world.mu.Lock()
	frozen, refusedUntil := time.Until(i.daemon.frozenUntil), i.daemon.refusedUntil
	i.daemon.world.mu.Unlock()
	if frozen > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(frozen):
		}
	}
	if time.Now().Before(refusedUntil) {
		return store.ErrUnavailable
	}
	return nil
}

// ListPage implements store.Collections.
func (i *instance) ListPage(ctx context.Context, kind store.Kind, after string, _ store.Consistency) (store.Page, error) {
	if err := i.reachStore(ctx); err != nil {
		return store.Page{}, err
	}
	return i.daemon.world.store.listPage(ctx, kind, after)
}

// WatchKind implements store.Collections.
func (i *instance) WatchKind(ctx context.Context, kind store.Kind, after store.Version, wait time.Duration) (store.Changes, error) {
	if err := i.reachStore(ctx); err != nil {
		return store.Changes{}, err
	}
	c, err := i.daemon.world.store.watch(ctx, kind, after, wait)
	if err != nil {
		return c, err
	}
	i.daemon.world.mu.Lock()
	isLagging := time.Now().Before(i.daemon.watchesLagUntil)
	i.daemon.world.mu.Unlock()
	if isLagging {
		select {
		case <-ctx.Done():
			return c, ctx.Err()
		case <-time.After(watchLag):
		}
	}
	return c, i.reachStore(ctx)
}

// peers returns the processes of the other daemons that run and are not frozen.
func (i *instance) peers() []*instance {
	i.daemon.world.mu.Lock()
	defer i.daemon.world.mu.Unlock()
	var others []*instance
	for _, d := range i.daemon.world.daemons {
		if d != i.daemon && d.instance != nil && !time.Now().Before(d.frozenUntil) {
			others = append(others, d.instance)
		}
	}
	return others
}

// DaemonCount implements discovery.Peers.
func (i *instance) DaemonCount() int { return len(i.peers()) }

// IsSeed implements discovery.Peers.
func (i *instance) IsSeed() bool { return i.daemon.number < 2 }

// ListRecords implements discovery.Peers.
func (i *instance) ListRecords(ctx context.Context, kind store.Kind, from netip.Addr, digests []uint64) (discovery.RecordSet, error) {
	for _, other := range i.peers() {
		if from.IsValid() && other.daemon.address != from {
			continue
		}
		time.Sleep(2 * peerDelay)
		if ctx.Err() != nil {
			break
		}
		rs, err := other.syncer.Records(kind, digests)
		rs.From = other.daemon.address
		return rs, err
	}
	return discovery.RecordSet{}, fmt.Errorf("list %s: %w", kind, store.ErrUnavailable)
}

// gossip sends the daemon's advertisements to all others.
func (i *instance) gossip() {
	i.daemon.world.mu.Lock()
	var others []*instance
	for _, d := range i.daemon.world.daemons {
		if d != i.daemon && d.instance != nil {
			others = append(others, d.instance)
		}
	}
	i.daemon.world.mu.Unlock()
	for _, other := range others {
		i.advertise(other, false)
	}
}

// advertise sends the daemon's advertisements to another one. They wait in a socket while that one is frozen. If they
// are not dated, that one takes them for sent when it reads them, and may ask for dated ones.
func (i *instance) advertise(to *instance, areDated bool) {
	i.daemon.whenAwake(func() {
		ads, sentAt := i.syncer.Advertisements(), time.Now()
		time.AfterFunc(peerDelay, func() {
			to.daemon.whenAwake(func() { to.handleAdvertisements(ads, sentAt, i, areDated) })
		})
	})
}

func (i *instance) handleAdvertisements(ads []discovery.Advertisement, sentAt time.Time, from *instance, areDated bool) {
	isFresher, mustAsk := false, false
	for _, ad := range ads {
		ad.From, ad.IsDated = from.daemon.address, areDated
		if !areDated {
			ad.ValidatedAt = ad.ValidatedAt.Add(time.Since(sentAt))
		}
		effect := i.syncer.HandleAdvertisement(ad)
		isFresher = isFresher || effect == discovery.EffectFresher
		mustAsk = mustAsk || effect == discovery.EffectAsk
	}
	if mustAsk {
		time.AfterFunc(peerDelay, func() { from.advertise(i, true) })
	}
	if isFresher {
		i.gossip()
	}
}

// whenAwake calls a function at once or, if the daemon is frozen, when it wakes.
func (d *daemon) whenAwake(f func()) {
	d.world.mu.Lock()
	frozen := time.Until(d.frozenUntil)
	d.world.mu.Unlock()
	if frozen > 0 {
		time.AfterFunc(frozen, func() { d.whenAwake(f) })
		return
	}
	f()
}
