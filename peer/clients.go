package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
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

// ErrUnauthenticated reports a connect call without the proof of the cluster key.
var ErrUnauthenticated = errors.New("call does not carry the cluster key's proof")

// authHeader carries the proof that the caller knows the cluster key.
const authHeader = "Fulmar-Peer-Proof"

// ClientSet implements Clients with connect over HTTP/1.1. It keeps one client for each
// address. Its methods may be called concurrently.
type ClientSet struct {
	viewer      membership.Viewer
	http        connect.HTTPClient
	interceptor connect.Interceptor

	mu      sync.Mutex
	clients map[netip.AddrPort]fulmarfieldv1connect.PeerServiceClient
}

// NewClients returns the clients of the daemons in the view. Calls prove the cluster key and
// count their message bytes as control.sent.<procedure> and control.received.<procedure>.
func NewClients(viewer membership.Viewer, httpClient *http.Client, key []byte, counters *telemetry.Counters) *ClientSet {
	return &ClientSet{
		viewer:      viewer,
		http:        httpClient,
		interceptor: clientInterceptor(key, counters),
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

func clientInterceptor(key []byte, counters *telemetry.Counters) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(authHeader, proof(key, req.Spec().Procedure))
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

// NewServerInterceptor refuses calls that do not prove the cluster key with
// CodeUnauthenticated, and counts them as drop.peer_unauthenticated. The message bytes of
// other calls count as for NewClients.
func NewServerInterceptor(key []byte, counters *telemetry.Counters) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			want := proof(key, req.Spec().Procedure)
			if !hmac.Equal([]byte(req.Header().Get(authHeader)), []byte(want)) {
				counters.Drop("peer_unauthenticated")
				return nil, connect.NewError(connect.CodeUnauthenticated, ErrUnauthenticated)
			}
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

// proof is a bearer token for one procedure. It does not cover the message; a network that
// others can read needs TLS.
func proof(key []byte, procedure string) string {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte("connect " + procedure))
	return hex.EncodeToString(mac.Sum(nil))
}

func procedureName(procedure string) string { return strings.ToLower(path.Base(procedure)) }

func messageBytes(m any) int64 {
	if message, ok := m.(proto.Message); ok {
		return int64(proto.Size(message))
	}
	return 0
}
