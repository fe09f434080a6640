package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// claimHandler responds to claims and counts them.
type claimHandler struct {
	fulmarfieldv1connect.UnimplementedPeerServiceHandler
	claims int
}

func (h *claimHandler) Claim(_ context.Context, r *connect.Request[pb.ClaimRequest]) (*connect.Response[pb.ClaimResponse], error) {
	h.claims++
	response := &pb.ClaimResponse{}
	for _, resource := range r.Msg.GetResources() {
		response.Results = append(response.Results, &pb.ClaimResult{Resource: resource})
	}
	return connect.NewResponse(response), nil
}

// Guards against a call that is served without the cluster key, and against a call that is refused
// although it is authenticated with the cluster key.
func TestCallsRequireClusterKey(t *testing.T) {
	g := NewWithT(t)
	counters := telemetry.NewCounters()
	handler := &claimHandler{}
	_, h := peer.NewHandler(handler, key, counters, nil)
	server := httptest.NewServer(h)
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	viewer := membership.ViewerFunc(func() *membership.View {
		return &membership.View{Members: []membership.Member{{ID: "b", ControlAddress: addr}}}
	})
	request := &pb.ClaimRequest{Claimer: "a", Resources: []*pb.Resource{{Index: 7}}}

	authorized := peer.NewClients(viewer, server.Client(), key, counters, nil)
	response, err := authorized.Claim(t.Context(), "b", request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.GetResults()).To(HaveLen(1))
	g.Expect(counters.Get("control.sent.claim")).To(BeNumerically(">", 0))
	_, err = authorized.Claim(t.Context(), "unknown", request)
	g.Expect(err).To(MatchError(peer.ErrUnknownPeer))
	_, err = authorized.Offer(t.Context(), "b", &pb.OfferRequest{})
	g.Expect(err).To(MatchError(peer.ErrTransport), "not implemented by the handler")

	unauthorized := peer.NewClients(viewer, server.Client(), []byte("guessed"), telemetry.NewCounters(), nil)
	_, err = unauthorized.Claim(t.Context(), "b", request)
	g.Expect(err).To(MatchError(peer.ErrUnauthenticated))
	_, err = fulmarfieldv1connect.NewPeerServiceClient(http.DefaultClient, server.URL).Claim(t.Context(), connect.NewRequest(request))
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnauthenticated))
	g.Expect(handler.claims).To(Equal(1))
	g.Expect(counters.Get("drop.peer_unauthenticated")).To(Equal(int64(2)))
}
