package membership

import (
	"net/netip"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Proto returns the message form of the member.
func (m Member) Proto() *pb.Member {
	return &pb.Member{
		Id:             string(m.ID),
		Zone:           m.Zone,
		PeerAddress:    addressText(m.PeerAddress),
		ControlAddress: addressText(m.ControlAddress),
		Incarnation:    m.Incarnation,
		State:          m.State,
	}
}

// MemberFromProto converts the message form. ok is false without an ID, a known state or a
// peer address. A control address that does not parse stays empty.
func MemberFromProto(p *pb.Member) (m Member, ok bool) {
	peer, err := netip.ParseAddrPort(p.GetPeerAddress())
	if err != nil || p.GetId() == "" || stateRank(p.GetState()) < 0 {
		return Member{}, false
	}
	control, err := netip.ParseAddrPort(p.GetControlAddress())
	if err != nil {
		control = netip.AddrPort{}
	}
	return Member{
		ID:             DaemonID(p.GetId()),
		Zone:           p.GetZone(),
		PeerAddress:    peer,
		ControlAddress: control,
		Incarnation:    p.GetIncarnation(),
		State:          p.GetState(),
	}, true
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// stateRank orders the states of one incarnation: a higher one replaces a lower one. It
// returns -1 for an unknown state.
func stateRank(s pb.MemberState) int {
	switch s {
	case pb.MemberState_MEMBER_STATE_ALIVE:
		return 0
	case pb.MemberState_MEMBER_STATE_SUSPECT:
		return 1
	case pb.MemberState_MEMBER_STATE_LEAVING:
		return 2
	case pb.MemberState_MEMBER_STATE_DROPPED:
		return 3
	case pb.MemberState_MEMBER_STATE_LEFT:
		return 4
	default:
		return -1
	}
}

// replaces reports whether a says something newer of a member than b.
func (m Member) replaces(b Member) bool {
	if m.Incarnation != b.Incarnation {
		return m.Incarnation > b.Incarnation
	}
	return stateRank(m.State) > stateRank(b.State)
}
