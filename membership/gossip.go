package membership

import (
	"math/bits"
	"sort"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// gossip holds the changes that are still passed on with probes and acks. It is guarded by
// the mutex of Membership.
type gossip struct {
	changes []change
}

type change struct {
	member Member
	// left is how many more datagrams carry the change.
	left int
	// dropAt is when a suspect is dropped here; zero for another state.
	dropAt time.Time
}

// add passes on a change in a group of size members, instead of an older one of the same member.
func (g *gossip) add(member Member, size int, dropAt time.Time) {
	g.remove(member.ID)
	g.changes = append(g.changes, change{member: member, left: repeatFactor * bits.Len(uint(size)), dropAt: dropAt})
}

func (g *gossip) remove(id DaemonID) {
	for i := range g.changes {
		if g.changes[i].member.ID == id {
			g.changes = append(g.changes[:i], g.changes[i+1:]...)
			return
		}
	}
}

// proto returns the message form. A suspect is passed on with the time that is left, so that
// all daemons drop it at about the same moment however late they hear of it.
func (c *change) proto() *pb.Member {
	p := c.member.Proto()
	if !c.dropAt.IsZero() {
		p.DropAfterMs = uint32(max(1, time.Until(c.dropAt).Milliseconds()))
	}
	return p
}

// take appends changes to dst, up to maxChanges in all and the least repeated first. Changes
// of the member skip are left out. count makes them count as passed on.
func (g *gossip) take(dst []*pb.Member, skip DaemonID, count bool) []*pb.Member {
	sort.SliceStable(g.changes, func(i, j int) bool { return g.changes[i].left > g.changes[j].left })
	kept := g.changes[:0]
	for _, c := range g.changes {
		if len(dst) < maxChanges && c.member.ID != skip {
			dst = append(dst, c.proto())
			if count {
				c.left--
			}
		}
		if c.left > 0 {
			kept = append(kept, c)
		}
	}
	g.changes = kept
	return dst
}
