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

// readBatch is the number of datagrams taken in one read; answers come in a few parts.
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
	lastID   uint64
	pending  map[uint64]*pending
}

func newFlow(o Options, key wire.FlowKey) *Flow {
	return &Flow{
		options: o,
		key:     key,
		opened:  make(chan struct{}),
		ended:   make(chan struct{}),
		pending: map[uint64]*pending{},
	}
}

// Key returns the flow key.
func (f *Flow) Key() wire.FlowKey { return f.key }

// Upstream returns the number of the upstream that last answered, 0 if none told it.
func (f *Flow) Upstream() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstream
}

// Broken reports whether the service reset the flow, and why.
func (f *Flow) Broken() (bool, pb.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken, f.reason
}

// Close tells the service that the flow ends and closes the connection. Requests in progress
// return ErrClosed.
func (f *Flow) Close() { f.shut(true) }

func (f *Flow) shut(announce bool) {
	if announce && f.err() == nil {
		_ = f.send(&pb.Packet{Kind: pb.Kind_KIND_CLOSE})
	}
	f.end(false, pb.Reason_REASON_UNSPECIFIED)
	_ = f.options.Conn.Close()
}

// end marks the flow as ended once; later calls change nothing.
func (f *Flow) end(broken bool, reason pb.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isEnded {
		return
	}
	f.isEnded, f.broken, f.reason = true, broken, reason
	close(f.ended)
}

// err returns why the flow cannot be used, nil while it can.
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

// send fills in the flow key and sends p. Losses are repaired by retransmission, so only
// an oversized packet is reported.
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

// read takes datagrams until the connection is closed.
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
		f.options.Counters.Drop("malformed")
		return
	}
	if wire.FlowKeyFromProto(p.GetFlow()) != f.key {
		f.options.Counters.Drop("wrong_flow")
		return
	}
	switch p.GetKind() {
	case pb.Kind_KIND_OPENED:
		f.handleOpened(p)
	case pb.Kind_KIND_TOKEN:
		f.learn(p)
	case pb.Kind_KIND_ANSWER:
		f.learn(p)
		f.handleAnswer(p)
	case pb.Kind_KIND_KEEPALIVE:
		f.handleKeepalive()
	case pb.Kind_KIND_RESET:
		f.end(true, p.GetReason())
	case pb.Kind_KIND_CLOSE:
		f.end(true, p.GetReason())
	default:
		f.options.Counters.Drop("unexpected_kind")
	}
}

// learn takes over the guard token and upstream that a packet of the service carries.
func (f *Flow) learn(p *pb.Packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.GetGuardToken() != 0 {
		f.token = p.GetGuardToken()
	}
	if p.GetUpstream() != 0 {
		f.upstream = p.GetUpstream()
	}
}

func (f *Flow) handleOpened(p *pb.Packet) {
	f.learn(p)
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
