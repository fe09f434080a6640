package upstream

// rememberedTransmissions is far above the number of requests that reach an upstream while a
// copy of a datagram may still be on its way.
const rememberedTransmissions = 1 << 14

// transmissions remembers the work of the last transmission numbers. A datagram with a number
// that is known, repeated by a balancer or copied by the network, does not run again. A request
// that a balancer sends under another number runs again, which the report then shows. The
// zero value is ready for use.
type transmissions struct {
	seen map[uint64]*work
	ring []uint64
	next int
}

// find returns the work of a number, or nil. Number 0 stands for no number.
func (t *transmissions) find(number uint64) *work { return t.seen[number] }

// add remembers the work of a number and forgets the oldest.
func (t *transmissions) add(number uint64, w *work) {
	if number == 0 {
		return
	}
	if t.seen == nil {
		t.seen = map[uint64]*work{}
		t.ring = make([]uint64, rememberedTransmissions)
	}
	delete(t.seen, t.ring[t.next])
	t.ring[t.next] = number
	t.next = (t.next + 1) % len(t.ring)
	t.seen[number] = w
}
