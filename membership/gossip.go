package membership

import (
	"math/bits"
	"sort"

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
}

// add passes on a change in a group of size members, instead of an older one of the same member.
func (g *gossip) add(member Member, size int) {
	g.remove(member.ID)
	g.changes = append(g.changes, change{member: member, left: repeatFactor * bits.Len(uint(size))})
}

func (g *gossip) remove(id DaemonID) {
	for i := range g.changes {
		if g.changes[i].member.ID == id {
			g.changes = append(g.changes[:i], g.changes[i+1:]...)
			return
		}
	}
}

// take appends changes to dst, up to maxChanges in all and the least repeated first. Changes
// of the member skip are left out. count makes them count as passed on.
func (g *gossip) take(dst []*pb.Member, skip DaemonID, count bool) []*pb.Member {
	sort.SliceStable(g.changes, func(i, j int) bool { return g.changes[i].left > g.changes[j].left })
	kept := g.changes[:0]
	for _, c := range g.changes {
		if len(dst) < maxChanges && c.member.ID != skip {
			dst = append(dst, c.member.Proto())
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
