package peer

import (
	"context"
	"net/http"
	"net/netip"
	"path"
	"strings"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// ClientSet implements Clients with connect over HTTP/1.1. It keeps one client for each
// address. Its methods may be called concurrently.
type ClientSet struct {
	viewer      membership.Viewer
	http        connect.HTTPClient
	interceptor connect.Interceptor

	mu      sync.Mutex
	clients map[netip.AddrPort]fulmarfieldv1connect.PeerServiceClient
}

// NewClients returns the clients of the daemons in the view. Calls prove the cluster key, check
// that answers do, and count their message bytes as control.sent.<procedure> and control.received.<procedure>.
func NewClients(viewer membership.Viewer, httpClient *http.Client, key []byte, counters *telemetry.Counters) *ClientSet {
	signing := *httpClient
	signing.Transport = newSigner(httpClient.Transport, key, counters)
	return &ClientSet{
		viewer:      viewer,
		http:        &signing,
		interceptor: clientInterceptor(counters),
		clients:     map[netip.AddrPort]fulmarfieldv1connect.PeerServiceClient{},
	}
}

// Client returns the client of a daemon of the view, or ErrUnknownPeer.
func (c *ClientSet) Client(id membership.DaemonID) (fulmarfieldv1connect.PeerServiceClient, error) {
	member, ok := c.viewer.View().Member(id)
	if !ok || !member.ControlAddress.IsValid() {
		return nil, ErrUnknownPeer
	}
	return c.ClientAt(member.ControlAddress), nil
}

// ClientAt returns the client of the connect interface at addr, which need not be in the view.
func (c *ClientSet) ClientAt(addr netip.AddrPort) fulmarfieldv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[addr]
	if client == nil {
		client = fulmarfieldv1connect.NewPeerServiceClient(c.http, "http://"+addr.String(), connect.WithInterceptors(c.interceptor))
		c.clients[addr] = client
	}
	return client
}

func clientInterceptor(counters *telemetry.Counters) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			name := procedureName(req.Spec().Procedure)
			counters.Add("control.sent."+name, messageBytes(req.Any()))
			response, err := next(ctx, req)
			if err == nil {
				counters.Add("control.received."+name, messageBytes(response.Any()))
			}
			return response, err
		}
	})
}

// NewHandler returns the path and the handler of the connect interface for other daemons. It
// refuses calls that do not prove the cluster key with CodeUnauthenticated and counts them. The
// message bytes of other calls count as for NewClients.
func NewHandler(service fulmarfieldv1connect.PeerServiceHandler, key []byte, counters *telemetry.Counters) (string, http.Handler) {
	path, handler := fulmarfieldv1connect.NewPeerServiceHandler(service,
		connect.WithInterceptors(serverInterceptor(counters)))
	return path, newVerifier(handler, key, counters)
}

func serverInterceptor(counters *telemetry.Counters) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			name := procedureName(req.Spec().Procedure)
			counters.Add("control.received."+name, messageBytes(req.Any()))
			response, err := next(ctx, req)
			if err == nil {
				counters.Add("control.sent."+name, messageBytes(response.Any()))
			}
			return response, err
		}
	})
}

func procedureName(procedure string) string { return strings.ToLower(path.Base(procedure)) }

func messageBytes(m any) int64 {
	if message, ok := m.(proto.Message); ok {
		return int64(proto.Size(message))
	}
	return 0
}
