package clustertest_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/internal/clustertest"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// socketDaemon serves the calls between daemons on loopback sockets.
type socketDaemon struct {
	fulmarfieldv1connect.UnimplementedPeerServiceHandler
	members *membership.Membership
	owner   *ownership.Ownership
}

func (d *socketDaemon) GetView(_ context.Context, r *connect.Request[pb.GetViewRequest]) (*connect.Response[pb.GetViewResponse], error) {
	return connect.NewResponse(d.members.HandleGetView(r.Msg)), nil
}

func (d *socketDaemon) Claim(_ context.Context, r *connect.Request[pb.ClaimRequest]) (*connect.Response[pb.ClaimResponse], error) {
	response, err := d.owner.HandleClaim(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(response), nil
}

func (d *socketDaemon) Offer(_ context.Context, r *connect.Request[pb.OfferRequest]) (*connect.Response[pb.OfferResponse], error) {
	return connect.NewResponse(d.owner.HandleOffer(r.Msg)), nil
}

// startOnSockets runs a daemon until ctx ends. The daemon's seeds are the present content of seeds,
// to which the daemon is then added.
func startOnSockets(ctx context.Context, g *WithT, id string, resourceHandler ownership.ResourceHandler, resources []ownership.Resource, seeds *[]membership.Member) *socketDaemon {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	conn, err := wire.ListenUDP(anyPort)
	g.Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp4", anyPort.String())
	g.Expect(err).NotTo(HaveOccurred())
	self := membership.Member{ID: membership.DaemonID(id), PeerAddress: conn.LocalAddr(), ControlAddress: netip.MustParseAddrPort(listener.Addr().String())}

	d, counters := &socketDaemon{}, telemetry.NewCounters()
	viewer := membership.ViewerFunc(func() *membership.View { return d.members.View() })
	messenger := peer.NewMessenger(peer.MessengerOptions{Self: self.ID, Key: clustertest.Key, Conn: conn, Viewer: viewer, Counters: counters,
		Incarnation: func() uint64 { return d.members.SelfIncarnation() }})
	clients := peer.NewClients(viewer, &http.Client{}, clustertest.Key, counters, nil)
	known := append([]membership.Member(nil), *seeds...)
	*seeds = append(*seeds, self)
	d.members = membership.New(membership.Options{Self: self, Sender: messenger, Counters: counters, FetchView: clients.FetchView,
		Seeds:   func(context.Context) ([]membership.Member, error) { return known, nil },
		OnPause: func() { d.owner.OnPause() }})
	d.owner = ownership.New(ownership.Options{Self: self.ID, Viewer: d.members, Clients: clients, Settled: d.members.Settled, Counters: counters,
		Handlers:  map[pb.ResourceKind]ownership.ResourceHandler{pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION: resourceHandler},
		Resources: func() []ownership.Resource { return resources }})
	d.members.Subscribe(d.owner.OnViewChange)
	messenger.SetHandler(func(from membership.DaemonID, m *pb.PeerDatagram) { d.members.HandleDatagram(from, m) })

	_, handler := peer.NewHandler(d, clustertest.Key, counters, nil)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = messenger.Run(ctx) }()
	go func() { _ = d.members.Run(ctx) }()
	go func() { _ = d.owner.Run(ctx) }()
	return d
}

// Guards against membership, ownership or messaging that works over the in-memory network only:
// three daemons on loopback sockets join, share the resources, and one leaves.
func TestDaemonsOnSockets(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resources := clustertest.PartitionsAndAdmissions(1, 0)
	c := clustertest.New(1)
	var seeds []membership.Member
	var daemons []*socketDaemon
	for _, id := range []string{"a", "b", "c"} {
		daemons = append(daemons, startOnSockets(ctx, g, id, c.NewResourceHandler(), resources, &seeds))
	}
	held := func(list []*socketDaemon) func() int {
		return func() int {
			n := 0
			for _, d := range list {
				n += d.owner.NumHeld()
			}
			return n
		}
	}
	g.Eventually(held(daemons), 10*time.Second).Should(Equal(len(resources)))
	for _, d := range daemons {
		g.Eventually(d.owner.NumHeld, 10*time.Second).Should(BeNumerically(">", 0))
	}
	g.Eventually(held(daemons), 10*time.Second).Should(Equal(len(resources)))
	daemons[0].members.Leave()
	g.Expect(daemons[0].owner.Leave(ctx)).To(Succeed())
	g.Eventually(held(daemons[1:]), 10*time.Second).Should(Equal(len(resources)))
}
