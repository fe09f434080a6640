package steering

import (
	"sync"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// maxNotices bounds the notices that are kept. There are 65,000 endpoints at the size to
// design for.
const maxNotices = 1 << 16

// notice is the last state that an admission daemon told of an upstream.
type notice struct {
	service uint32
	state   int32
	token   uint64
	atMS    int64
}

// noticeStore keeps notices, since they are sent only on change: one may come before the
// configuration that declares its upstream, or before any partition of its service.
type noticeStore struct {
	mu      sync.Mutex
	notices map[uint32]notice
}

func (s *noticeStore) add(m *pb.UpstreamNotice, nowMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := notice{service: m.GetService(), state: int32(m.GetState()), token: m.GetGuardToken(), atMS: nowMS}
	old, known := s.notices[m.GetUpstream()]
	if !known && len(s.notices) >= maxNotices {
		for number := range s.notices {
			delete(s.notices, number)
			break
		}
	}
	if known && old.state == n.state {
		n.atMS = old.atMS
	}
	s.notices[m.GetUpstream()] = n
}

// apply gives an upstream that is new here what was noticed of it.
func (s *noticeStore) apply(service uint32, u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.notices[u.number]; ok && n.service == service {
		u.take(n)
	}
}

// take notes a state. The ramp of a cold upstream runs from the first notice of it.
func (u *upstream) take(n notice) {
	if u.notice.Swap(n.state) != n.state {
		u.noticedAt.Store(n.atMS)
	}
	if n.token != 0 {
		u.token.Store(n.token)
	}
}
