package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	// noticeInterval is the time between two attempts to send the pending notices.
	noticeInterval = 250 * time.Millisecond
	// noticeReserve is the part of the budget that notices of load leave to exceptions. Exceptions
	// matter more: without a notice, requests are sent to a longer queue; without a replicated
	// exception, a flow breaks when its owner dies. While exceptions wait they keep the budget below
	// the reserve. Notices may therefore use minNoticeBytesPerSecond, half of what they need,
	// regardless of the reserve.
	noticeReserve           = 2048
	minNoticeBytesPerSecond = 150
	// noticeOverhead is an upper bound of the size of a notice's datagram without the notice.
	noticeOverhead = 96
)

// noticeKey identifies the notices to one daemon about one upstream.
type noticeKey struct {
	to       membership.DaemonID
	upstream uint32
}

// sentState is the state of an upstream that was last sent to a daemon.
type sentState struct {
	incarnation uint64
	state       pb.UpstreamState
	token       uint64
}

// pendingNotice is a notice that waits for the budget.
type pendingNotice struct {
	notice   *pb.UpstreamNotice
	queuedAt time.Time
}

// noticeQueue sends notices to other daemons. It sends a notice with a new state or guard token
// immediately and charges it to the budget. A notice that only reports the load of an upstream waits
// for the budget; a later notice replaces it.
type noticeQueue struct {
	send     func(to membership.DaemonID, d *pb.PeerDatagram) error
	budget   *peer.Budget
	counters *telemetry.Counters

	// minRate allows load notices at minNoticeBytesPerSecond regardless of the reserve.
	minRate *rate.Limiter

	// mu guards sentState and pending.
	mu        sync.Mutex
	sentState map[noticeKey]sentState
	pending   map[noticeKey]pendingNotice
}

func newNoticeQueue(send func(membership.DaemonID, *pb.PeerDatagram) error, budget *peer.Budget, counters *telemetry.Counters) *noticeQueue {
	return &noticeQueue{
		send: send, budget: budget, counters: counters,
		minRate:   rate.NewLimiter(minNoticeBytesPerSecond, 10*noticeOverhead),
		sentState: map[noticeKey]sentState{}, pending: map[noticeKey]pendingNotice{},
	}
}

// add sends a notice to a member, or queues it if it only reports the load.
func (q *noticeQueue) add(to membership.Member, n *pb.UpstreamNotice) {
	key := noticeKey{to.ID, n.GetUpstream()}
	next := sentState{incarnation: to.Incarnation, state: n.GetState(), token: n.GetGuardToken()}
	q.mu.Lock()
	if last, ok := q.sentState[key]; ok && last == next && !n.GetTokenChanged() {
		queuedAt := time.Now()
		if earlier, ok := q.pending[key]; ok {
			queuedAt = earlier.queuedAt
			q.counters.Count("notice.replaced")
		}
		q.pending[key] = pendingNotice{notice: n, queuedAt: queuedAt}
		q.mu.Unlock()
		return
	}
	q.sentState[key] = next
	delete(q.pending, key)
	q.mu.Unlock()
	q.budget.Spend(noticeSize(n))
	q.transmit(to.ID, n)
}

func (q *noticeQueue) transmit(to membership.DaemonID, n *pb.UpstreamNotice) {
	datagram := &pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: n}}
	if err := q.send(to, datagram); err != nil {
		q.counters.CountDrop("notice_failed")
	}
}

func noticeSize(n *pb.UpstreamNotice) int { return noticeOverhead + proto.Size(n) }

// flush sends the pending notices that the budget allows, the oldest first.
func (q *noticeQueue) flush(now time.Time) {
	type pendingEntry struct {
		noticeKey
		pendingNotice
	}
	q.mu.Lock()
	list := make([]pendingEntry, 0, len(q.pending))
	for key, w := range q.pending {
		list = append(list, pendingEntry{key, w})
	}
	slices.SortFunc(list, func(a, b pendingEntry) int {
		return cmp.Or(a.queuedAt.Compare(b.queuedAt), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.to, b.to))
	})
	sent := 0
	for sent < len(list) && q.takeBudget(now, noticeSize(list[sent].notice)) {
		delete(q.pending, list[sent].noticeKey)
		sent++
	}
	q.mu.Unlock()
	for _, d := range list[:sent] {
		q.transmit(d.to, d.notice)
	}
}

// takeBudget charges a notice to the budget and reports true, if the reserve or the minimum rate
// allows that.
func (q *noticeQueue) takeBudget(now time.Time, bytes int) bool {
	if q.budget.TryTake(now, bytes, noticeReserve) {
		return true
	}
	return q.minRate.TokensAt(now) >= float64(bytes) && q.budget.TryTake(now, bytes, 0) && q.minRate.AllowN(now, bytes)
}

// removeUnreachable removes the sent states and pending notices of daemons that are not reachable, so
// that a daemon that joins again receives all states.
func (q *noticeQueue) removeUnreachable(view *membership.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key := range q.sentState {
		if m, ok := view.Member(key.to); !ok || !m.IsReachable() {
			delete(q.sentState, key)
			delete(q.pending, key)
		}
	}
}

// run sends pending notices until ctx ends, and returns the error of ctx.
func (q *noticeQueue) run(ctx context.Context) error {
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			q.flush(now)
		}
	}
}
