package peer_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// recordingProxy forwards calls to a daemon that a test can restart. It records the last call and can
// modify request and response bodies.
type recordingProxy struct {
	daemon         http.Handler
	handler        *claimHandler
	counters       *telemetry.Counters
	lastRequest    *http.Request
	body           []byte
	tamperRequest  func([]byte) []byte
	tamperResponse func([]byte) []byte
}

// restartDaemon replaces the daemon with a new one without state.
func (p *recordingProxy) restartDaemon() {
	p.handler, p.counters = &claimHandler{}, telemetry.NewCounters()
	_, p.daemon = peer.NewHandler(p.handler, key, p.counters, nil)
}

func (p *recordingProxy) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	p.body, _ = io.ReadAll(r.Body)
	p.lastRequest = r.Clone(r.Context())
	response := p.sendRecorded(p.tamperRequest)
	for name, values := range response.Header() {
		rw.Header()[name] = values
	}
	body := response.Body.Bytes()
	if p.tamperResponse != nil {
		body = p.tamperResponse(body)
	}
	rw.WriteHeader(response.Code)
	_, _ = rw.Write(body)
}

// sendRecorded sends the recorded call to the daemon, with its body modified by tamper unless that is
// nil.
func (p *recordingProxy) sendRecorded(tamper func([]byte) []byte) *httptest.ResponseRecorder {
	body := bytes.Clone(p.body)
	if tamper != nil {
		body = tamper(body)
	}
	r := p.lastRequest.Clone(p.lastRequest.Context())
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	response := httptest.NewRecorder()
	p.daemon.ServeHTTP(response, r)
	return response
}

// startProxy returns a proxy in front of a daemon, a function that returns how often the client
// retried with a new nonce, and a function that sends a claim through the proxy.
func startProxy(t *testing.T) (proxy *recordingProxy, retries func() int64, claim func() error) {
	proxy = &recordingProxy{}
	proxy.restartDaemon()
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	viewer := membership.ViewerFunc(func() *membership.View {
		return &membership.View{Members: []membership.Member{{ID: "b", ControlAddress: addr}}}
	})
	counters := telemetry.NewCounters()
	clients := peer.NewClients(viewer, server.Client(), key, counters, nil)
	return proxy, func() int64 { return counters.Get("retry.peer_nonce") }, func() error {
		_, err := clients.Claim(t.Context(), "b", &pb.ClaimRequest{Claimer: "a", Resources: []*pb.Resource{{Index: 7}}})
		return err
	}
}

// Guards against a recorded call that runs again when it is replayed, before or after a restart of
// the daemon.
func TestReplayedCallIsRefused(t *testing.T) {
	g := NewWithT(t)
	proxy, retries, claim := startProxy(t)
	g.Expect(claim()).To(Succeed())
	g.Expect(proxy.handler.claims).To(Equal(1))
	g.Expect(proxy.sendRecorded(nil).Code).To(Equal(http.StatusUnauthorized))
	g.Expect(proxy.handler.claims).To(Equal(1))
	g.Expect(proxy.counters.Get("drop.peer_call_replayed")).To(Equal(int64(1)))

	proxy.restartDaemon()
	g.Expect(proxy.sendRecorded(nil).Code).To(Equal(http.StatusUnauthorized))
	g.Expect(proxy.handler.claims).To(BeZero())
	g.Expect(claim()).To(Succeed(), "a restarted daemon issues a new nonce")
	g.Expect(proxy.handler.claims).To(Equal(1))
	g.Expect(claim()).To(Succeed())
	g.Expect(retries()).To(Equal(int64(2)), "the first call to each process is retried")
}

// Guards against a call that is served although its body was modified in transit.
func TestTamperedCallIsRefused(t *testing.T) {
	g := NewWithT(t)
	proxy, _, claim := startProxy(t)
	g.Expect(claim()).To(Succeed())
	proxy.tamperRequest = func(b []byte) []byte { b[len(b)-1] ^= 1; return b }
	g.Expect(claim()).To(MatchError(peer.ErrUnauthenticated))
	g.Expect(proxy.handler.claims).To(Equal(1))
	g.Expect(proxy.counters.Get("drop.peer_unauthenticated")).To(Equal(int64(1)))
}

// Guards against a response that is accepted although it was modified in transit or belongs to
// another call.
func TestForgedResponseIsRefused(t *testing.T) {
	g := NewWithT(t)
	proxy, _, claim := startProxy(t)
	g.Expect(claim()).To(Succeed())
	proxy.tamperResponse = func(b []byte) []byte { return append(b, 0x0a, 0) }
	g.Expect(claim()).To(MatchError(peer.ErrUnauthenticated))
	proxy.tamperResponse = nil
	earlier := proxy.sendRecorded(nil) // The replay is refused, but the response carries a valid MAC.
	proxy.daemon = http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header()["Fulmar-Peer-Proof"] = earlier.Header()["Fulmar-Peer-Proof"]
		rw.WriteHeader(http.StatusOK)
	})
	g.Expect(claim()).To(MatchError(peer.ErrUnauthenticated))
}

// Guards against a call without a valid MAC, such as that of a daemon with another cluster key, that is
// served, or that is refused without being counted.
func TestCallWithoutKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	proxy, _, claim := startProxy(t)
	g.Expect(claim()).To(Succeed())
	proxy.lastRequest.Header.Del("Fulmar-Peer-Proof")
	g.Expect(proxy.sendRecorded(nil).Code).To(Equal(http.StatusUnauthorized))
	proxy.lastRequest.Header.Set("Fulmar-Peer-Proof", "a.b.c")
	g.Expect(proxy.sendRecorded(nil).Code).To(Equal(http.StatusUnauthorized))
	g.Expect(proxy.handler.claims).To(Equal(1))
	g.Expect(proxy.counters.Get("drop.peer_unauthenticated")).To(Equal(int64(2)))
}
