package upstream

// rememberedTransmissions is far above the number of requests that reach an upstream while a
// copy of a datagram may still be on its way.
const rememberedTransmissions = 1 << 14

// transmissions remembers the numbers of the last requests, so that a copy which the network
// made of a datagram does not run. A request that a balancer sends again has another number
// and runs again, which the report then shows. The zero value is ready for use.
type transmissions struct {
	seen map[uint64]struct{}
	ring []uint64
	next int
}

// isCopy reports whether the number was seen before. Number 0 stands for no number.
func (t *transmissions) isCopy(number uint64) bool {
	if number == 0 {
		return false
	}
	if t.seen == nil {
		t.seen = map[uint64]struct{}{}
		t.ring = make([]uint64, rememberedTransmissions)
	}
	if _, seen := t.seen[number]; seen {
		return true
	}
	delete(t.seen, t.ring[t.next])
	t.ring[t.next] = number
	t.next = (t.next + 1) % len(t.ring)
	t.seen[number] = struct{}{}
	return false
}
