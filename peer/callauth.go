package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Calls are authenticated in the manner of HTTP Digest (RFC 7616), with HMAC-SHA256 under the cluster
// key over the whole message. The server issues a nonce. The MAC of a request covers the path, that
// nonce, a nonce that the client chooses for the call, and the body. The server keeps its nonces in memory
// only, so a recorded call is refused after a restart as well, and clocks need not be synchronized.
// The MAC of a response covers the authentication header of its request.
const (
	// authHeader carries "NONCE.CLIENTNONCE.MAC" in a request and "NONCE.MAC" in a response.
	authHeader = "Fulmar-Peer-Proof"
	nonceBytes = 12
	macBytes   = 16
	// nonceLifetime is how long the server issues the same nonce. The server accepts a nonce up to twice
	// that age. A longer lifetime grows the set of used client nonces; a shorter lifetime causes more
	// calls that are refused once because their nonce has expired.
	nonceLifetime = 10 * time.Minute
	// maxMessageBytes limits the size of a message. A transfer of 300,000 flow records is about 15 MB.
	maxMessageBytes = 32 << 20
)

// ErrUnauthenticated reports a call or a response that is not authenticated with the cluster key.
var ErrUnauthenticated = errors.New("call or response is not authenticated with the cluster key")

// computeMAC returns the MAC of the parts. Each part is preceded by its length, so that different
// lists of parts never have the same input.
func computeMAC(key []byte, parts ...[]byte) string {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		_, _ = fmt.Fprintf(mac, "%d:", len(part))
		_, _ = mac.Write(part)
	}
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

func requestMAC(key []byte, path, nonce, clientNonce string, body []byte) string {
	return computeMAC(key, []byte("request"), []byte(path), []byte(nonce), []byte(clientNonce), body)
}

func responseMAC(key []byte, requestAuth, nonce string, status int, body []byte) string {
	return computeMAC(key, []byte("answer"), []byte(requestAuth), []byte(nonce), fmt.Append(nil, status), body)
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // Never fails.
	return base64.RawURLEncoding.EncodeToString(b)
}

// signingTransport is a RoundTripper that signs requests with the cluster key and verifies responses.
type signingTransport struct {
	next     http.RoundTripper
	key      []byte
	counters *telemetry.Counters

	mu     sync.Mutex
	nonces map[string]string // The latest nonce that each host issued.
}

func newSigningTransport(next http.RoundTripper, key []byte, counters *telemetry.Counters) *signingTransport {
	if next == nil {
		next = http.DefaultTransport
	}
	return &signingTransport{next: next, key: key, counters: counters, nonces: map[string]string{}}
}

// RoundTrip sends a signed request. When the daemon refuses it and issues a new nonce, it did not run
// the call, so RoundTrip sends the request once more with that nonce. It returns ErrUnauthenticated
// for a response without a valid MAC.
func (s *signingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := readLimited(request.Body)
	if err != nil {
		return nil, err
	}
	nonce := s.nonce(request.URL.Host)
	response, issued, err := s.send(request, body, nonce)
	if err == nil && response.StatusCode == http.StatusUnauthorized && issued != nonce {
		s.counters.Count("retry.peer_nonce")
		response, _, err = s.send(request, body, issued)
	}
	return response, err
}

// send signs and sends the request. It returns the response and the nonce that the response issues.
func (s *signingTransport) send(request *http.Request, body []byte, nonce string) (*http.Response, string, error) {
	clientNonce := newNonce()
	auth := strings.Join([]string{nonce, clientNonce, requestMAC(s.key, request.URL.Path, nonce, clientNonce, body)}, ".")
	signed := request.Clone(request.Context())
	signed.Header.Set(authHeader, auth)
	signed.Body, signed.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	response, err := s.next.RoundTrip(signed)
	if err != nil {
		return nil, "", err
	}
	responseBody, err := readLimited(response.Body)
	if err != nil {
		return nil, "", err
	}
	issued, mac, _ := strings.Cut(response.Header.Get(authHeader), ".")
	if !hmac.Equal([]byte(mac), []byte(responseMAC(s.key, auth, issued, response.StatusCode, responseBody))) {
		if response.StatusCode != http.StatusUnauthorized {
			return nil, "", ErrUnauthenticated
		}
		issued = nonce // The daemon has another cluster key, so its nonce is useless.
	}
	s.mu.Lock()
	s.nonces[request.URL.Host] = issued
	s.mu.Unlock()
	response.Body = io.NopCloser(bytes.NewReader(responseBody))
	return response, issued, nil
}

// nonce returns the latest nonce that a host issued, empty before the first response.
func (s *signingTransport) nonce(host string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nonces[host]
}

// readLimited reads and closes body. It returns an error for more than maxMessageBytes.
func readLimited(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer func() { _ = body.Close() }()
	content, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err == nil && len(content) > maxMessageBytes {
		err = fmt.Errorf("message exceeds %d bytes", maxMessageBytes)
	}
	return content, err
}

// verifyingHandler is a Handler that runs each call that is authenticated with the cluster key once
// and refuses all other calls.
type verifyingHandler struct {
	next     http.Handler
	key      []byte
	counters *telemetry.Counters

	mu       sync.Mutex
	current  issuedNonce
	previous issuedNonce
}

// issuedNonce is a nonce that the server issued, with the client nonces of the calls that used it.
type issuedNonce struct {
	nonce            string
	issuedAt         time.Time
	usedClientNonces map[string]bool
}

func newVerifyingHandler(next http.Handler, key []byte, counters *telemetry.Counters) *verifyingHandler {
	return &verifyingHandler{next: next, key: key, counters: counters}
}

// ServeHTTP refuses a call without a valid MAC and a replayed call with status 401 and counts them
// as drop.peer_unauthenticated and drop.peer_call_replayed. An authentic call with an expired or
// unknown nonce gets status 401 and a new nonce.
func (v *verifyingHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := readLimited(request.Body)
	if err != nil {
		v.counters.CountDrop("peer_call_unreadable")
		http.Error(w, "unreadable message", http.StatusBadRequest)
		return
	}
	auth := request.Header.Get(authHeader)
	response := &bufferedResponse{header: w.Header(), status: http.StatusOK}
	fields := strings.Split(auth, ".")
	switch {
	case len(fields) != 3 || !hmac.Equal([]byte(fields[2]), []byte(requestMAC(v.key, request.URL.Path, fields[0], fields[1], body))):
		v.counters.CountDrop("peer_unauthenticated")
		response.writeUnauthorized()
	case v.acceptCall(fields[0], fields[1]):
		request.Body = io.NopCloser(bytes.NewReader(body))
		v.next.ServeHTTP(response, request)
	default:
		response.writeUnauthorized()
	}
	nonce := v.currentNonce()
	w.Header().Set(authHeader, nonce+"."+responseMAC(v.key, auth, nonce, response.status, response.body.Bytes()))
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body.Bytes())
}

// acceptCall reports whether a call may run: its nonce is valid and its client nonce was not used
// before. It records the client nonce.
func (v *verifyingHandler) acceptCall(nonce, clientNonce string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, issued := range []*issuedNonce{&v.current, &v.previous} {
		if nonce == "" || issued.nonce != nonce || time.Since(issued.issuedAt) > 2*nonceLifetime {
			continue
		}
		if issued.usedClientNonces[clientNonce] {
			v.counters.CountDrop("peer_call_replayed")
			return false
		}
		issued.usedClientNonces[clientNonce] = true
		return true
	}
	return false
}

// currentNonce returns the nonce to issue and replaces it after nonceLifetime.
func (v *verifyingHandler) currentNonce() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); v.current.nonce == "" || now.Sub(v.current.issuedAt) > nonceLifetime {
		v.previous = v.current
		v.current = issuedNonce{nonce: newNonce(), issuedAt: now, usedClientNonces: map[string]bool{}}
	}
	return v.current.nonce
}

// bufferedResponse holds a response until its MAC can be computed over the whole body.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *bufferedResponse) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *bufferedResponse) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *bufferedResponse) Write(b []byte) (int, error) { return r.body.Write(b) }

func (r *bufferedResponse) writeUnauthorized() {
	r.header.Set("Content-Type", "application/json")
	r.WriteHeader(http.StatusUnauthorized)
	_, _ = r.body.WriteString(`{"code":"unauthenticated"}`)
}
