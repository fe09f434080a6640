package membership

import (
	"net/netip"
	"sort"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// DaemonID is the name of a balancer daemon, unique in a deployment.
type DaemonID string

// Member is one daemon as this daemon sees it.
type Member struct {
	ID             DaemonID
	Zone           string
	PeerAddress    netip.AddrPort
	ControlAddress netip.AddrPort
	// Incarnation is the start time in nanoseconds, larger at each rejoin.
	Incarnation uint64
	State       pb.MemberState
}

// CanOwn reports whether the member may be the desired holder of a resource. A suspect still
// may, since most suspicions are refuted.
func (m Member) CanOwn() bool {
	return m.State == pb.MemberState_MEMBER_STATE_ALIVE || m.State == pb.MemberState_MEMBER_STATE_SUSPECT
}

// IsReachable reports whether datagrams to the member make sense: it has not been dropped
// and has not left.
func (m Member) IsReachable() bool {
	return m.CanOwn() || m.State == pb.MemberState_MEMBER_STATE_LEAVING
}

// View is an immutable list of members, sorted by ID, self included. Dropped members stay in
// it for a while with their state.
type View struct {
	// Epoch counts the changes that this daemon has seen; it means nothing to others.
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

// HearsMajority reports whether more than half of the members that have not left can be
// reached. Without a majority, this daemon is more likely to be cut off than the others are
// to have died.
func (v *View) HearsMajority() bool {
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

// Viewer gives the current view.
type Viewer interface {
	// View returns the current view, never nil.
	View() *View
}
