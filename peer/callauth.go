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

// Calls are authenticated like HTTP Digest (RFC 7616), with HMAC-SHA256 over the whole message.
// The receiver gives out a nonce, and each request proves the cluster key for that nonce, a
// nonce of its own and its body. A nonce dies with the process that gave it out, so a recorded
// call is refused after a restart as well, and clocks need not agree. The answer proves the key
// for the proof of its request.
const (
	// authHeader carries "NONCE.CALL.MAC" in a request and "NONCE.MAC" in an answer.
	authHeader = "Fulmar-Peer-Proof"
	nonceBytes = 12
	macBytes   = 16
	// nonceLifetime is how long a nonce is given out. It is accepted as long again. A longer
	// time makes the list of calls seen longer, a shorter one costs more refused first calls.
	nonceLifetime = 10 * time.Minute
	// maxCallBytes bounds a message. A transfer of 300,000 flow records is about 15 MB.
	maxCallBytes = 32 << 20
)

// ErrUnauthenticated reports a call or an answer without the proof of the cluster key.
var ErrUnauthenticated = errors.New("call does not carry the cluster key's proof")

// callMAC covers the parts, each with its length, so that no two lists of parts are the same.
func callMAC(key []byte, parts ...[]byte) string {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		_, _ = fmt.Fprintf(mac, "%d:", len(part))
		_, _ = mac.Write(part)
	}
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

func requestMAC(key []byte, path, nonce, call string, body []byte) string {
	return callMAC(key, []byte("request"), []byte(path), []byte(nonce), []byte(call), body)
}

func answerMAC(key []byte, proof, nonce string, status int, body []byte) string {
	return callMAC(key, []byte("answer"), []byte(proof), []byte(nonce), fmt.Append(nil, status), body)
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // Never fails.
	return base64.RawURLEncoding.EncodeToString(b)
}

// signer is a RoundTripper that proves the cluster key to each daemon and checks its answers.
type signer struct {
	next     http.RoundTripper
	key      []byte
	counters *telemetry.Counters

	mu     sync.Mutex
	nonces map[string]string // by host
}

func newSigner(next http.RoundTripper, key []byte, counters *telemetry.Counters) *signer {
	if next == nil {
		next = http.DefaultTransport
	}
	return &signer{next: next, key: key, counters: counters, nonces: map[string]string{}}
}

// RoundTrip sends the request, and once more when the daemon has given out a new nonce, since it
// did not run the first one. It returns ErrUnauthenticated for an answer without proof.
func (s *signer) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := readAll(request.Body)
	if err != nil {
		return nil, err
	}
	nonce := s.nonce(request.URL.Host)
	response, given, err := s.try(request, body, nonce)
	if err == nil && response.StatusCode == http.StatusUnauthorized && given != nonce {
		s.counters.Count("retry.peer_nonce")
		response, _, err = s.try(request, body, given)
	}
	return response, err
}

// try returns the answer and the nonce that it gives out.
func (s *signer) try(request *http.Request, body []byte, nonce string) (*http.Response, string, error) {
	call := newNonce()
	proof := strings.Join([]string{nonce, call, requestMAC(s.key, request.URL.Path, nonce, call, body)}, ".")
	signed := request.Clone(request.Context())
	signed.Header.Set(authHeader, proof)
	signed.Body, signed.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	response, err := s.next.RoundTrip(signed)
	if err != nil {
		return nil, "", err
	}
	answer, err := readAll(response.Body)
	if err != nil {
		return nil, "", err
	}
	given, mac, _ := strings.Cut(response.Header.Get(authHeader), ".")
	if !hmac.Equal([]byte(mac), []byte(answerMAC(s.key, proof, given, response.StatusCode, answer))) {
		if response.StatusCode != http.StatusUnauthorized {
			return nil, "", ErrUnauthenticated
		}
		given = nonce // A daemon with another key refuses; its nonce is of no use.
	}
	s.mu.Lock()
	s.nonces[request.URL.Host] = given
	s.mu.Unlock()
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, given, nil
}

func (s *signer) nonce(host string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nonces[host]
}

func readAll(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer func() { _ = body.Close() }()
	content, err := io.ReadAll(io.LimitReader(body, maxCallBytes+1))
	if err == nil && len(content) > maxCallBytes {
		err = fmt.Errorf("message of more than %d bytes", maxCallBytes)
	}
	return content, err
}

// verifier is a Handler that passes on calls with the proof of the cluster key, each once.
type verifier struct {
	next     http.Handler
	key      []byte
	counters *telemetry.Counters

	mu       sync.Mutex
	current  nonceState
	previous nonceState
}

// nonceState is a nonce with the calls that used it.
type nonceState struct {
	nonce string
	since time.Time
	seen  map[string]bool
}

func newVerifier(next http.Handler, key []byte, counters *telemetry.Counters) *verifier {
	return &verifier{next: next, key: key, counters: counters}
}

// ServeHTTP refuses a call without proof and one seen before with status 401 and counts them
// as drop.peer_unauthenticated and drop.peer_call_replayed. A call with the proof for a nonce
// that is not valid here any more gets 401 and a new nonce.
func (v *verifier) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := readAll(request.Body)
	if err != nil {
		v.counters.Drop("peer_call_unreadable")
		http.Error(w, "unreadable message", http.StatusBadRequest)
		return
	}
	proof := request.Header.Get(authHeader)
	answer := &bufferedAnswer{header: w.Header(), status: http.StatusOK}
	fields := strings.Split(proof, ".")
	if len(fields) != 3 || !hmac.Equal([]byte(fields[2]), []byte(requestMAC(v.key, request.URL.Path, fields[0], fields[1], body))) {
		v.counters.Drop("peer_unauthenticated")
		answer.refuse()
	} else if v.accept(fields[0], fields[1]) {
		request.Body = io.NopCloser(bytes.NewReader(body))
		v.next.ServeHTTP(answer, request)
	} else {
		answer.refuse()
	}
	nonce := v.currentNonce()
	w.Header().Set(authHeader, nonce+"."+answerMAC(v.key, proof, nonce, answer.status, answer.body.Bytes()))
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
}

// accept reports whether a call may run: its nonce is valid and the call is new.
func (v *verifier) accept(nonce, call string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, state := range []*nonceState{&v.current, &v.previous} {
		if nonce == "" || state.nonce != nonce || time.Since(state.since) > 2*nonceLifetime {
			continue
		}
		if state.seen[call] {
			v.counters.Drop("peer_call_replayed")
			return false
		}
		state.seen[call] = true
		return true
	}
	return false
}

// currentNonce returns the nonce to give out.
func (v *verifier) currentNonce() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); v.current.nonce == "" || now.Sub(v.current.since) > nonceLifetime {
		v.previous = v.current
		v.current = nonceState{nonce: newNonce(), since: now, seen: map[string]bool{}}
	}
	return v.current.nonce
}

// bufferedAnswer keeps an answer until its proof can be made.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *bufferedAnswer) refuse() {
	a.header.Set("Content-Type", "application/json")
	a.WriteHeader(http.StatusUnauthorized)
	_, _ = a.body.WriteString(`{"code":"unauthenticated"}`)
}
