package caller_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

var (
	serviceAddr = netip.MustParseAddrPort("127.2.1.1:700")
	callerAddr  = netip.MustParseAddrPort("127.0.9.1:4000")
)

// service is a scripted service: reply returns the packets that it sends for one received packet.
type service struct {
	mu    sync.Mutex
	seen  []*pb.Packet
	reply func(p *pb.Packet) []*pb.Packet
	conn  wire.Conn
}

func (s *service) serve() {
	batch := make([]wire.Datagram, 8)
	for {
		n, err := s.conn.ReadBatch(batch)
		if err != nil {
			return
		}
		for _, d := range batch[:n] {
			p, _ := wire.DecodePacket(d.Data)
			s.mu.Lock()
			s.seen = append(s.seen, p)
			s.mu.Unlock()
			for _, q := range s.reply(p) {
				s.send(q, p.GetFlow())
			}
		}
	}
}

func (s *service) send(q *pb.Packet, flow *pb.FlowKey) {
	if q.Flow == nil {
		q.Flow = flow
	}
	raw, _ := wire.EncodePacket(q)
	_ = s.conn.Send(callerAddr, raw)
}

func (s *service) receivedOfKind(k pb.Kind) []*pb.Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*pb.Packet
	for _, p := range s.seen {
		if p.GetKind() == k {
			found = append(found, p)
		}
	}
	return found
}

// runWithService opens a flow to a scripted service in virtual time and runs body with it.
func runWithService(t *testing.T, reply func(p *pb.Packet) []*pb.Packet, body func(g *WithT, f *caller.Flow, s *service, c *telemetry.Counters)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(nil)
		conn, err := network.Listen(serviceAddr)
		g.Expect(err).NotTo(HaveOccurred())
		s := &service{conn: conn}
		s.reply = func(p *pb.Packet) []*pb.Packet {
			if p.GetKind() == pb.Kind_KIND_OPEN {
				return []*pb.Packet{{Kind: pb.Kind_KIND_OPENED, GuardToken: 7, Upstream: 3}}
			}
			return reply(p)
		}
		go s.serve()
		counters := telemetry.NewCounters()
		d := &caller.Dialer{Listen: network.Listen, Local: callerAddr, Service: serviceAddr, Counters: counters,
			Rand: rand.New(rand.NewPCG(1, 2))}
		f, err := d.Open(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		body(g, f, s, counters)
		f.Close()
		_ = conn.Close()
	})
}

// Guards against a request that runs twice after a takeover because a retransmission carries
// a guard token that the caller received after the first transmission.
func TestRetransmissionKeepsIDAndToken(t *testing.T) {
	runWithService(t, func(p *pb.Packet) []*pb.Packet {
		if p.GetKind() != pb.Kind_KIND_REQUEST {
			return nil
		}
		if p.GetAttempt() < 3 {
			return []*pb.Packet{{Kind: pb.Kind_KIND_TOKEN, GuardToken: 8}}
		}
		return []*pb.Packet{{Kind: pb.Kind_KIND_ANSWER, RequestId: p.GetRequestId(), Status: pb.Status_STATUS_OK}}
	}, func(g *WithT, f *caller.Flow, s *service, _ *telemetry.Counters) {
		a, err := f.Request(context.Background(), caller.Request{Deadline: 5 * time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Status).To(Equal(pb.Status_STATUS_OK))
		g.Expect(a.Attempts).To(BeEquivalentTo(3))
		sent := s.receivedOfKind(pb.Kind_KIND_REQUEST)
		for i, p := range sent {
			g.Expect(p.GetGuardToken()).To(BeEquivalentTo(7))
			g.Expect(p.GetRequestId()).To(Equal(sent[0].GetRequestId()))
			g.Expect(p.GetAttempt()).To(BeEquivalentTo(i + 1))
		}
		g.Expect(sent[2].GetDeadlineMs()).To(BeNumerically("<", sent[0].GetDeadlineMs()))
		_, err = f.Request(context.Background(), caller.Request{Deadline: 5 * time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.receivedOfKind(pb.Kind_KIND_REQUEST)[3].GetGuardToken()).To(BeEquivalentTo(8))
	})
}

// Guards against a request reported as not run because one admission holder refused it, although
// another holder may have run it.
func TestRefusalAfterNewToken(t *testing.T) {
	runWithService(t, func(p *pb.Packet) []*pb.Packet {
		switch {
		case p.GetKind() != pb.Kind_KIND_REQUEST:
			return nil
		case p.GetGuardToken() == 7:
			return []*pb.Packet{{Kind: pb.Kind_KIND_TOKEN, GuardToken: 8}}
		}
		return []*pb.Packet{{Kind: pb.Kind_KIND_ANSWER, RequestId: p.GetRequestId(), GuardToken: 7, Status: pb.Status_STATUS_NOT_RUN}}
	}, func(g *WithT, f *caller.Flow, s *service, _ *telemetry.Counters) {
		start := time.Now()
		a, err := f.Request(context.Background(), caller.Request{Idempotent: true, Deadline: time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Status).To(Equal(pb.Status_STATUS_OUTCOME_UNKNOWN))
		g.Expect(time.Since(start)).To(BeNumerically("<", 10*time.Millisecond), "a new token triggers a retransmission at once")
		a, _ = f.Request(context.Background(), caller.Request{Idempotent: true, Deadline: time.Second})
		g.Expect(a.Status).To(Equal(pb.Status_STATUS_NOT_RUN), "all transmissions carried one token")
	})
}

// Guards against answers that are reassembled from parts of two runs, from too few parts, or from
// packets of another flow.
func TestAnswerIsReassembled(t *testing.T) {
	other, _ := wire.NewFlowKey(netip.MustParseAddrPort("127.0.9.2:1"), serviceAddr)
	runWithService(t, func(p *pb.Packet) []*pb.Packet {
		if p.GetKind() != pb.Kind_KIND_REQUEST {
			return nil
		}
		part := func(attempt, n uint32, text string) *pb.Packet {
			return &pb.Packet{Kind: pb.Kind_KIND_ANSWER, RequestId: p.GetRequestId(), Attempt: attempt, Part: n, Parts: 3,
				Status: pb.Status_STATUS_OK, Payload: []byte(text)}
		}
		foreign := part(1, 0, "x")
		foreign.Flow, foreign.Parts = other.Proto(), 1
		return []*pb.Packet{foreign, part(1, 2, "old"), part(2, 2, "c"), part(2, 2, "c"), part(2, 0, "a"), part(2, 1, "b"), part(2, 1, "b")}
	}, func(g *WithT, f *caller.Flow, _ *service, c *telemetry.Counters) {
		a, err := f.Request(context.Background(), caller.Request{Idempotent: true, Deadline: time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(a.Payload)).To(Equal("abc"))
		synctest.Wait()
		g.Expect(c.Get("drop.wrong_flow")).To(BeEquivalentTo(1))
		g.Expect(c.Get("drop.late_answer")).To(BeEquivalentTo(1))
	})
}

// Guards against requests that wait for ever after a lost answer, a cancelled context or a reset,
// and against reporting a request that was sent as not run.
func TestDeadlineCancelAndReset(t *testing.T) {
	runWithService(t, func(*pb.Packet) []*pb.Packet { return nil },
		func(g *WithT, f *caller.Flow, s *service, _ *telemetry.Counters) {
			start := time.Now()
			a, err := f.Request(context.Background(), caller.Request{Deadline: 3 * time.Second})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.Status).To(Equal(pb.Status_STATUS_OUTCOME_UNKNOWN))
			g.Expect(time.Since(start)).To(BeNumerically("~", 3*time.Second, 500*time.Millisecond))

			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err = f.Request(ctx, caller.Request{Deadline: time.Minute})
			g.Expect(err).To(MatchError(context.DeadlineExceeded))
			synctest.Wait()
			g.Expect(s.receivedOfKind(pb.Kind_KIND_CANCEL)).To(HaveLen(1))

			s.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE}, f.Key().Proto())
			synctest.Wait()
			g.Expect(s.receivedOfKind(pb.Kind_KIND_KEEPALIVE_ACK)).To(HaveLen(1))

			time.AfterFunc(time.Second, func() {
				s.send(&pb.Packet{Kind: pb.Kind_KIND_RESET, Reason: pb.Reason_REASON_HALF_OPEN}, f.Key().Proto())
			})
			a, err = f.Request(context.Background(), caller.Request{Deadline: time.Minute})
			var broken *caller.BrokenError
			g.Expect(errors.As(err, &broken)).To(BeTrue())
			g.Expect(broken.Reason).To(Equal(pb.Reason_REASON_HALF_OPEN))
			g.Expect(a.Status).To(Equal(pb.Status_STATUS_OUTCOME_UNKNOWN))
			isBroken, reason := f.Broken()
			g.Expect(isBroken).To(BeTrue())
			g.Expect(reason).To(Equal(pb.Reason_REASON_HALF_OPEN))
		})
}

// Guards against an answer that reaches the next caller on a port: the service sends second copies of the
// answers to the flow that used the port before, as soon as the next flow has a request in progress.
func TestLateCopyOnReusedPort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(nil)
		conn, err := network.Listen(serviceAddr)
		g.Expect(err).NotTo(HaveOccurred())
		s := &service{conn: conn}
		var answers []*pb.Packet
		s.reply = func(p *pb.Packet) []*pb.Packet {
			switch p.GetKind() {
			case pb.Kind_KIND_OPEN:
				return []*pb.Packet{{Kind: pb.Kind_KIND_OPENED, GuardToken: 7, Upstream: 3}}
			case pb.Kind_KIND_REQUEST:
				copies := slices.Clone(answers)
				answers = append(answers, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, RequestId: p.GetRequestId(), Attempt: p.GetAttempt(),
					GuardToken: p.GetGuardToken(), Status: pb.Status_STATUS_OK, Payload: p.GetPayload()})
				return append(copies, answers[len(answers)-1])
			}
			return nil
		}
		go s.serve()
		counters := telemetry.NewCounters()
		d := &caller.Dialer{Listen: network.Listen, Local: callerAddr, Service: serviceAddr, Counters: counters,
			Rand: rand.New(rand.NewPCG(1, 2))}
		const flows = 5
		for i := range flows {
			f, err := d.Open(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			request := fmt.Sprint("request ", i)
			a, err := f.Request(t.Context(), caller.Request{Payload: []byte(request), Deadline: time.Second})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(a.Payload)).To(Equal(request))
			f.Close()
			time.Sleep(time.Millisecond)
		}
		_ = conn.Close()
		g.Expect(counters.Get("drop.late_answer")).To(BeEquivalentTo(flows * (flows - 1) / 2))
	})
}

// Guards against an answer that breaks off and is returned as complete: each incomplete set of its parts
// arrives.
func TestAnswerThatBreaksOffIsNoSuccess(t *testing.T) {
	const parts = 4
	for pattern := range 1<<parts - 1 {
		runWithService(t, func(p *pb.Packet) []*pb.Packet {
			if p.GetKind() != pb.Kind_KIND_REQUEST {
				return nil
			}
			var arrived []*pb.Packet
			for part := range uint32(parts) {
				if pattern>>part&1 == 1 {
					arrived = append(arrived, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, RequestId: p.GetRequestId(), Attempt: 1,
						Part: part, Parts: parts, Status: pb.Status_STATUS_OK, Payload: []byte("part")})
				}
			}
			return arrived
		}, func(g *WithT, f *caller.Flow, _ *service, _ *telemetry.Counters) {
			a, err := f.Request(context.Background(), caller.Request{Deadline: time.Second})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.Status).To(Equal(pb.Status_STATUS_OUTCOME_UNKNOWN), "parts %04b", pattern)
			g.Expect(a.Payload).To(BeEmpty())
		})
	}
}
