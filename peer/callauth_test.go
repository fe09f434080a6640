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

// wiretap passes calls on to a daemon that may be replaced, keeps the last one, and may change
// bodies on the way.
type wiretap struct {
	daemon       http.Handler
	handler      *claimHandler
	counters     *telemetry.Counters
	last         *http.Request
	body         []byte
	changeCall   func([]byte) []byte
	changeAnswer func([]byte) []byte
}

// restart replaces the daemon by one that remembers nothing.
func (w *wiretap) restart() {
	w.handler, w.counters = &claimHandler{}, telemetry.NewCounters()
	_, w.daemon = peer.NewHandler(w.handler, key, w.counters, nil)
}

func (w *wiretap) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.body, _ = io.ReadAll(r.Body)
	w.last = r.Clone(r.Context())
	answer := w.repeat(w.changeCall)
	for name, values := range answer.Header() {
		rw.Header()[name] = values
	}
	body := answer.Body.Bytes()
	if w.changeAnswer != nil {
		body = w.changeAnswer(body)
	}
	rw.WriteHeader(answer.Code)
	_, _ = rw.Write(body)
}

// repeat sends the last call to the daemon.
func (w *wiretap) repeat(change func([]byte) []byte) *httptest.ResponseRecorder {
	body := bytes.Clone(w.body)
	if change != nil {
		body = change(body)
	}
	r := w.last.Clone(w.last.Context())
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	answer := httptest.NewRecorder()
	w.daemon.ServeHTTP(answer, r)
	return answer
}

func tapped(t *testing.T) (w *wiretap, retries func() int64, claim func() error) {
	w = &wiretap{}
	w.restart()
	server := httptest.NewServer(w)
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	viewer := membership.ViewerFunc(func() *membership.View {
		return &membership.View{Members: []membership.Member{{ID: "b", ControlAddress: addr}}}
	})
	counters := telemetry.NewCounters()
	clients := peer.NewClients(viewer, server.Client(), key, counters, nil)
	return w, func() int64 { return counters.Get("retry.peer_nonce") }, func() error {
		_, err := clients.Claim(t.Context(), "b", &pb.ClaimRequest{Claimer: "a", Resources: []*pb.Resource{{Index: 7}}})
		return err
	}
}

// Guards against a recorded call that runs a second time, also after a restart of the daemon.
func TestReplayedCallIsRefused(t *testing.T) {
	g := NewWithT(t)
	w, retries, claim := tapped(t)
	g.Expect(claim()).To(Succeed())
	g.Expect(w.handler.claims).To(Equal(1))
	g.Expect(w.repeat(nil).Code).To(Equal(http.StatusUnauthorized))
	g.Expect(w.handler.claims).To(Equal(1))
	g.Expect(w.counters.Get("drop.peer_call_replayed")).To(Equal(int64(1)))

	w.restart()
	g.Expect(w.repeat(nil).Code).To(Equal(http.StatusUnauthorized))
	g.Expect(w.handler.claims).To(BeZero())
	g.Expect(claim()).To(Succeed(), "a daemon that restarted gives out a new nonce")
	g.Expect(w.handler.claims).To(Equal(1))
	g.Expect(claim()).To(Succeed())
	g.Expect(retries()).To(Equal(int64(2)), "one first call to each process")
}

// Guards against a call that is served although its body was changed on the way.
func TestChangedCallIsRefused(t *testing.T) {
	g := NewWithT(t)
	w, _, claim := tapped(t)
	g.Expect(claim()).To(Succeed())
	w.changeCall = func(b []byte) []byte { b[len(b)-1] ^= 1; return b }
	g.Expect(claim()).To(MatchError(peer.ErrUnauthenticated))
	g.Expect(w.handler.claims).To(Equal(1))
	g.Expect(w.counters.Get("drop.peer_unauthenticated")).To(Equal(int64(1)))
}

// Guards against an answer that is believed although it was changed on the way, or made for
// another call.
func TestForgedAnswerIsRefused(t *testing.T) {
	g := NewWithT(t)
	w, _, claim := tapped(t)
	g.Expect(claim()).To(Succeed())
	w.changeAnswer = func(b []byte) []byte { return append(b, 0x0a, 0) }
	g.Expect(claim()).To(MatchError(peer.ErrUnauthenticated))
	w.changeAnswer = nil
	earlier := w.repeat(nil) // Refused, but with a proof of its own.
	w.daemon = http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header()["Fulmar-Peer-Proof"] = earlier.Header()["Fulmar-Peer-Proof"]
		rw.WriteHeader(http.StatusOK)
	})
	g.Expect(claim()).To(MatchError(peer.ErrUnauthenticated))
}

// Guards against a call that is refused because another daemon has another key, but is not
// reported so.
func TestCallWithoutKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	w, _, claim := tapped(t)
	g.Expect(claim()).To(Succeed())
	w.last.Header.Del("Fulmar-Peer-Proof")
	g.Expect(w.repeat(nil).Code).To(Equal(http.StatusUnauthorized))
	w.last.Header.Set("Fulmar-Peer-Proof", "a.b.c")
	g.Expect(w.repeat(nil).Code).To(Equal(http.StatusUnauthorized))
	g.Expect(w.handler.claims).To(Equal(1))
	g.Expect(w.counters.Get("drop.peer_unauthenticated")).To(Equal(int64(2)))
}
