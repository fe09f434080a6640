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
	// the IP and UDP headers. A forward may exceed it by the length of the sender's and receiver's
	// names, up to wire.ReceiveBufferBytes; the network layer then fragments the datagram.
	MaxDatagramBytes = 1500 - headerBytes
	// headerBytes is the size of the IPv4 and UDP headers, which are included in byte counts.
	headerBytes = 28
	// readBatchSize limits the datagrams of one read from the socket.
	readBatchSize = 64
)

// MessengerOptions configures a Messenger. All fields but Gather, Logger and Budget are required.
type MessengerOptions struct {
	Self membership.DaemonID
	// Incarnation returns the current incarnation of this daemon.
	Incarnation func() uint64
	// Key is the cluster key of the settings.
	Key  []byte
	Conn wire.Conn
	// Gather lists further connections on which handlers send. While a batch of received datagrams is
	// processed, the datagrams that handlers send on these connections and on Conn are gathered into few
	// system calls.
	Gather   []wire.Conn
	Viewer   membership.Viewer
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Budget is charged with the control datagrams whose senders do not charge it themselves; nil
	// charges none.
	Budget *Budget
	// OnRead is called after each read of datagrams and before they are handled; nil is allowed.
	OnRead func()
}

// Messenger sends and receives authenticated datagrams. It implements Sender. Its methods may
// be called concurrently.
type Messenger struct {
	options MessengerOptions
	sealer  *wire.Sealer
	traffic *traffic
	buffers sync.Pool
	handler atomic.Pointer[func(membership.DaemonID, *pb.PeerDatagram)]
	// forwardHandler receives forwards that are decoded by the fast path, without a protobuf message.
	// It is nil when SetForwardHandler was not called.
	forwardHandler atomic.Pointer[ForwardHandler]

	mu    sync.RWMutex
	peers map[membership.DaemonID]*peerState
}

// peerState holds the last sequence number sent to a peer and the replay window of datagrams from it.
type peerState struct {
	id       membership.DaemonID
	sequence atomic.Uint64
	mu       sync.Mutex
	window   wire.ReplayWindow
}

// sendBuffer is reusable memory for serializing one datagram.
type sendBuffer struct {
	body, raw []byte
}

// NewMessenger returns a Messenger. SetHandler must be called before Run.
func NewMessenger(options MessengerOptions) *Messenger {
	if options.OnRead == nil {
		options.OnRead = func() {}
	}
	return &Messenger{
		options: options,
		sealer:  wire.NewSealer(options.Key),
		traffic: newTraffic(options.Counters),
		buffers: sync.Pool{New: func() any {
			return &sendBuffer{body: make([]byte, 0, wire.ReceiveBufferBytes), raw: make([]byte, 0, wire.ReceiveBufferBytes)}
		}},
		peers: map[membership.DaemonID]*peerState{},
	}
}

// SetHandler sets the function that receives each authentic datagram. The goroutine of Run calls f, which
// may retain m.
func (m *Messenger) SetHandler(f func(from membership.DaemonID, m *pb.PeerDatagram)) {
	m.handler.Store(&f)
}

// ForwardHandler receives a forwarded packet, which is valid until the handler returns.
type ForwardHandler func(from membership.DaemonID, hops uint32, role pb.ForwardRole, packet []byte)

// SetForwardHandler sets the function that receives forwards in place of the function of SetHandler,
// so that a forward is received without allocating a protobuf message.
func (m *Messenger) SetForwardHandler(f ForwardHandler) { m.forwardHandler.Store(&f) }

// Send sends a datagram to a daemon of the view. It sets the header fields of d. It returns
// ErrUnknownPeer, ErrTooLarge or ErrTransport.
func (m *Messenger) Send(to membership.DaemonID, d *pb.PeerDatagram) error {
	addr, err := m.peerAddress(to)
	if err != nil {
		return err
	}
	return m.SendTo(addr, to, d)
}

// SendTo sends a datagram to a daemon that need not be in the view. It returns ErrTooLarge
// or ErrTransport.
func (m *Messenger) SendTo(addr netip.AddrPort, to membership.DaemonID, d *pb.PeerDatagram) error {
	d.Sender, d.Receiver = string(m.options.Self), string(to)
	d.Incarnation, d.Sequence = m.options.Incarnation(), m.getOrCreatePeer(to).sequence.Add(1)
	buf := m.buffers.Get().(*sendBuffer)
	defer m.buffers.Put(buf)
	body, err := proto.MarshalOptions{}.MarshalAppend(buf.body[:0], d)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransport, err)
	}
	raw := m.sealer.Seal(buf.raw[:0], body)
	if len(raw) > MaxDatagramBytes {
		return ErrTooLarge
	}
	return m.transmit(addr, raw, classifyBody(d))
}

// SendForward sends a serialized Packet to a daemon of the view without allocating. It
// returns the errors of Send.
func (m *Messenger) SendForward(to membership.DaemonID, hops uint32, role pb.ForwardRole, raw []byte) error {
	addr, err := m.peerAddress(to)
	if err != nil {
		return err
	}
	buf := m.buffers.Get().(*sendBuffer)
	defer m.buffers.Put(buf)
	body := appendHeader(buf.body[:0], m.options.Self, to, m.options.Incarnation(), m.getOrCreatePeer(to).sequence.Add(1))
	body = appendForward(body, hops, role, raw)
	sealed := m.sealer.Seal(buf.raw[:0], body)
	if len(sealed) > wire.ReceiveBufferBytes {
		return ErrTooLarge
	}
	return m.transmit(addr, sealed, kindForward)
}

func (m *Messenger) transmit(addr netip.AddrPort, raw []byte, k bodyKind) error {
	if err := m.options.Conn.Send(addr, raw); err != nil {
		return fmt.Errorf("%w: %w", ErrTransport, err)
	}
	m.traffic.addSent(k, len(raw))
	if m.options.Budget != nil && !k.isBudgetExempt() {
		m.options.Budget.Spend(len(raw) + headerBytes)
	}
	return nil
}

func (m *Messenger) peerAddress(to membership.DaemonID) (netip.AddrPort, error) {
	member, ok := m.options.Viewer.View().Member(to)
	if !ok {
		return netip.AddrPort{}, ErrUnknownPeer
	}
	return member.PeerAddress, nil
}

// getOrCreatePeer returns the state of a peer and creates it if it is missing.
func (m *Messenger) getOrCreatePeer(id membership.DaemonID) *peerState {
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
	batch := make([]wire.Datagram, readBatchSize)
	conns := append([]wire.Conn{m.options.Conn}, m.options.Gather...)
	for {
		n, err := m.options.Conn.ReadBatch(batch)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, wire.ErrClosed) {
				return nil
			}
			return fmt.Errorf("%w: %w", ErrTransport, err)
		}
		m.options.OnRead()
		m.receiveBatch(conns, batch[:n])
	}
}

// receiveBatch processes received datagrams and gathers those that handlers send meanwhile. It does
// not gather for a single datagram.
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
		m.dropDatagram(d, err)
		return
	}
	h, err := parseHeader(body)
	if err != nil {
		m.dropDatagram(d, err)
		return
	}
	if f := m.forwardHandler.Load(); f != nil && h.forward != nil {
		err = m.receiveForward(h, *f, len(d.Data))
	} else {
		err = m.receiveMessage(h, body, len(d.Data))
	}
	if err != nil {
		m.dropDatagram(d, err)
	}
}

func (m *Messenger) receiveForward(h header, f ForwardHandler, size int) error {
	hops, role, packet, err := parseForward(h.forward)
	if err != nil {
		return err
	}
	p, err := m.acceptHeader(h)
	if err != nil {
		return err
	}
	m.traffic.addReceived(kindForward, size)
	f(p.id, hops, role, packet)
	return nil
}

func (m *Messenger) receiveMessage(h header, body []byte, size int) error {
	message := &pb.PeerDatagram{}
	if proto.Unmarshal(body, message) != nil || message.GetBody() == nil {
		return wire.ErrMalformed
	}
	p, err := m.acceptHeader(h)
	if err != nil {
		return err
	}
	m.traffic.addReceived(classifyBody(message), size)
	if f := m.handler.Load(); f != nil {
		(*f)(p.id, message)
	}
	return nil
}

// errWrongReceiver reports a datagram that was addressed to another daemon.
var errWrongReceiver = errors.New("datagram is for another daemon")

// acceptHeader checks that an authentic datagram is addressed to this daemon and is not a replay, and
// returns the state of its sender. Replay windows are empty after a restart of this daemon, so the
// sender's incarnation in the view is a lower bound as well.
func (m *Messenger) acceptHeader(h header) (*peerState, error) {
	if string(h.receiver) != string(m.options.Self) || string(h.sender) == string(m.options.Self) {
		return nil, errWrongReceiver
	}
	p := m.getOrCreateSender(h.sender)
	if known, ok := m.options.Viewer.View().Member(p.id); ok && h.incarnation < known.Incarnation {
		return nil, wire.ErrReplayed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.window.Accept(h.incarnation, h.sequence)
}

// getOrCreateSender is getOrCreatePeer for an ID in a received datagram. It allocates only for a new peer.
func (m *Messenger) getOrCreateSender(id []byte) *peerState {
	m.mu.RLock()
	p := m.peers[membership.DaemonID(id)]
	m.mu.RUnlock()
	if p != nil {
		return p
	}
	return m.getOrCreatePeer(membership.DaemonID(id))
}

// dropDatagram counts and logs a received datagram that is not processed.
func (m *Messenger) dropDatagram(d wire.Datagram, err error) {
	reason := "peer_malformed"
	switch {
	case errors.Is(err, wire.ErrForged):
		reason = "peer_forged"
	case errors.Is(err, wire.ErrReplayed):
		reason = "peer_replayed"
	case errors.Is(err, errWrongReceiver):
		reason = "peer_wrong_receiver"
	}
	m.options.Counters.CountDrop(reason)
	m.options.Logger.Debug().Str("event", "peer_datagram_refused").Str("reason", reason).Stringer("from", d.Addr).Send()
}
