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
	// noticeInterval is how often the notices that wait are looked at.
	noticeInterval = 250 * time.Millisecond
	// noticeReserve is the part of the budget that notices of a queue's length leave to
	// exceptions: without such a notice a request is sent to a longer queue, without an
	// exception a flow breaks when its owner dies. Exceptions keep the budget below it while they
	// wait, so noticeBytesPerSecond, half of what notices need, is sent all the same.
	noticeReserve        = 2048
	noticeBytesPerSecond = 150
	// noticeEnvelope is an upper estimate of the size of a notice's datagram without the notice.
	noticeEnvelope = 96
)

// noticeKey names what one daemon is told of one upstream.
type noticeKey struct {
	to       membership.DaemonID
	upstream uint32
}

// told is the state of an upstream that a daemon was told last.
type told struct {
	incarnation uint64
	state       pb.UpstreamState
	token       uint64
}

type waitingNotice struct {
	notice *pb.UpstreamNotice
	since  time.Time
}

// noticeQueue sends notices to other daemons. A new state or token goes at once and only counts
// in the budget. One that only says how busy an upstream is waits for the budget, and a later one
// takes its place meanwhile.
type noticeQueue struct {
	send     func(to membership.DaemonID, d *pb.PeerDatagram) error
	budget   *peer.Budget
	counters *telemetry.Counters

	least *rate.Limiter

	mu      sync.Mutex
	told    map[noticeKey]told
	waiting map[noticeKey]waitingNotice
}

func newNoticeQueue(send func(membership.DaemonID, *pb.PeerDatagram) error, budget *peer.Budget, counters *telemetry.Counters) *noticeQueue {
	return &noticeQueue{
		send: send, budget: budget, counters: counters,
		least: rate.NewLimiter(noticeBytesPerSecond, 10*noticeEnvelope),
		told:  map[noticeKey]told{}, waiting: map[noticeKey]waitingNotice{},
	}
}

// add takes a notice for a member.
func (q *noticeQueue) add(to membership.Member, n *pb.UpstreamNotice) {
	key := noticeKey{to.ID, n.GetUpstream()}
	next := told{incarnation: to.Incarnation, state: n.GetState(), token: n.GetGuardToken()}
	q.mu.Lock()
	if last, ok := q.told[key]; ok && last == next && !n.GetTokenChanged() {
		since := time.Now()
		if earlier, ok := q.waiting[key]; ok {
			since = earlier.since
			q.counters.Count("notice.replaced")
		}
		q.waiting[key] = waitingNotice{notice: n, since: since}
		q.mu.Unlock()
		return
	}
	q.told[key] = next
	delete(q.waiting, key)
	q.mu.Unlock()
	q.budget.Spend(noticeBytes(n))
	q.transmit(to.ID, n)
}

func (q *noticeQueue) transmit(to membership.DaemonID, n *pb.UpstreamNotice) {
	datagram := &pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: n}}
	if err := q.send(to, datagram); err != nil {
		q.counters.Drop("notice_failed")
	}
}

func noticeBytes(n *pb.UpstreamNotice) int { return noticeEnvelope + proto.Size(n) }

// flush sends the notices that the budget allows, the oldest first.
func (q *noticeQueue) flush(now time.Time) {
	type due struct {
		noticeKey
		waitingNotice
	}
	q.mu.Lock()
	list := make([]due, 0, len(q.waiting))
	for key, w := range q.waiting {
		list = append(list, due{key, w})
	}
	slices.SortFunc(list, func(a, b due) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.to, b.to))
	})
	sent := 0
	for sent < len(list) && q.allow(now, noticeBytes(list[sent].notice)) {
		delete(q.waiting, list[sent].noticeKey)
		sent++
	}
	q.mu.Unlock()
	for _, d := range list[:sent] {
		q.transmit(d.to, d.notice)
	}
}

// allow takes the size of a notice from the budget if its reserve or the least rate allows it.
func (q *noticeQueue) allow(now time.Time, bytes int) bool {
	if q.budget.TryTake(now, bytes, noticeReserve) {
		return true
	}
	return q.least.TokensAt(now) >= float64(bytes) && q.budget.TryTake(now, bytes, 0) && q.least.AllowN(now, bytes)
}

// keep forgets what was said to daemons that are not in the view.
func (q *noticeQueue) keep(view *membership.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key := range q.told {
		if m, ok := view.Member(key.to); !ok || !m.IsReachable() {
			delete(q.told, key)
			delete(q.waiting, key)
		}
	}
}

// run sends what waits until ctx ends, whose error it returns.
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
