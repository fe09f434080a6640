package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// ErrTransport reports that the socket or a call failed.
var ErrTransport = errors.New("peer transport failed")

const (
	// MaxDatagramBytes is the largest envelope that Send accepts: an Ethernet MTU without
	// the IP and UDP headers. A forward may be longer by the names of sender and receiver,
	// up to wire.ReceiveBufferBytes; the network layer then fragments it.
	MaxDatagramBytes = 1500 - headerBytes
	// headerBytes is the size of the IPv4 and UDP headers, which count as control bytes.
	headerBytes = 28
	readBatch   = 64
)

// MessengerOptions configures a Messenger. All fields but Gather, Logger and Budget are required.
type MessengerOptions struct {
	Self membership.DaemonID
	// Incarnation returns the current incarnation of this daemon.
	Incarnation func() uint64
	// Key is the cluster key of the settings.
	Key  []byte
	Conn wire.Conn
	// Gather are other connections on which handlers send. What the handlers of one read send
	// on them and on Conn goes out by few system calls.
	Gather   []wire.Conn
	Viewer   membership.Viewer
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Budget counts the datagrams whose senders do not take from it themselves; nil counts none.
	Budget *Budget
}

// Messenger sends and receives authenticated datagrams. It implements Sender. Its methods may
// be called concurrently.
type Messenger struct {
	options MessengerOptions
	sealer  *wire.Sealer
	traffic *traffic
	buffers sync.Pool
	handler atomic.Pointer[func(membership.DaemonID, *pb.PeerDatagram)]
	// forwarder receives forwards without a message; nil when HandleForward was not called.
	forwarder atomic.Pointer[ForwardHandler]

	mu    sync.RWMutex
	peers map[membership.DaemonID]*peerState
}

// peerState holds the next sequence to a peer and the replay window of datagrams from it.
type peerState struct {
	id       membership.DaemonID
	sequence atomic.Uint64
	mu       sync.Mutex
	window   wire.ReplayWindow
}

// buffer is the scratch space of one datagram to send.
type buffer struct {
	body, raw []byte
}

// NewMessenger returns a Messenger. Handle must be called before Run.
func NewMessenger(options MessengerOptions) *Messenger {
	return &Messenger{
		options: options,
		sealer:  wire.NewSealer(options.Key),
		traffic: newTraffic(options.Counters),
		buffers: sync.Pool{New: func() any {
			return &buffer{body: make([]byte, 0, wire.ReceiveBufferBytes), raw: make([]byte, 0, wire.ReceiveBufferBytes)}
		}},
		peers: map[membership.DaemonID]*peerState{},
	}
}

// Handle sets the function that receives each authentic datagram. It is called from the
// goroutine of Run; m belongs to it.
func (m *Messenger) Handle(f func(from membership.DaemonID, m *pb.PeerDatagram)) { m.handler.Store(&f) }

// ForwardHandler receives a forwarded packet, which is valid until it returns.
type ForwardHandler func(from membership.DaemonID, hops uint32, role pb.ForwardRole, packet []byte)

// HandleForward sets the function that receives forwards instead of the one of Handle, so
// that a forward is received without allocating a message.
func (m *Messenger) HandleForward(f ForwardHandler) { m.forwarder.Store(&f) }

// Send sends a datagram to a daemon of the view and changes the header fields of d. It
// returns ErrUnknownPeer, ErrTooLarge or ErrTransport.
func (m *Messenger) Send(to membership.DaemonID, d *pb.PeerDatagram) error {
	addr, err := m.address(to)
	if err != nil {
		return err
	}
	return m.SendTo(addr, to, d)
}

// SendTo sends a datagram to a daemon that need not be in the view. It returns ErrTooLarge
// or ErrTransport.
func (m *Messenger) SendTo(addr netip.AddrPort, to membership.DaemonID, d *pb.PeerDatagram) error {
	d.Sender, d.Receiver = string(m.options.Self), string(to)
	d.Incarnation, d.Sequence = m.options.Incarnation(), m.peer(to).sequence.Add(1)
	buf := m.buffers.Get().(*buffer)
	defer m.buffers.Put(buf)
	body, err := proto.MarshalOptions{}.MarshalAppend(buf.body[:0], d)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransport, err)
	}
	raw := m.sealer.Seal(buf.raw[:0], body)
	if len(raw) > MaxDatagramBytes {
		return ErrTooLarge
	}
	return m.transmit(addr, raw, kindOf(d))
}

// SendForward sends a serialized Packet to a daemon of the view without allocating. It
// returns the errors of Send.
func (m *Messenger) SendForward(to membership.DaemonID, hops uint32, role pb.ForwardRole, raw []byte) error {
	addr, err := m.address(to)
	if err != nil {
		return err
	}
	buf := m.buffers.Get().(*buffer)
	defer m.buffers.Put(buf)
	body := appendHeader(buf.body[:0], m.options.Self, to, m.options.Incarnation(), m.peer(to).sequence.Add(1))
	body = appendForward(body, hops, role, raw)
	sealed := m.sealer.Seal(buf.raw[:0], body)
	if len(sealed) > wire.ReceiveBufferBytes {
		return ErrTooLarge
	}
	return m.transmit(addr, sealed, kindForward)
}

func (m *Messenger) transmit(addr netip.AddrPort, raw []byte, k kind) error {
	if err := m.options.Conn.Send(addr, raw); err != nil {
		return fmt.Errorf("%w: %w", ErrTransport, err)
	}
	m.traffic.sent(k, len(raw))
	if m.options.Budget != nil && !k.takesBudget() {
		m.options.Budget.Spend(len(raw) + headerBytes)
	}
	return nil
}

func (m *Messenger) address(to membership.DaemonID) (netip.AddrPort, error) {
	member, ok := m.options.Viewer.View().Member(to)
	if !ok {
		return netip.AddrPort{}, ErrUnknownPeer
	}
	return member.PeerAddress, nil
}

func (m *Messenger) peer(id membership.DaemonID) *peerState {
	m.mu.RLock()
	p := m.peers[id]
	m.mu.RUnlock()
	if p != nil {
		return p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p = m.peers[id]; p == nil {
		p = &peerState{id: id}
		m.peers[id] = p
	}
	return p
}

// Run receives datagrams until ctx ends, closes the Conn and returns nil. It returns
// ErrTransport when the socket fails.
func (m *Messenger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.options.Conn.Close() })
	defer stop()
	batch := make([]wire.Datagram, readBatch)
	conns := append([]wire.Conn{m.options.Conn}, m.options.Gather...)
	for {
		n, err := m.options.Conn.ReadBatch(batch)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, wire.ErrClosed) {
				return nil
			}
			return fmt.Errorf("%w: %w", ErrTransport, err)
		}
		m.receiveBatch(conns, batch[:n])
	}
}

// receiveBatch gathers what handlers send, unless there is one datagram only.
func (m *Messenger) receiveBatch(conns []wire.Conn, batch []wire.Datagram) {
	if len(batch) == 1 {
		m.receive(batch[0])
		return
	}
	lost := wire.Gather(conns, func() {
		for _, d := range batch {
			m.receive(d)
		}
	})
	if lost > 0 {
		m.options.Counters.Add("drop.send_failed", int64(lost))
	}
}

func (m *Messenger) receive(d wire.Datagram) {
	body, err := m.sealer.Open(d.Data)
	if err != nil {
		m.refuse(d, err)
		return
	}
	h, err := parseHeader(body)
	if err != nil {
		m.refuse(d, err)
		return
	}
	if f := m.forwarder.Load(); f != nil && h.forward != nil {
		err = m.receiveForward(h, *f, len(d.Data))
	} else {
		err = m.receiveMessage(h, body, len(d.Data))
	}
	if err != nil {
		m.refuse(d, err)
	}
}

func (m *Messenger) receiveForward(h header, f ForwardHandler, size int) error {
	hops, role, packet, err := parseForward(h.forward)
	if err != nil {
		return err
	}
	p, err := m.admit(h)
	if err != nil {
		return err
	}
	m.traffic.received(kindForward, size)
	f(p.id, hops, role, packet)
	return nil
}

func (m *Messenger) receiveMessage(h header, body []byte, size int) error {
	message := &pb.PeerDatagram{}
	if proto.Unmarshal(body, message) != nil || message.GetBody() == nil {
		return wire.ErrMalformed
	}
	p, err := m.admit(h)
	if err != nil {
		return err
	}
	m.traffic.received(kindOf(message), size)
	if f := m.handler.Load(); f != nil {
		(*f)(p.id, message)
	}
	return nil
}

// errWrongReceiver reports a datagram that was sealed for another daemon.
var errWrongReceiver = errors.New("datagram is for another daemon")

// admit checks that an authentic datagram is for this daemon and is not a replay. A window
// knows nothing after a restart, so the incarnation in the view is a lower bound.
func (m *Messenger) admit(h header) (*peerState, error) {
	if string(h.receiver) != string(m.options.Self) || string(h.sender) == string(m.options.Self) {
		return nil, errWrongReceiver
	}
	p := m.sender(h.sender)
	if known, ok := m.options.Viewer.View().Member(p.id); ok && h.incarnation < known.Incarnation {
		return nil, wire.ErrReplayed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.window.Accept(h.incarnation, h.sequence)
}

// sender returns the state of a peer and allocates only for a new one.
func (m *Messenger) sender(id []byte) *peerState {
	m.mu.RLock()
	p := m.peers[membership.DaemonID(id)]
	m.mu.RUnlock()
	if p != nil {
		return p
	}
	return m.peer(membership.DaemonID(id))
}

func (m *Messenger) refuse(d wire.Datagram, err error) {
	reason := "peer_malformed"
	switch {
	case errors.Is(err, wire.ErrForged):
		reason = "peer_forged"
	case errors.Is(err, wire.ErrReplayed):
		reason = "peer_replayed"
	case errors.Is(err, errWrongReceiver):
		reason = "peer_wrong_receiver"
	}
	m.options.Counters.Drop(reason)
	m.options.Logger.Debug().Str("event", "peer_datagram_refused").Str("reason", reason).Stringer("from", d.Addr).Send()
}
