package membership

import (
	"net/netip"
	"sort"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// DaemonID is the name of a balancer daemon. It is unique in a deployment.
type DaemonID string

// Member is a daemon with its state in the view of this daemon.
type Member struct {
	ID             DaemonID
	Zone           string
	PeerAddress    netip.AddrPort
	ControlAddress netip.AddrPort
	// Incarnation is the start time of the daemon in nanoseconds. It grows at each rejoin and
	// refutation.
	Incarnation uint64
	State       pb.MemberState
}

// CanOwn reports whether the member may be the desired holder of a resource. A suspect still
// qualifies, since most suspicions are refuted.
func (m Member) CanOwn() bool {
	return m.State == pb.MemberState_MEMBER_STATE_ALIVE || m.State == pb.MemberState_MEMBER_STATE_SUSPECT
}

// IsReachable reports whether the member has neither been dropped nor left, so that datagrams may be
// sent to it.
func (m Member) IsReachable() bool {
	return m.CanOwn() || m.State == pb.MemberState_MEMBER_STATE_LEAVING
}

// View is an immutable list of members, sorted by ID, including this daemon. A member that was
// dropped or has left stays in the view with that state for up to unreachableRetention.
type View struct {
	// Epoch counts the views that this daemon published. Epochs of different daemons are not
	// comparable.
	Epoch   uint64
	Members []Member
}

// Member returns the member with the given ID.
func (v *View) Member(id DaemonID) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].ID >= id })
	if i < len(v.Members) && v.Members[i].ID == id {
		return v.Members[i], true
	}
	return Member{}, false
}

// HasReachableMajority reports whether more than half of the members that have not left are
// reachable. Without a majority, it is more likely that this daemon is isolated than that the other
// members died.
func (v *View) HasReachableMajority() bool {
	reachable, total := 0, 0
	for _, m := range v.Members {
		if m.State == pb.MemberState_MEMBER_STATE_LEFT {
			continue
		}
		total++
		if m.IsReachable() {
			reachable++
		}
	}
	return 2*reachable > total
}

// Viewer provides the current view.
type Viewer interface {
	// View returns the current view, never nil.
	View() *View
}
