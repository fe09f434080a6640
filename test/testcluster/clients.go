package testcluster

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
)

// unreachableDelay is the time after which a call to an unreachable VM fails, unless its context
// ends earlier.
const unreachableDelay = time.Second

var errUnreachable = errors.New("VM is unreachable")

// clients calls the other daemons of the cluster directly, without HTTP.
type clients struct {
	cluster *Cluster
	self    netip.Addr
	viewer  membership.Viewer
	gate    *gate
}

func (c *clients) Client(id membership.DaemonID) (fulmarfieldv1connect.PeerServiceClient, error) {
	if _, ok := c.viewer.View().Member(id); !ok {
		return nil, peer.ErrUnknownPeer
	}
	return &remoteDaemon{c, c.cluster.Daemon(string(id))}, nil
}

func (c *clients) Claim(ctx context.Context, to membership.DaemonID, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	client, err := c.Client(to)
	if err != nil {
		return nil, err
	}
	return unwrapResponse(client.Claim(ctx, connect.NewRequest(r)))
}

func (c *clients) Offer(ctx context.Context, to membership.DaemonID, r *pb.OfferRequest) (*pb.OfferResponse, error) {
	client, err := c.Client(to)
	if err != nil {
		return nil, err
	}
	return unwrapResponse(client.Offer(ctx, connect.NewRequest(r)))
}

func (c *clients) FetchView(ctx context.Context, from membership.Member, r *pb.GetViewRequest) (*pb.GetViewResponse, error) {
	for _, d := range c.cluster.Live() {
		if d.Member.ControlAddress == from.ControlAddress {
			return unwrapResponse((&remoteDaemon{c, d}).GetView(ctx, connect.NewRequest(r)))
		}
	}
	return unwrapResponse(call(ctx, c, nil, "getview", r, func(fulmarfieldv1connect.PeerServiceHandler) (*connect.Response[pb.GetViewResponse], error) {
		return nil, errUnreachable
	}))
}

func unwrapResponse[T any](r *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// remoteDaemon is the client by which one daemon calls another one.
type remoteDaemon struct {
	from *clients
	to   *Daemon
}

// call makes one call with the latency of both directions. The response is lost if a cut or a crash
// of the callee separates the two daemons before it arrives. Both messages count as control traffic
// of their senders.
func call[T any](ctx context.Context, from *clients, to *Daemon, name string, request any, do func(fulmarfieldv1connect.PeerServiceHandler) (*connect.Response[T], error)) (*connect.Response[T], error) {
	from.gate.wait()
	from.cluster.countSent(from.self, name, request)
	if to == nil || !from.reaches(to) {
		return nil, failUnreachable(ctx)
	}
	time.Sleep(latencyBetweenZones)
	r, err := do(to.Node.PeerService())
	if err == nil {
		from.cluster.countSent(to.Member.PeerAddress.Addr(), name, r.Any())
	}
	time.Sleep(latencyBetweenZones)
	from.gate.wait()
	if !from.reaches(to) {
		return nil, failUnreachable(ctx)
	}
	return r, err
}

// countSent counts the message of one direction of a call as sent by its sender, as the interceptors
// of package peer do.
func (c *Cluster) countSent(sender netip.Addr, name string, message any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.daemons {
		if m, ok := message.(proto.Message); ok && d.Member.PeerAddress.Addr() == sender {
			peer.CountCall(d.Node.Counters(), d.budget, name, proto.Size(m))
		}
	}
}

func (c *clients) reaches(to *Daemon) bool {
	c.cluster.mu.Lock()
	alive := to.alive
	c.cluster.mu.Unlock()
	return alive && !to.peerGate.isClosed() && !c.cluster.isCut(c.self, to.Member.PeerAddress.Addr())
}

func failUnreachable(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(unreachableDelay):
	}
	return connect.NewError(connect.CodeUnavailable, errUnreachable)
}

func (r *remoteDaemon) GetConfiguration(ctx context.Context, q *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	return call(ctx, r.from, r.to, "getconfiguration", q.Msg, func(h fulmarfieldv1connect.PeerServiceHandler) (*connect.Response[pb.GetConfigurationResponse], error) {
		return h.GetConfiguration(ctx, q)
	})
}

func (r *remoteDaemon) PushConfiguration(ctx context.Context, q *connect.Request[pb.PushConfigurationRequest]) (*connect.Response[pb.PushConfigurationResponse], error) {
	return call(ctx, r.from, r.to, "pushconfiguration", q.Msg, func(h fulmarfieldv1connect.PeerServiceHandler) (*connect.Response[pb.PushConfigurationResponse], error) {
		return h.PushConfiguration(ctx, q)
	})
}

func (r *remoteDaemon) Claim(ctx context.Context, q *connect.Request[pb.ClaimRequest]) (*connect.Response[pb.ClaimResponse], error) {
	return call(ctx, r.from, r.to, "claim", q.Msg, func(h fulmarfieldv1connect.PeerServiceHandler) (*connect.Response[pb.ClaimResponse], error) {
		return h.Claim(ctx, q)
	})
}

func (r *remoteDaemon) Offer(ctx context.Context, q *connect.Request[pb.OfferRequest]) (*connect.Response[pb.OfferResponse], error) {
	return call(ctx, r.from, r.to, "offer", q.Msg, func(h fulmarfieldv1connect.PeerServiceHandler) (*connect.Response[pb.OfferResponse], error) {
		return h.Offer(ctx, q)
	})
}

func (r *remoteDaemon) GetView(ctx context.Context, q *connect.Request[pb.GetViewRequest]) (*connect.Response[pb.GetViewResponse], error) {
	return call(ctx, r.from, r.to, "getview", q.Msg, func(h fulmarfieldv1connect.PeerServiceHandler) (*connect.Response[pb.GetViewResponse], error) {
		return h.GetView(ctx, q)
	})
}

func (r *remoteDaemon) Status(ctx context.Context, q *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return call(ctx, r.from, r.to, "status", q.Msg, func(h fulmarfieldv1connect.PeerServiceHandler) (*connect.Response[pb.StatusResponse], error) {
		return h.Status(ctx, q)
	})
}
