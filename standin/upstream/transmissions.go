package upstream

// rememberedTransmissions limits the transmission numbers that are kept. It is far above the number
// of requests that reach an upstream while a duplicate of a datagram may still be in transit.
const rememberedTransmissions = 1 << 14

// transmissions maps the latest transmission numbers to their work. A datagram with a recorded
// number was retransmitted by a balancer or duplicated by the network, and its request does not run
// again. A request that a balancer sends under another number runs again, and the report shows it.
// The zero value is ready for use.
type transmissions struct {
	seen map[uint64]*work
	ring []uint64
	next int
}

// find returns the work of a transmission number, or nil. Number 0 means that the packet has none.
func (t *transmissions) find(number uint64) *work { return t.seen[number] }

// add records the work of a transmission number and evicts the oldest.
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
