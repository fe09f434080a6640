package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/outlier"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

// drain returns the reports of other daemons that have arrived.
func drain(f *Fleet) []outlier.Report {
	var reports []outlier.Report
	for {
		select {
		case r := <-f.Reports():
			reports = append(reports, r)
		default:
			return reports
		}
	}
}

// startAcquaintedDaemons starts daemons on a network with a latency of 1 ms and waits until they know one another. A
// packet is lost if isLost returns true.
func startAcquaintedDaemons(t *testing.T, daemons int, isLost func(from netip.AddrPort) bool) []*Fleet {
	var lists atomic.Int64
	network := memnet.New(func(from, _ netip.AddrPort, _ []byte) []time.Duration {
		if isLost(from) {
			return nil
		}
		return []time.Duration{time.Millisecond}
	})
	fleets := startDaemons(t, network, daemons, &lists)
	time.Sleep(20 * time.Second)
	return fleets
}

func never(netip.AddrPort) bool { return false }

// Guards against reports that reach few daemons or reach them late, so that the others keep placing flows on
// a slow upstream, and against reports that reach a daemon twice.
func TestReportsReachTheFleet(t *testing.T) {
	for _, daemons := range []int{6, 83, 231} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fleets := startAcquaintedDaemons(t, daemons, never)
				const origins = 3
				for i, f := range fleets[:origins] {
					f.PublishReports([]outlier.Report{{Upstream: 7, Serial: 1, ObservedAt: time.Now(), Slow: i + 1}})
				}
				time.Sleep(time.Second)
				reached := 0
				for i, f := range fleets {
					received := map[netip.Addr]int{}
					for _, r := range drain(f) {
						received[r.Origin]++
						g.Expect(r.Upstream).To(BeEquivalentTo(7))
						g.Expect(time.Since(r.ObservedAt)).To(BeNumerically("~", time.Second, 100*time.Millisecond))
					}
					for _, count := range received {
						g.Expect(count).To(Equal(1))
					}
					if i >= origins && len(received) >= 2 {
						reached++
					}
				}
				g.Expect(reached).To(BeNumerically(">=", 95*(daemons-origins)/100))
			})
		})
	}
}

// Guards against reports that need certain daemons: a third of them die.
func TestReportsPassDeadDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var isDead atomic.Bool
		fleets := startAcquaintedDaemons(t, 60, func(from netip.AddrPort) bool {
			return isDead.Load() && from.Addr().As4()[3]%3 == 0
		})
		isDead.Store(true)
		for _, f := range fleets[:2] {
			f.PublishReports([]outlier.Report{{Upstream: 7, Serial: 1, ObservedAt: time.Now(), Slow: 1}})
		}
		time.Sleep(time.Second)
		reached := 0
		for _, f := range fleets {
			if len(drain(f)) > 0 {
				reached++
			}
		}
		g.Expect(reached).To(BeNumerically(">=", 54))
	})
}

// Guards against control traffic without a limit, when each daemon reports many upstreams all the time.
func TestReportsKeepToTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleets := startAcquaintedDaemons(t, 30, never)
		before := fleets[0].options.Counters.Snapshot()["fleet.sent_bytes"]
		const seconds = 60
		for second := range seconds {
			for _, f := range fleets {
				var reports []outlier.Report
				for upstream := range uint64(50) {
					reports = append(reports, outlier.Report{Upstream: upstream, Serial: uint32(second), ObservedAt: time.Now(), Slow: 1})
				}
				f.PublishReports(reports)
			}
			time.Sleep(time.Second)
		}
		sent := fleets[0].options.Counters.Snapshot()["fleet.sent_bytes"] - before
		g.Expect(sent / seconds).To(BeNumerically("<", 2000))
		g.Expect(fleets[0].options.Counters.Snapshot()["fleet.reports_dropped"]).NotTo(BeZero())
	})
}

// Guards against old, replayed, foreign and excessive contents of datagrams: none may reach the daemon as
// another report, and none may be answered.
func TestDatagramsWithInvalidReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startAcquaintedDaemons(t, 2, never)[0]
		send := func(r *pb.ResponseReport) []outlier.Report {
			raw, err := proto.Marshal(&pb.FleetDatagram{Reports: []*pb.ResponseReport{r}})
			g.Expect(err).NotTo(HaveOccurred())
			f.handleDatagram(wire.Datagram{Addr: netip.AddrPortFrom(address(1), port), Data: raw}, time.Now())
			return drain(f)
		}
		valid := &pb.ResponseReport{Upstream: 1, Origin: 0x0a000063, Serial: 1 << 31, Slow: 1}
		g.Expect(send(valid)).To(HaveLen(1))
		g.Expect(send(valid)).To(BeEmpty(), "replayed")
		g.Expect(send(&pb.ResponseReport{Upstream: 1, Origin: 0x0a000063, Serial: 1<<31 - 5, Slow: 1})).To(BeEmpty(), "older")
		g.Expect(send(&pb.ResponseReport{Upstream: 2, Origin: 0x0a000063, AgeMs: 2500, Slow: 1})).To(BeEmpty(), "expired")
		g.Expect(send(&pb.ResponseReport{Upstream: 2, Origin: 0x0a000001, Slow: 1})).To(BeEmpty(), "in the name of this daemon")
		excessive := send(&pb.ResponseReport{Upstream: 3, Origin: 0x0a000063, Slow: 1 << 31, Fast: 1 << 31})
		g.Expect(excessive).To(HaveLen(1))
		g.Expect(excessive[0].Slow).To(Equal(maxReportedCount))
	})
}

// Guards against memory that reports with forged origins take up, and against sources that are kept for ever.
func TestReportSourcesAreBounded(t *testing.T) {
	g := NewWithT(t)
	relay, now := newReportRelay(), time.Now()
	accepted := 0
	for i := range uint64(maxSources + 100) {
		if relay.isNew(outlier.Report{Upstream: i, Origin: address(1)}, now) {
			accepted++
		}
	}
	g.Expect(accepted).To(Equal(maxSources))
	now = now.Add(serialRetention + time.Second)
	relay.expire(now)
	g.Expect(relay.isNew(outlier.Report{Upstream: maxSources + 1, Origin: address(1)}, now)).To(BeTrue())
}

// FuzzDatagram feeds arbitrary datagrams to a daemon, which must neither fail nor pass on a report that is
// expired or heavier than allowed.
func FuzzDatagram(f *testing.F) {
	valid, err := proto.Marshal(&pb.FleetDatagram{Zone: "z", Daemons: []uint32{1}, Reports: []*pb.ResponseReport{{Upstream: 1, Origin: 9, Slow: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, raw []byte) {
		fleet := newIdleFleet(t, nil)
		now := time.Now()
		fleet.handleDatagram(wire.Datagram{Addr: netip.AddrPortFrom(address(1), port), Data: raw}, now)
		for _, r := range drain(fleet) {
			if now.Sub(r.ObservedAt) > maxReportAge || r.Slow > maxReportedCount || r.Fast > maxReportedCount {
				t.Fatalf("report %+v", r)
			}
		}
	})
}

// newIdleFleet returns a Fleet of one daemon that is not running, on a VM that has been suspended for as long
// as suspended returns; nil means never.
func newIdleFleet(t *testing.T, suspended func() time.Duration) *Fleet {
	conn, err := memnet.New(nil).Listen(netip.AddrPortFrom(address(0), port))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	syncer := discovery.NewSyncer(discovery.Options{Store: countingStore{&atomic.Int64{}}, Catalog: catalog.New(time.Now),
		Counters: telemetry.NewCounters(), Logger: zerolog.Nop(), PropagationBound: bound, Suspended: suspended})
	return New(Options{Conn: conn, Zone: "zone", Syncer: syncer, Counters: telemetry.NewCounters(), Logger: zerolog.Nop(),
		Seeds: func() []netip.Addr { return nil }})
}

// Guards against datagrams that waited in the socket while this VM was suspended: what they advertise and
// report is older than they state.
func TestDatagramsOfSuspensionAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var suspended time.Duration
		f := newIdleFleet(t, func() time.Duration { return suspended })
		receive := func(upstream uint64) []outlier.Report {
			raw, err := proto.Marshal(&pb.FleetDatagram{Reports: []*pb.ResponseReport{{Upstream: upstream, Origin: 9, Slow: 1}}})
			g.Expect(err).NotTo(HaveOccurred())
			f.handleDatagram(wire.Datagram{Addr: netip.AddrPortFrom(address(1), port), Data: raw}, time.Now())
			return drain(f)
		}
		g.Expect(receive(1)).To(HaveLen(1))
		suspended = 8 * time.Second
		g.Expect(receive(2)).To(BeEmpty())
		g.Expect(f.options.Counters.Snapshot()["drop.fleet_after_pause"]).To(BeEquivalentTo(1))
		time.Sleep(pauseThreshold)
		g.Expect(receive(3)).To(HaveLen(1))
	})
}

// Guards against a daemon that stops for good: the fleet calls the syncer with its lock held while the syncer
// calls the fleet with its own.
func TestSyncerIsCalledWithoutLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var f *Fleet
		calls := 0
		f = newIdleFleet(t, func() time.Duration {
			if f != nil {
				calls++
				g.Expect(f.mu.TryLock()).To(BeTrue())
				f.mu.Unlock()
			}
			return 0
		})
		raw, err := proto.Marshal(&pb.FleetDatagram{Zone: "zone", Confirmations: []*pb.Confirmation{{Kind: string(discovery.Kinds()[0])}}})
		g.Expect(err).NotTo(HaveOccurred())
		f.handleDatagram(wire.Datagram{Addr: netip.AddrPortFrom(address(1), port), Data: raw}, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), 3*gossipInterval)
		defer cancel()
		_ = f.gossipLoop(ctx)
		g.Expect(calls).To(BeNumerically(">", 3))
	})
}
