package membership

import (
	"math/bits"
	"sort"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// gossipQueue holds the member changes that are still to be sent with probes and acks. It is guarded
// by the mutex of Membership.
type gossipQueue struct {
	changes []queuedChange
}

// queuedChange is the new state of a member.
type queuedChange struct {
	member Member
	// sendsLeft is the number of further datagrams that carry the change.
	sendsLeft int
	// dropAt is when this daemon drops a suspect; zero for other states.
	dropAt time.Time
}

// add queues a change and replaces a queued change of the same member. The number of times that the
// change is sent grows with the logarithm of groupSize, the number of members.
func (g *gossipQueue) add(member Member, groupSize int, dropAt time.Time) {
	g.remove(member.ID)
	g.changes = append(g.changes, queuedChange{member: member,
		sendsLeft: gossipRetransmitFactor * bits.Len(uint(groupSize)), dropAt: dropAt})
}

// remove removes the queued change of a member, if there is one.
func (g *gossipQueue) remove(id DaemonID) {
	for i := range g.changes {
		if g.changes[i].member.ID == id {
			g.changes = append(g.changes[:i], g.changes[i+1:]...)
			return
		}
	}
}

// proto returns the change as a protobuf message. The message of a suspect carries the time until it
// is dropped, so that all daemons drop it at about the same time regardless of when they receive the
// change.
func (c *queuedChange) proto() *pb.Member {
	p := c.member.Proto()
	if !c.dropAt.IsZero() {
		p.DropAfterMs = uint32(max(1, time.Until(c.dropAt).Milliseconds()))
	}
	return p
}

// appendChanges appends queued changes to dst, those sent least often first, until dst holds
// maxChangesPerDatagram. It omits a change of the member exclude. With countSends, it decrements
// sendsLeft of the appended changes.
func (g *gossipQueue) appendChanges(dst []*pb.Member, exclude DaemonID, countSends bool) []*pb.Member {
	sort.SliceStable(g.changes, func(i, j int) bool { return g.changes[i].sendsLeft > g.changes[j].sendsLeft })
	remaining := g.changes[:0]
	for _, c := range g.changes {
		if len(dst) < maxChangesPerDatagram && c.member.ID != exclude {
			dst = append(dst, c.proto())
			if countSends {
				c.sendsLeft--
			}
		}
		if c.sendsLeft > 0 {
			remaining = append(remaining, c)
		}
	}
	g.changes = remaining
	return dst
}
