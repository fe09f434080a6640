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

// NewClients returns the clients of the daemons in the view. They authenticate calls and responses
// with the cluster key. The bytes of a call, with an allowance for headers, are counted as
// control.sent.<procedure> and control.received.<procedure>; the bytes sent are also charged to the
// budget, which may be nil.
func NewClients(viewer membership.Viewer, httpClient *http.Client, key []byte, counters *telemetry.Counters, budget *Budget) *ClientSet {
	signing := *httpClient
	signing.Transport = newSigningTransport(httpClient.Transport, key, counters)
	return &ClientSet{
		viewer:      viewer,
		http:        &signing,
		interceptor: clientInterceptor(counters, budget),
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

func clientInterceptor(counters *telemetry.Counters, budget *Budget) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			name := procedureName(req.Spec().Procedure)
			CountCall(counters, budget, name, messageBytes(req.Any()))
			response, err := next(ctx, req)
			if err == nil {
				counters.Add("control.received."+name, int64(messageBytes(response.Any())+CallOverhead))
			}
			return response, err
		}
	})
}

// NewHandler returns the path and the handler of the connect interface for other daemons. The handler
// refuses calls that are not authenticated with the cluster key with CodeUnauthenticated and counts
// them. It counts the bytes of other calls as NewClients does.
func NewHandler(service fulmarfieldv1connect.PeerServiceHandler, key []byte, counters *telemetry.Counters, budget *Budget) (string, http.Handler) {
	path, handler := fulmarfieldv1connect.NewPeerServiceHandler(service,
		connect.WithInterceptors(serverInterceptor(counters, budget)))
	return path, newVerifyingHandler(handler, key, counters)
}

func serverInterceptor(counters *telemetry.Counters, budget *Budget) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			name := procedureName(req.Spec().Procedure)
			counters.Add("control.received."+name, int64(messageBytes(req.Any())+CallOverhead))
			response, err := next(ctx, req)
			if err == nil {
				CountCall(counters, budget, name, messageBytes(response.Any()))
			}
			return response, err
		}
	})
}

func procedureName(procedure string) string { return strings.ToLower(path.Base(procedure)) }

func messageBytes(m any) int {
	if message, ok := m.(proto.Message); ok {
		return proto.Size(message)
	}
	return 0
}

// CountCall counts a sent request or response, with an allowance for headers, as control.sent.<name>
// and charges it to the budget, which may be nil.
func CountCall(counters *telemetry.Counters, budget *Budget, name string, bytes int) {
	counters.Add("control.sent."+name, int64(bytes+CallOverhead))
	if budget != nil {
		budget.Spend(bytes + CallOverhead)
	}
}
