package daemon

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// peerService handles the calls of other daemons. It implements both the handler and the client
// interface of PeerService, so that tests can use it without HTTP.
type peerService struct{ node *Node }

func (s peerService) GetConfiguration(_ context.Context, r *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	return connect.NewResponse(s.node.relay.HandleGet(r.Msg)), nil
}

func (s peerService) PushConfiguration(_ context.Context, r *connect.Request[pb.PushConfigurationRequest]) (*connect.Response[pb.PushConfigurationResponse], error) {
	return connect.NewResponse(s.node.relay.HandlePush(r.Msg)), nil
}

func (s peerService) Claim(_ context.Context, r *connect.Request[pb.ClaimRequest]) (*connect.Response[pb.ClaimResponse], error) {
	response, err := s.node.ownership.HandleClaim(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(response), nil
}

func (s peerService) Offer(_ context.Context, r *connect.Request[pb.OfferRequest]) (*connect.Response[pb.OfferResponse], error) {
	return connect.NewResponse(s.node.ownership.HandleOffer(r.Msg)), nil
}

func (s peerService) GetView(_ context.Context, r *connect.Request[pb.GetViewRequest]) (*connect.Response[pb.GetViewResponse], error) {
	return connect.NewResponse(s.node.membership.HandleGetView(r.Msg)), nil
}

func (s peerService) Status(_ context.Context, r *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return connect.NewResponse(s.node.statusWithRoute(r.Msg)), nil
}

// statusWithRoute returns the status with the flows and the route that the request names.
func (n *Node) statusWithRoute(r *pb.StatusRequest) *pb.StatusResponse {
	status := n.Status(r.GetCaller())
	if r.GetRoute() != nil {
		status.Route = n.explainRoute(wire.FlowKeyFromProto(r.GetRoute()))
	}
	return status
}

// maxStatusFlows limits the number of flows in one status, so that the message stays small.
const maxStatusFlows = 200

// Status returns the status of this daemon. It includes only the flows of the given caller, an IP or
// an IP:port, and none for "".
func (n *Node) Status(caller string) *pb.StatusResponse {
	snapshot := n.relay.Current()
	stats := n.steerer.Stats()
	status := &pb.StatusResponse{
		Daemon:            string(n.self.ID),
		Zone:              n.self.Zone,
		Generation:        snapshot.Generation(),
		GenerationAgeMs:   n.relay.GenerationAge().Milliseconds(),
		Incarnation:       n.membership.SelfIncarnation(),
		Counters:          n.counters.Snapshot(),
		FlowCount:         stats.Flows,
		ResourcesHeld:     uint32(n.ownership.NumHeld()),
		ResourcesClaiming: uint32(n.ownership.NumClaiming()),
		Leaving:           n.leaving.Load(),
		PlatformReachable: n.relay.PlatformReachable(),
	}
	if caller != "" {
		status.Flows = n.steerer.Flows(caller, maxStatusFlows)
	}
	for _, service := range snapshot.Services() {
		for _, u := range service.GetUpstreams() {
			entry := n.requests.Status(u.GetNumber())
			entry.Upstream, entry.Service = u.GetNumber(), service.GetNumber()
			entry.Flows = stats.ByUpstream[u.GetNumber()]
			status.Upstreams = append(status.Upstreams, entry)
		}
	}
	return status
}

// statusTimeout limits how long the response to an operator waits for the statuses of daemons.
const statusTimeout = time.Second
