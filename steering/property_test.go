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

// The seed is fixed, so that each run has the same cases and the same result. With -rapid.seed=0,
// other cases are drawn.
var _ = flag.Set("rapid.seed", "1")

// withoutDeadline hides testing.T.Deadline, which must not be called in virtual time.
type withoutDeadline struct{ rapid.TB }

// flowModel is the state of a flow from the view of its caller.
type flowModel struct {
	upstream    uint32
	established bool
	lastPacket  time.Time
	// lostAtHandover is the number of the handover at which an owner first failed since the last
	// packet of the flow, or 0.
	lostAtHandover int
}

// removal is the time at which an upstream was removed and the number of handovers until then.
type removal struct {
	removedAt time.Time
	handovers int
}

// scenario is the state of one random run over a cluster.
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

// Guards against any sequence of changes, packet losses, handovers and failures of owners after which
// an established flow is sent to another upstream, or is reset while its upstream is declared.
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
				"data":     func(t *rapid.T) { s.sendData(t) },
				"data2":    func(t *rapid.T) { s.sendData(t) },
				"close":    func(t *rapid.T) { s.close(t) },
				"notice":   func(t *rapid.T) { s.sendNotice(t) },
				"change":   func(t *rapid.T) { s.changeUpstreams(t) },
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

func (s *scenario) sendData(t *rapid.T) {
	i := s.drawFlow(t)
	f := s.flows[i]
	if f == nil {
		return
	}
	up, reason := s.daemon().steerPacket(i, kindData, 300*time.Millisecond)
	if s.isRemoved(f) {
		// The caller was sent a reset, and the same owner resets the flow again while it retains the
		// closed record.
		if r := s.removed[f.upstream]; r.handovers == s.handovers && time.Since(r.removedAt) < closedRetention-time.Second {
			s.g.Expect(up).To(BeZero())
		}
		delete(s.flows, i)
		return
	}
	if up == 0 && f.lostAtHandover > 0 && s.handovers > f.lostAtHandover {
		// The caller sent nothing between the failure of an owner and a further handover. A reset is
		// allowed if the bucket changed in between, but another upstream is not.
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

func (s *scenario) changeUpstreams(t *rapid.T) {
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

// promoteSuccessor makes the successor of the owner the new owner and returns the old one.
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

// kill lets the owner fail after its exceptions are replicated. Its released flows and its replicas
// are lost with it.
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
		// Before the next packet of the flow, the new owner may have no record of it, and an OPEN
		// then begins a new flow.
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
