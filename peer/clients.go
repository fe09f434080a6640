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
// count as control.sent.<procedure> and control.received.<procedure>, with an allowance for
// headers, and in the budget, which may be nil.
func NewClients(viewer membership.Viewer, httpClient *http.Client, key []byte, counters *telemetry.Counters, budget *Budget) *ClientSet {
	return &ClientSet{
		viewer:      viewer,
		http:        httpClient,
		interceptor: clientInterceptor(key, counters, budget),
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

func clientInterceptor(key []byte, counters *telemetry.Counters, budget *Budget) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(authHeader, proof(key, req.Spec().Procedure))
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

// NewServerInterceptor refuses calls that do not prove the cluster key with
// CodeUnauthenticated, and counts them as drop.peer_unauthenticated. Other calls count as
// for NewClients.
func NewServerInterceptor(key []byte, counters *telemetry.Counters, budget *Budget) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			want := proof(key, req.Spec().Procedure)
			if !hmac.Equal([]byte(req.Header().Get(authHeader)), []byte(want)) {
				counters.Drop("peer_unauthenticated")
				return nil, connect.NewError(connect.CodeUnauthenticated, ErrUnauthenticated)
			}
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

// proof is a bearer token for one procedure. It does not cover the message; a network that
// others can read needs TLS.
func proof(key []byte, procedure string) string {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte("connect " + procedure))
	return hex.EncodeToString(mac.Sum(nil))
}

func procedureName(procedure string) string { return strings.ToLower(path.Base(procedure)) }

func messageBytes(m any) int {
	if message, ok := m.(proto.Message); ok {
		return proto.Size(message)
	}
	return 0
}

// CountCall counts one direction of a call with its headers as control.sent.<name> and in the
// budget, which may be nil.
func CountCall(counters *telemetry.Counters, budget *Budget, name string, bytes int) {
	counters.Add("control.sent."+name, int64(bytes+CallOverhead))
	if budget != nil {
		budget.Spend(bytes + CallOverhead)
	}
}
