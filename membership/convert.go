package membership

import (
	"net/netip"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Proto returns the member as a protobuf message.
func (m Member) Proto() *pb.Member {
	return &pb.Member{
		Id:             string(m.ID),
		Zone:           m.Zone,
		PeerAddress:    formatAddress(m.PeerAddress),
		ControlAddress: formatAddress(m.ControlAddress),
		Incarnation:    m.Incarnation,
		State:          m.State,
	}
}

// MemberFromProto converts a protobuf message. ok is false when the ID, a known state or a valid
// peer address is missing. A control address that does not parse stays empty.
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

// formatAddress returns the text of an address, empty for the zero value.
func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// stateRank orders the states of one incarnation: a state of higher rank supersedes one of lower
// rank. It returns -1 for an unknown state.
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

// supersedes reports whether m is a newer state of the same member than other.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return stateRank(m.State) > stateRank(other.State)
}
