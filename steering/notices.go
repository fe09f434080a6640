package steering

import (
	"sync"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// maxNotices limits the notices that are stored. The design targets 65,000 upstreams.
const maxNotices = 1 << 16

// noticedState is the state of an upstream in the last notice of its admission holder.
type noticedState struct {
	service    uint32
	state      int32
	guardToken uint64
	sinceMS    int64
}

// noticeStore stores the last notice of each upstream. Notices are sent only when the state
// changes, and a notice may arrive before the configuration that declares its upstream, or before
// this daemon holds a partition of the service.
type noticeStore struct {
	mu      sync.Mutex
	notices map[uint32]noticedState
}

// add stores a notice. The time of the state is that of the first notice that reported it. When the
// store is full, an arbitrary other notice is dropped.
func (s *noticeStore) add(m *pb.UpstreamNotice, nowMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := noticedState{service: m.GetService(), state: int32(m.GetState()), guardToken: m.GetGuardToken(), sinceMS: nowMS}
	old, known := s.notices[m.GetUpstream()]
	if !known && len(s.notices) >= maxNotices {
		for number := range s.notices {
			delete(s.notices, number)
			break
		}
	}
	if known && old.state == n.state {
		n.sinceMS = old.sinceMS
	}
	s.notices[m.GetUpstream()] = n
}

// apply sets the state of a newly declared upstream from its stored notice, if there is one.
func (s *noticeStore) apply(service uint32, u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.notices[u.number]; ok && n.service == service {
		u.applyNotice(n)
	}
}

// applyNotice updates the state and the guard token of an upstream. The ramp of a cold upstream
// starts at the first notice that reports it as cold.
func (u *upstream) applyNotice(n noticedState) {
	if u.noticedState.Swap(n.state) != n.state {
		u.noticedSinceMS.Store(n.sinceMS)
	}
	if n.guardToken != 0 {
		u.guardToken.Store(n.guardToken)
	}
}
