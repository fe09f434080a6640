package membership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Parameters of the queries to seeds and of complete exchanges of views.
const (
	// The delay between two rounds of queries to seeds grows from minSeedRetryDelay, for a daemon that
	// starts alone, to maxSeedRetryDelay, a rate that the platform's VM list can serve to all daemons.
	minSeedRetryDelay = 200 * time.Millisecond
	maxSeedRetryDelay = 30 * time.Second
	// minSyncInterval is the minimum time between two complete exchanges if the second is caused by a
	// member that became reachable again.
	minSyncInterval = 5 * time.Second
	// seedBatchSize is the number of seeds that are queried concurrently. The view of one running
	// daemon lists the others, so that querying all of them would only cost traffic.
	seedBatchSize = 8
)

// joinState schedules the queries to seeds, the exchanges of complete views and the retries of
// dropped members.
type joinState struct {
	startedAt         time.Time
	nextSeedAttempt   time.Time
	seedRetryDelay    time.Duration
	isContactingSeeds bool
	// preferredSyncPeer is a member that became reachable again and may know members that this daemon
	// does not; empty when there is none.
	preferredSyncPeer DaemonID
	nextSync          time.Time
	lastSync          time.Time
	isSyncing         bool
	// nextRetry is the earliest time of the next probe to any dropped member.
	nextRetry time.Time
}

// startJoin marks the view as not settled and makes the next call of startDueJoinTasks contact the seeds.
func (m *Membership) startJoin(now time.Time) {
	m.settled.Store(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.join.startedAt, m.join.nextSeedAttempt = now, now
	m.join.seedRetryDelay = minSeedRetryDelay
	m.join.nextSync = now.Add(m.jitter(syncInterval))
}

// startDueJoinTasks starts the queries to seeds and the exchange of complete views that are due, each as
// a goroutine of tasks. After SettleTimeout, it marks the view as settled.
func (m *Membership) startDueJoinTasks(ctx context.Context, now time.Time, tasks *sync.WaitGroup) {
	if !m.settled.Load() && now.Sub(m.joinStartedAt()) >= SettleTimeout {
		m.markSettled()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	j := &m.join
	if !j.isContactingSeeds && !now.Before(j.nextSeedAttempt) {
		j.isContactingSeeds = true
		tasks.Go(func() { m.contactSeeds(ctx) })
	}
	if with, due := m.nextSyncPeer(now); due {
		j.isSyncing, j.preferredSyncPeer, j.lastSync = true, "", now
		j.nextSync = now.Add(m.jitter(syncInterval))
		tasks.Go(func() { m.sync(ctx, with) })
	}
}

// nextSyncPeer returns the member with which to exchange the complete view, if an exchange is due. The
// caller holds m.mu.
func (m *Membership) nextSyncPeer(now time.Time) (Member, bool) {
	j := &m.join
	if j.isSyncing || m.options.FetchView == nil {
		return Member{}, false
	}
	if e, known := m.entries[j.preferredSyncPeer]; known && !e.isUnreachable() && now.Sub(j.lastSync) > minSyncInterval {
		return e.Member, true
	}
	if now.Before(j.nextSync) {
		return Member{}, false
	}
	others := m.pickRandomReachable(m.self.ID, 1)
	if len(others) == 0 {
		return Member{}, false
	}
	return others[0], true
}

func (m *Membership) joinStartedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.join.startedAt
}

// markSettled marks the view as settled and publishes it again, so that subscribers are notified.
func (m *Membership) markSettled() {
	if !m.settled.Swap(true) {
		m.options.Logger.Info().Str("event", "view_settled").Int("members", len(m.View().Members)).Send()
		m.mu.Lock()
		m.publishView()
		m.mu.Unlock()
	}
}

// sync exchanges the complete view with another member.
func (m *Membership) sync(ctx context.Context, with Member) {
	if err := m.fetchAndMergeView(ctx, with); err != nil {
		m.options.Logger.Debug().Str("event", "view_sync_failed").Str("member", string(with.ID)).Err(err).Send()
	}
	m.mu.Lock()
	m.join.isSyncing = false
	m.mu.Unlock()
}

// contactSeeds queries seeds for their views and marks the view as settled when all queried seeds
// responded. Once the view is settled, members that are already in it are not queried as seeds.
func (m *Membership) contactSeeds(ctx context.Context) {
	queried, responded := m.querySeeds(ctx)
	if responded > 0 && responded == queried {
		m.markSettled()
	}
	if queried > 0 && responded == 0 {
		m.options.Logger.Debug().Str("event", "seeds_silent").Int("asked", queried).Err(ErrNoSeedResponded).Send()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	j := &m.join
	j.isContactingSeeds = false
	j.nextSeedAttempt = time.Now().Add(m.jitter(j.seedRetryDelay))
	j.seedRetryDelay = min(2*j.seedRetryDelay, maxSeedRetryDelay)
}

// querySeeds queries seeds in batches until all were queried or the received views list the others.
func (m *Membership) querySeeds(ctx context.Context) (queried, responded int) {
	seeds := m.seedCandidates(ctx)
	m.mu.Lock()
	m.options.Rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	m.mu.Unlock()
	for len(seeds) > 0 {
		n := min(seedBatchSize, len(seeds))
		batchResponded := m.querySeedBatch(ctx, seeds[:n])
		queried, responded = queried+n, responded+batchResponded
		seeds = seeds[n:]
		if batchResponded > 0 {
			seeds = m.removeKnownSeeds(seeds)
		}
	}
	return queried, responded
}

// querySeedBatch queries seeds for their views concurrently and returns how many responded.
func (m *Membership) querySeedBatch(ctx context.Context, seeds []Member) int {
	var responded atomic.Int32
	var tasks sync.WaitGroup
	for _, seed := range seeds {
		m.sendIntroduction(seed)
		tasks.Go(func() {
			if m.fetchAndMergeView(ctx, seed) == nil {
				responded.Add(1)
			}
		})
	}
	tasks.Wait()
	return int(responded.Load())
}

// removeKnownSeeds removes the seeds that are reachable members of the view or have the control address
// of a member, and returns the others.
func (m *Membership) removeKnownSeeds(seeds []Member) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(seeds, func(s Member) bool {
		e, isKnown := m.entries[s.ID]
		return isKnown && !e.isUnreachable() || m.isControlAddressInView(s)
	})
}

// seedCandidates returns the seeds to query. Until the view is settled, these include the reachable
// members of the view, which may know further members.
func (m *Membership) seedCandidates(ctx context.Context) []Member {
	var hints []Member
	if m.options.Seeds != nil {
		ctx, cancel := context.WithTimeout(ctx, fetchViewTimeout)
		defer cancel()
		found, err := m.options.Seeds(ctx)
		if err != nil {
			m.options.Counters.Count("membership.seeds_failed")
			m.options.Logger.Debug().Str("event", "seeds_failed").Err(err).Send()
		}
		hints = found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	settled := m.settled.Load()
	var seeds []Member
	known := map[DaemonID]bool{m.self.ID: true}
	for _, e := range m.entries {
		known[e.ID] = true
		if !settled && !e.isUnreachable() {
			seeds = append(seeds, e.Member)
		}
	}
	for _, hint := range hints {
		if known[hint.ID] || m.isControlAddressInView(hint) {
			continue // Members of the view, also dropped ones, are probed.
		}
		seeds = append(seeds, hint)
	}
	return seeds
}

// isControlAddressInView reports whether the control address of a hint, whose ID may be missing, is
// that of this daemon or of another member of the view. The caller holds m.mu.
func (m *Membership) isControlAddressInView(hint Member) bool {
	if !hint.ControlAddress.IsValid() {
		return false
	}
	if hint.ControlAddress == m.self.ControlAddress {
		return true
	}
	for _, e := range m.entries {
		if e.ControlAddress == hint.ControlAddress {
			return true
		}
	}
	return false
}

// sendIntroduction sends a seed a probe with the entry of this daemon, in case the seed's connect
// interface does not respond.
func (m *Membership) sendIntroduction(seed Member) {
	if seed.ID == "" || !seed.PeerAddress.IsValid() {
		return
	}
	m.mu.Lock()
	d := m.probeDatagram(seed.ID, m.nextNonce(), true)
	m.mu.Unlock()
	m.send(seed, d)
}

// fetchAndMergeView requests the view of another daemon and merges it into the view of this daemon. The
// request carries the entry of this daemon, which the other daemon merges into its own view.
func (m *Membership) fetchAndMergeView(ctx context.Context, from Member) error {
	if m.options.FetchView == nil || !from.ControlAddress.IsValid() {
		return ErrNoSeedResponded
	}
	ctx, cancel := context.WithTimeout(ctx, fetchViewTimeout)
	defer cancel()
	m.mu.Lock()
	self := m.self.Proto()
	m.mu.Unlock()
	response, err := m.options.FetchView(ctx, from, &pb.GetViewRequest{Self: self})
	if err != nil {
		return fmt.Errorf("view of %s at %s: %w", from.ID, from.ControlAddress, err)
	}
	m.mergeView(response.GetMembers())
	return nil
}

// retryDropped probes the dropped member whose retry has been due for the longest time. The retries
// of each member back off, and any two retries are about minRetryInterval apart. The probe carries
// the state of the member in this daemon's view, which the member refutes if it is alive.
func (m *Membership) retryDropped(now time.Time) {
	m.mu.Lock()
	var due *entry
	for _, e := range m.entries {
		if !e.isUnreachable() || e.State == pb.MemberState_MEMBER_STATE_LEFT || now.Before(e.nextRetry) {
			continue
		}
		if due == nil || e.nextRetry.Before(due.nextRetry) {
			due = e
		}
	}
	if due == nil || now.Before(m.join.nextRetry) {
		m.mu.Unlock()
		return
	}
	m.join.nextRetry = now.Add(m.jitter(minRetryInterval))
	due.retryDelay = min(max(2*due.retryDelay, minRetryDelay), maxRetryDelay)
	due.nextRetry = now.Add(m.jitter(due.retryDelay))
	target := due.Member
	d := m.probeDatagram(target.ID, m.nextNonce(), true)
	m.mu.Unlock()
	m.send(target, d)
}
