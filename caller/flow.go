package caller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// readBatch is the number of datagrams in one read; most answers have only a few parts.
const readBatch = 4

// Flow is an open flow to a service. Its methods may be called concurrently.
type Flow struct {
	options Options
	key     wire.FlowKey
	opened  chan struct{}
	// ended is closed when the flow is closed or broken.
	ended chan struct{}

	mu       sync.Mutex
	isOpen   bool
	isEnded  bool
	broken   bool
	reason   pb.Reason
	token    uint64
	upstream uint32
	// lastID is the last assigned request id. It starts at the clock's microseconds, so that ids
	// also rise over consecutive flows on the same port. Otherwise an admission holder
	// could take a new request for a retransmission of an earlier one.
	lastID  uint64
	pending map[uint64]*pending
}

func newFlow(o Options, key wire.FlowKey) *Flow {
	return &Flow{
		options: o,
		key:     key,
		opened:  make(chan struct{}),
		ended:   make(chan struct{}),
		pending: map[uint64]*pending{},
		lastID:  uint64(time.Now().UnixMicro()),
	}
}

// Key returns the flow key.
func (f *Flow) Key() wire.FlowKey { return f.key }

// Upstream returns the number of the upstream in the latest packet that named one, 0 before.
func (f *Flow) Upstream() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstream
}

// Broken reports whether the service reset the flow, and the reason.
func (f *Flow) Broken() (bool, pb.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken, f.reason
}

// Close sends CLOSE to the service and closes the connection. Requests in progress
// return ErrClosed.
func (f *Flow) Close() { f.shutDown(true) }

func (f *Flow) shutDown(announce bool) {
	if announce && f.err() == nil {
		_ = f.send(&pb.Packet{Kind: pb.Kind_KIND_CLOSE})
	}
	f.end(false, pb.Reason_REASON_UNSPECIFIED)
	_ = f.options.Conn.Close()
}

// end marks the flow as ended; only the first call has an effect.
func (f *Flow) end(broken bool, reason pb.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isEnded {
		return
	}
	f.isEnded, f.broken, f.reason = true, broken, reason
	close(f.ended)
}

// err returns the reason why the flow cannot be used any more, or nil while it is usable.
func (f *Flow) err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.broken:
		return &BrokenError{Reason: f.reason}
	case f.isEnded:
		return ErrClosed
	}
	return nil
}

func (f *Flow) open(ctx context.Context) error {
	retry := f.newBackoff()
	for attempt := uint32(1); ; attempt++ {
		_ = f.send(&pb.Packet{Kind: pb.Kind_KIND_OPEN, Attempt: attempt})
		timer := time.NewTimer(retry.next())
		select {
		case <-f.opened:
			timer.Stop()
			return nil
		case <-f.ended:
			timer.Stop()
			return f.err()
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%w: %w", ErrNotOpened, ctx.Err())
		case <-timer.C:
		}
	}
}

// send sets the flow key and sends p. It returns an error only for an oversized packet, since a
// packet that the socket could not send is retransmitted like a lost one.
func (f *Flow) send(p *pb.Packet) error {
	p.Flow = f.key.Proto()
	raw, err := wire.EncodePacket(p)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	if err := f.options.Conn.Send(f.key.Service(), raw); err != nil {
		f.options.Counters.Count("caller.send_failed")
	}
	return nil
}

// read receives datagrams until the connection is closed.
func (f *Flow) read() {
	batch := make([]wire.Datagram, readBatch)
	for {
		n, err := f.options.Conn.ReadBatch(batch)
		if err != nil {
			if !errors.Is(err, wire.ErrClosed) {
				f.options.Logger.Warn().Str("event", "caller_read_failed").Err(err).Send()
			}
			f.end(false, pb.Reason_REASON_UNSPECIFIED)
			return
		}
		for _, d := range batch[:n] {
			f.receive(d.Data)
		}
	}
}

func (f *Flow) receive(raw []byte) {
	p, err := wire.DecodePacket(raw)
	if err != nil {
		f.options.Counters.CountDrop("malformed")
		return
	}
	if wire.FlowKeyFromProto(p.GetFlow()) != f.key {
		f.options.Counters.CountDrop("wrong_flow")
		return
	}
	switch p.GetKind() {
	case pb.Kind_KIND_OPENED:
		f.handleOpened(p)
	case pb.Kind_KIND_TOKEN:
		f.updateTokenAndUpstream(p)
		f.resendIdempotent()
	case pb.Kind_KIND_ANSWER:
		f.updateTokenAndUpstream(p)
		f.handleAnswer(p)
	case pb.Kind_KIND_KEEPALIVE:
		f.handleKeepalive()
	case pb.Kind_KIND_RESET:
		f.end(true, p.GetReason())
	case pb.Kind_KIND_CLOSE:
		f.end(true, p.GetReason())
	default:
		f.options.Counters.CountDrop("unexpected_kind")
	}
}

// updateTokenAndUpstream records the guard token and upstream that a packet of the service
// carries. Later tokens are larger, so a smaller one comes from a former admission holder and is
// ignored. The exception are packets that say that the token in use is stale: the clock of a new
// holder may be behind, and its tokens are then smaller.
func (f *Flow) updateTokenAndUpstream(p *pb.Packet) {
	isCurrent := p.GetKind() == pb.Kind_KIND_TOKEN || p.GetReason() == pb.Reason_REASON_STALE_GUARD
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.GetGuardToken() > f.token || (isCurrent && p.GetGuardToken() != 0) {
		f.token = p.GetGuardToken()
	}
	if p.GetUpstream() != 0 {
		f.upstream = p.GetUpstream()
	}
}

func (f *Flow) handleOpened(p *pb.Packet) {
	f.updateTokenAndUpstream(p)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isOpen {
		f.isOpen = true
		close(f.opened)
	}
}

func (f *Flow) handleKeepalive() {
	f.mu.Lock()
	known := f.isOpen && !f.isEnded
	f.mu.Unlock()
	if known {
		_ = f.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE_ACK})
		return
	}
	_ = f.send(&pb.Packet{Kind: pb.Kind_KIND_RESET, Reason: pb.Reason_REASON_UNKNOWN_FLOW})
}
