package ownership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarfield/fulmarfield/membership"
)

// candidate is a member with the hash of its ID, which the rendezvous scores for all resources
// use.
type candidate struct {
	membership.Member
	hash uint64
}

func newCandidates(v *membership.View) []candidate {
	list := make([]candidate, len(v.Members))
	for i, m := range v.Members {
		list[i] = candidate{Member: m, hash: xxhash.Sum64String(string(m.ID))}
	}
	return list
}

func (r Resource) hash() uint64 {
	var b [12]byte
	binary.BigEndian.PutUint32(b[0:], uint32(r.Kind))
	binary.BigEndian.PutUint32(b[4:], r.Service)
	binary.BigEndian.PutUint32(b[8:], r.Index)
	return xxhash.Sum64(b[:])
}

// score returns the rendezvous score of a member for a resource. It mixes the two hashes with the
// finalizer of SplitMix64, and all daemons compute the same value.
func score(member, resource uint64) uint64 {
	z := member ^ (resource * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// rankMembers returns up to limit members for which accept returns true, in descending order of
// their rendezvous score. Members of the preferred zone come first.
func rankMembers(list []candidate, resource uint64, zone string, limit int, accept func(membership.Member) bool) []membership.DaemonID {
	type ranked struct {
		id     membership.DaemonID
		inZone bool
		score  uint64
	}
	best := make([]ranked, 0, limit+1)
	for i := range list {
		c := &list[i]
		if !accept(c.Member) {
			continue
		}
		r := ranked{id: c.ID, inZone: zone != "" && c.Zone == zone, score: score(c.hash, resource)}
		at := len(best)
		for at > 0 && (r.inZone && !best[at-1].inZone || r.inZone == best[at-1].inZone && r.score > best[at-1].score) {
			at--
		}
		if at == limit {
			continue
		}
		best = append(best, ranked{})
		copy(best[at+1:], best[at:])
		best[at] = r
		best = best[:min(len(best), limit)]
	}
	ids := make([]membership.DaemonID, len(best))
	for i := range best {
		ids[i] = best[i].id
	}
	return ids
}
