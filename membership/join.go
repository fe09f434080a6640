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

// Seeds are asked again after these times: at first while this daemon is alone, later at a
// rate that the platform's VM list can bear from the whole fleet.
const (
	seedRetryMin = 200 * time.Millisecond
	seedRetryMax = 30 * time.Second
	// syncPause is the shortest time between two complete exchanges.
	syncPause = 5 * time.Second
	// seedBatch is how many seeds are asked at once. A view of a running fleet names the others, so
	// that asking each of 24 would only cost bytes, 12 KB of the 120 KB of a minute.
	seedBatch = 8
)

// joinState says when this daemon contacts seeds and when it exchanges complete views.
type joinState struct {
	startedAt time.Time
	seedsAt   time.Time
	seedDelay time.Duration
	seeding   bool
	// syncWith is a member that came back and may know others; empty when there is none.
	syncWith DaemonID
	syncAt   time.Time
	lastSync time.Time
	syncing  bool
	// retryAt is the earliest time to contact another member that is gone.
	retryAt time.Time
}

// startJoin makes the next check contact the seeds and holds the view to be unsettled.
func (m *Membership) startJoin(now time.Time) {
	m.settled.Store(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.join.startedAt, m.join.seedsAt = now, now
	m.join.seedDelay = seedRetryMin
	m.join.syncAt = now.Add(m.jitter(syncInterval))
}

// checkJoin starts the exchanges that are due as tasks.
func (m *Membership) checkJoin(ctx context.Context, now time.Time, tasks *sync.WaitGroup) {
	if !m.settled.Load() && now.Sub(m.joinStarted()) >= SettleTimeout {
		m.settle()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	j := &m.join
	if !j.seeding && !now.Before(j.seedsAt) {
		j.seeding = true
		tasks.Go(func() { m.contactSeeds(ctx) })
	}
	if with, due := m.nextSync(now); due {
		j.syncing, j.syncWith, j.lastSync = true, "", now
		j.syncAt = now.Add(m.jitter(syncInterval))
		tasks.Go(func() { m.sync(ctx, with) })
	}
}

// nextSync returns the member to exchange the complete view with, if it is time. m.mu is held.
func (m *Membership) nextSync(now time.Time) (Member, bool) {
	j := &m.join
	if j.syncing || m.options.FetchView == nil {
		return Member{}, false
	}
	if e, known := m.entries[j.syncWith]; known && !e.isGone() && now.Sub(j.lastSync) > syncPause {
		return e.Member, true
	}
	if now.Before(j.syncAt) {
		return Member{}, false
	}
	others := m.pickOthers(m.self.ID, 1)
	if len(others) == 0 {
		return Member{}, false
	}
	return others[0], true
}

func (m *Membership) joinStarted() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.join.startedAt
}

func (m *Membership) settle() {
	if !m.settled.Swap(true) {
		m.options.Logger.Info().Str("event", "view_settled").Int("members", len(m.View().Members)).Send()
		m.mu.Lock()
		m.publish()
		m.mu.Unlock()
	}
}

func (m *Membership) sync(ctx context.Context, with Member) {
	if err := m.fetch(ctx, with); err != nil {
		m.options.Logger.Debug().Str("event", "view_sync_failed").Str("member", string(with.ID)).Err(err).Send()
	}
	m.mu.Lock()
	m.join.syncing = false
	m.mu.Unlock()
}

// contactSeeds asks seeds for their views and settles the view once all of those that were asked
// answered. Seeds that this daemon already reaches are left out after that.
func (m *Membership) contactSeeds(ctx context.Context) {
	asked, answered := m.askSeeds(ctx)
	if answered > 0 && answered == asked {
		m.settle()
	}
	if asked > 0 && answered == 0 {
		m.options.Logger.Debug().Str("event", "seeds_silent").Int("asked", asked).Err(ErrNoSeedAnswered).Send()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	j := &m.join
	j.seeding = false
	j.seedsAt = time.Now().Add(m.jitter(j.seedDelay))
	j.seedDelay = min(2*j.seedDelay, seedRetryMax)
}

// askSeeds asks some seeds at a time, until the views of those that answered name all others.
func (m *Membership) askSeeds(ctx context.Context) (asked, answered int) {
	seeds := m.seedMembers(ctx)
	m.mu.Lock()
	m.options.Rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	m.mu.Unlock()
	for len(seeds) > 0 {
		n := min(seedBatch, len(seeds))
		batchAnswered := m.askBatch(ctx, seeds[:n])
		asked, answered = asked+n, answered+batchAnswered
		seeds = seeds[n:]
		if batchAnswered > 0 {
			seeds = m.unknown(seeds)
		}
	}
	return asked, answered
}

// askBatch asks seeds for their views at the same time and returns how many answered.
func (m *Membership) askBatch(ctx context.Context, seeds []Member) int {
	var count atomic.Int32
	var tasks sync.WaitGroup
	for _, seed := range seeds {
		m.introduce(seed)
		tasks.Go(func() {
			if m.fetch(ctx, seed) == nil {
				count.Add(1)
			}
		})
	}
	tasks.Wait()
	return int(count.Load())
}

// unknown returns the seeds that are not in the view.
func (m *Membership) unknown(seeds []Member) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(seeds, func(s Member) bool {
		e, isKnown := m.entries[s.ID]
		return isKnown && !e.isGone() || m.hasAddress(s)
	})
}

// seedMembers returns the seeds worth asking. Until the view is settled that includes
// members already known, which may know more.
func (m *Membership) seedMembers(ctx context.Context) []Member {
	var hints []Member
	if m.options.Seeds != nil {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
		if !settled && !e.isGone() {
			seeds = append(seeds, e.Member)
		}
	}
	for _, hint := range hints {
		if known[hint.ID] || m.hasAddress(hint) {
			continue // A member that is gone is retried by probes.
		}
		seeds = append(seeds, hint)
	}
	return seeds
}

// hasAddress reports whether a hint without an ID is this daemon or one in the view. m.mu
// is held.
func (m *Membership) hasAddress(hint Member) bool {
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

// introduce probes a seed by datagram, in case that its connect interface does not answer.
func (m *Membership) introduce(seed Member) {
	if seed.ID == "" || !seed.PeerAddress.IsValid() {
		return
	}
	m.mu.Lock()
	d := m.probeDatagram(seed.ID, m.nextNonce(), true)
	m.mu.Unlock()
	m.send(seed, d)
}

// fetch merges the view of another daemon, which learns of this one by the same call.
func (m *Membership) fetch(ctx context.Context, from Member) error {
	if m.options.FetchView == nil || !from.ControlAddress.IsValid() {
		return ErrNoSeedAnswered
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	m.mu.Lock()
	self := m.self.Proto()
	m.mu.Unlock()
	response, err := m.options.FetchView(ctx, from, &pb.GetViewRequest{Self: self})
	if err != nil {
		return fmt.Errorf("view of %s at %s: %w", from.ID, from.ControlAddress, err)
	}
	m.merge(response.GetMembers())
	return nil
}

// retryGone probes the member that is gone and due for the longest time, with back-off for
// each and retryPause between any two. The probe tells the member its state here, which it
// refutes if it lives.
func (m *Membership) retryGone(now time.Time) {
	m.mu.Lock()
	var due *entry
	for _, e := range m.entries {
		if !e.isGone() || e.State == pb.MemberState_MEMBER_STATE_LEFT || now.Before(e.retryAt) {
			continue
		}
		if due == nil || e.retryAt.Before(due.retryAt) {
			due = e
		}
	}
	if due == nil || now.Before(m.join.retryAt) {
		m.mu.Unlock()
		return
	}
	m.join.retryAt = now.Add(m.jitter(retryPause))
	due.retryDelay = min(max(2*due.retryDelay, retryMin), retryMax)
	due.retryAt = now.Add(m.jitter(due.retryDelay))
	target := due.Member
	d := m.probeDatagram(target.ID, m.nextNonce(), true)
	m.mu.Unlock()
	m.send(target, d)
}
