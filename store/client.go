package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	defaultCallTimeout = 2 * time.Second
	defaultWatchWait   = 25 * time.Second
	// watchGrace is how much longer than its long poll a watch may take before it counts as failed.
	watchGrace = 5 * time.Second
	// maxResponseBytes bounds the body of a response. A listing of all content objects at the
	// design size is smaller.
	maxResponseBytes = 16 << 20
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// Address of the platform as IP:port.
	Address netip.AddrPort
	// LocalAddress is the source address of connections; the system chooses one if it is the zero
	// value.
	LocalAddress netip.Addr
	// CallTimeout bounds each call except watches; 0 selects 2 s.
	CallTimeout time.Duration
	// WatchWait is the length of a long poll; 0 selects 25 s.
	WatchWait time.Duration
	// Counters may be nil.
	Counters *telemetry.Counters
	// Transport replaces the TCP transport when it is not nil.
	Transport http.RoundTripper
}

// Client calls the platform over HTTP/1.1 with the conditional requests of RFC 9110. It never
// repeats a write that may have been sent. It implements Store and VMLister.
type Client struct {
	options ClientOptions
	http    *http.Client
	base    string
}

var (
	_ Store    = (*Client)(nil)
	_ VMLister = (*Client)(nil)
)

// NewClient returns a client; it opens no connection yet.
func NewClient(o ClientOptions) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.WatchWait == 0 {
		o.WatchWait = defaultWatchWait
	}
	if o.Counters == nil {
		o.Counters = telemetry.NewCounters()
	}
	transport := o.Transport
	if transport == nil {
		dialer := &net.Dialer{Timeout: o.CallTimeout}
		if o.LocalAddress.IsValid() {
			dialer.LocalAddr = &net.TCPAddr{IP: o.LocalAddress.AsSlice()}
		}
		transport = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	return &Client{options: o, http: &http.Client{Transport: transport}, base: "http://" + o.Address.String()}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, err := c.do(ctx, call{kind: "get", method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return Object{Key: key, Value: response.body, Version: response.version}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, condition Condition) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %s with %d bytes: %w", key, len(value), ErrTooLarge)
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, err := c.do(ctx, call{
		kind: "put", method: http.MethodPut, path: objectPath(key), body: value, write: true,
		header: conditionHeader(condition),
	})
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	if response.version == 0 {
		return 0, fmt.Errorf("put %s: answer has no ETag: %w", key, ErrOutcomeUnknown)
	}
	return response.version, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, condition Condition) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	_, err := c.do(ctx, call{
		kind: "delete", method: http.MethodDelete, path: objectPath(key), write: true,
		header: conditionHeader(condition),
	})
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, err := c.do(ctx, call{kind: "list", method: http.MethodGet, path: PathObjects + "?prefix=" + url.QueryEscape(prefix)})
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	var entries []Entry
	if err := json.Unmarshal(response.body, &entries); err != nil {
		return nil, fmt.Errorf("list %s: %w: %w", prefix, ErrUnavailable, err)
	}
	return entries, nil
}

// Watch implements Store by a conditional GET with the wait preference of RFC 7240.
func (c *Client) Watch(ctx context.Context, key string, after Version) (Object, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.WatchWait+watchGrace)
	defer cancel()
	header := http.Header{}
	header.Set("If-None-Match", FormatETag(after))
	header.Set("Prefer", "wait="+strconv.Itoa(int(c.options.WatchWait/time.Second)))
	response, err := c.do(ctx, call{kind: "watch", method: http.MethodGet, path: objectPath(key), header: header})
	if err != nil {
		return Object{}, false, fmt.Errorf("watch %s: %w", key, err)
	}
	if response.notModified {
		return Object{}, false, nil
	}
	return Object{Key: key, Value: response.body, Version: response.version}, true, nil
}

// ListVMs implements VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, err := c.do(ctx, call{kind: "vms", method: http.MethodGet, path: PathVMs})
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	var vms []VM
	if err := json.Unmarshal(response.body, &vms); err != nil {
		return nil, fmt.Errorf("list VMs: %w: %w", ErrUnavailable, err)
	}
	return vms, nil
}

// call is a request to the platform. kind is its name in the counters, and write is set if the call
// changes an object.
type call struct {
	kind, method, path string
	header             http.Header
	body               []byte
	write              bool
}

// callResponse is the successful response to a call.
type callResponse struct {
	body        []byte
	version     Version
	notModified bool
}

// do makes one call and counts the call and its error.
func (c *Client) do(ctx context.Context, k call) (callResponse, error) {
	c.options.Counters.Count("platform.call." + k.kind)
	response, err := c.roundTrip(ctx, k)
	if err != nil {
		c.options.Counters.Count("platform.error." + errorName(err))
	}
	return response, err
}

// roundTrip sends the request of a call and reads its response. A write that fails before a connection
// is established was certainly not applied.
func (c *Client) roundTrip(ctx context.Context, k call) (callResponse, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, c.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return callResponse{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	for name, values := range k.header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		// A custom transport may not report connections, so a connection is assumed.
		return callResponse{}, callError(k.write && (connected.Load() || c.options.Transport != nil), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil && response.StatusCode < http.StatusMultipleChoices && !k.write {
		return callResponse{}, callError(false, err)
	}
	if err := statusError(response.StatusCode, k.write); err != nil {
		return callResponse{}, err
	}
	return callResponse{
		body:        body,
		version:     ParseETag(response.Header.Get("ETag")),
		notModified: response.StatusCode == http.StatusNotModified,
	}, nil
}

// callError returns the error of a call that failed before its response was complete.
func callError(mayBeApplied bool, cause error) error {
	if mayBeApplied {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// statusError returns the error for a status code. A server error after a write was sent does not
// show whether the write was applied.
func statusError(status int, write bool) error {
	switch {
	case status >= 200 && status < 300, status == http.StatusNotModified:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status >= 400 && status < 500:
		return fmt.Errorf("%w: status %d", ErrInvalid, status)
	case write:
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}

// errorName returns the counter name of an error.
func errorName(err error) string {
	names := []struct {
		err  error
		name string
	}{
		{ErrNotFound, "not_found"}, {ErrConflict, "conflict"}, {ErrUnavailable, "unavailable"},
		{ErrOutcomeUnknown, "outcome_unknown"}, {ErrRateLimited, "rate_limited"}, {ErrTooLarge, "too_large"},
	}
	for _, n := range names {
		if errors.Is(err, n.err) {
			return n.name
		}
	}
	return "invalid"
}

// conditionHeader returns the header fields for a condition (RFC 9110).
func conditionHeader(c Condition) http.Header {
	header := http.Header{}
	switch c.kind {
	case conditionAbsent:
		header.Set("If-None-Match", "*")
	case conditionVersion:
		header.Set("If-Match", FormatETag(c.version))
	}
	return header
}

// Paths of the platform's HTTP interface.
const (
	PathObjects = "/v1/objects"
	PathVMs     = "/v1/vms"
)

// objectPath returns the path of an object, with each segment of its key escaped.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return PathObjects + "/" + strings.Join(parts, "/")
}

// FormatETag returns the entity tag of a version.
func FormatETag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// ParseETag returns the version in an entity tag, or 0 if the tag is not in the platform's format.
func ParseETag(tag string) Version {
	unquoted, ok := strings.CutPrefix(tag, `"`)
	unquoted, ok2 := strings.CutSuffix(unquoted, `"`)
	if !ok || !ok2 {
		return 0
	}
	v, err := strconv.ParseUint(unquoted, 10, 64)
	if err != nil {
		return 0
	}
	return Version(v)
}
