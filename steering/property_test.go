package steering

import (
	"flag"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// The same random cases run each time, so that the verdict of a run does not vary. Others are
// drawn with -rapid.seed=0.
var _ = flag.Set("rapid.seed", "1")

// withoutDeadline hides testing.T.Deadline, which must not be called in virtual time.
type withoutDeadline struct{ rapid.TB }

// flowModel is what a caller knows of its flow.
type flowModel struct {
	upstream    uint32
	established bool
	lastPacket  time.Time
	// lostAtHandover is the number of moves at which an owner first died since the last packet, or 0.
	lostAtHandover int
}

// removal tells when an upstream was removed.
type removal struct {
	removedAt time.Time
	handovers int
}

// scenario is one random run over a cluster.
type scenario struct {
	*rapid.T
	g               *WithT
	c               *cluster
	owner           membership.DaemonID
	flows           map[int]*flowModel
	highestUpstream uint32
	handovers       int
	removed         map[uint32]removal
	lossPercent     atomic.Int64
}

// Guards against any sequence of changes, losses, hand-overs and deaths of owners that moves an
// established flow or cuts it off while its upstream is declared.
func TestEstablishedFlowNeverChangesUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(rt *rapid.T) {
			g := NewWithT(rt)
			c, stop := newCluster(g, 4)
			defer stop()
			s := &scenario{T: rt, g: g, c: c, owner: "a", flows: map[int]*flowModel{}, highestUpstream: 4,
				removed: map[uint32]removal{}}
			c.isLost = func(membership.DaemonID, membership.DaemonID, *pb.PeerDatagram) bool {
				return time.Now().UnixMicro()/500%100 < s.lossPercent.Load()
			}
			rt.Repeat(map[string]func(*rapid.T){
				"open":     func(t *rapid.T) { s.open(t) },
				"data":     func(t *rapid.T) { s.data(t) },
				"data2":    func(t *rapid.T) { s.data(t) },
				"close":    func(t *rapid.T) { s.close(t) },
				"notice":   func(t *rapid.T) { s.sendNotice(t) },
				"change":   func(t *rapid.T) { s.change(t) },
				"transfer": func(*rapid.T) { s.transfer() },
				"kill":     func(*rapid.T) { s.kill() },
				"loss":     func(t *rapid.T) { s.setLoss(t) },
				"wait":     func(t *rapid.T) { s.wait(t) },
			})
		})
	})
}

func (s *scenario) daemon() *daemon { return s.c.daemons[s.owner] }

func (s *scenario) isRemoved(f *flowModel) bool {
	_, removed := s.removed[f.upstream]
	return removed
}

func (s *scenario) drawFlow(t *rapid.T) int { return rapid.IntRange(0, 30).Draw(t, "flow") }

func (s *scenario) open(t *rapid.T) {
	i := s.drawFlow(t)
	up, _ := s.daemon().steerPacket(i, kindOpen, settleDelay)
	f := s.flows[i]
	if f != nil && f.established && time.Since(f.lastPacket) < portReuseIdle-time.Second && !s.isRemoved(f) {
		s.g.Expect(up).To(Equal(f.upstream), "OPEN on an established flow")
	}
	delete(s.flows, i)
	if up != 0 {
		s.flows[i] = &flowModel{upstream: up, established: f != nil && f.established && up == f.upstream,
			lastPacket: time.Now()}
	}
}

func (s *scenario) data(t *rapid.T) {
	i := s.drawFlow(t)
	f := s.flows[i]
	if f == nil {
		return
	}
	up, reason := s.daemon().steerPacket(i, kindData, 300*time.Millisecond)
	if s.isRemoved(f) {
		// The caller was told once and is told again by this owner for a while.
		if r := s.removed[f.upstream]; r.handovers == s.handovers && time.Since(r.removedAt) < closedRetention-time.Second {
			s.g.Expect(up).To(BeZero())
		}
		delete(s.flows, i)
		return
	}
	if up == 0 && f.lostAtHandover > 0 && s.handovers > f.lostAtHandover {
		// Silent since the death of an owner and then moved once more: a reset is right when
		// the bucket changed in between, another upstream never.
		s.g.Expect(reason).To(BeElementOf(pb.Reason_REASON_UNKNOWN_FLOW, pb.Reason_REASON_OWNER_LOST))
		delete(s.flows, i)
		return
	}
	s.g.Expect(up).To(Equal(f.upstream), "flow %d, %s", i, reason)
	f.established, f.lastPacket, f.lostAtHandover = true, time.Now(), 0
}

func (s *scenario) close(t *rapid.T) {
	i := s.drawFlow(t)
	if s.flows[i] != nil {
		s.daemon().steerPacket(i, pb.Kind_KIND_CLOSE, settleDelay)
		delete(s.flows, i)
	}
}

func (s *scenario) sendNotice(t *rapid.T) {
	up := rapid.Uint32Range(1, s.highestUpstream).Draw(t, "upstream")
	s.daemon().sendNotice(up, pb.UpstreamState(rapid.IntRange(1, 4).Draw(t, "state")))
}

func (s *scenario) change(t *rapid.T) {
	up := rapid.Uint32Range(1, s.highestUpstream).Draw(t, "upstream")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		s.c.declare(drain(up))
	case 1:
		s.c.declare(removeUpstream(up))
		if _, again := s.removed[up]; !again {
			s.removed[up] = removal{time.Now(), s.handovers}
		}
	default:
		s.highestUpstream++
		s.c.declare(func(d *pb.Service) { d.Upstreams = append(d.Upstreams, testUpstream(s.highestUpstream)) })
	}
}

// promoteSuccessor makes the successor of the owner the owner.
func (s *scenario) promoteSuccessor() (old *daemon) {
	s.handovers++
	old = s.daemon()
	s.owner = old.successor
	return old
}

func (s *scenario) transfer() {
	records := s.promoteSuccessor().release()
	s.daemon().activate(records, ownership.Transferred)
}

// kill loses the owner once its exceptions are replicated, and everything that it knew.
func (s *scenario) kill() {
	s.lossPercent.Store(0)
	time.Sleep(10 * time.Second)
	old := s.promoteSuccessor()
	old.release()
	old.releasedPartitions.expire(math.MaxUint32)
	for i := range uint32(ownership.PartitionCount) {
		old.replicas.expire(i, math.MaxUint32, old.idleLimit)
	}
	s.daemon().activate(nil, ownership.Recovered)
	for _, f := range s.flows {
		// Until its next packet the new owner need not know the flow, and an OPEN begins a new one.
		f.established = false
		if f.lostAtHandover == 0 {
			f.lostAtHandover = s.handovers
		}
	}
}

func (s *scenario) setLoss(t *rapid.T) {
	s.lossPercent.Store(rapid.SampledFrom([]int64{0, 30, 100}).Draw(t, "share"))
}

func (s *scenario) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
	for i, f := range s.flows {
		if time.Since(f.lastPacket) > defaultIdleLimit-time.Minute {
			delete(s.flows, i)
		}
	}
}
