package query

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/fulmarfield/fulmarfield/internal/lineerror"
)

// Forms lists every form of a query, for help and error messages.
var Forms = []string{
	"show services",
	"show upstreams [of SERVICE]",
	"show daemons",
	"show connections [of SERVICE]",
	"show flows of IP[:PORT]",
	"show route of IP:PORT to SERVICE",
	"show refusals",
	"show retries",
	"show drops",
	"show drain of UPSTREAM",
	"show history",
	"show change CHANGE-ID",
}

// Query is one parsed line; exactly one field is set.
type Query struct {
	Services    bool         `parser:"'show' ( @'services'"`
	Upstreams   *Upstreams   `parser:"| @@"`
	Daemons     bool         `parser:"| @'daemons'"`
	Connections *Connections `parser:"| @@"`
	Flows       *Flows       `parser:"| @@"`
	Route       *Route       `parser:"| @@"`
	Refusals    bool         `parser:"| @'refusals'"`
	Retries     bool         `parser:"| @'retries'"`
	Drops       bool         `parser:"| @'drops'"`
	Drain       *Drain       `parser:"| @@"`
	History     bool         `parser:"| @'history'"`
	Change      *Change      `parser:"| @@ )"`
}

// Upstreams requests the upstreams of one service or, without a name, of all services.
type Upstreams struct {
	Keyword string `parser:"@'upstreams'"`
	Service string `parser:"( 'of' @Word )?"`
}

// Connections requests the numbers of flows and of requests in progress, of one service or of all.
type Connections struct {
	Keyword string `parser:"@'connections'"`
	Service string `parser:"( 'of' @Word )?"`
}

// Flows requests the flows of a caller, given as IP or IP:port.
type Flows struct {
	Caller string `parser:"'flows' 'of' @Word"`
}

// Route requests the upstream that a flow is routed to and the reason.
type Route struct {
	Caller  string `parser:"'route' 'of' @Word"`
	Service string `parser:"'to' @Word"`
}

// Drain requests the progress of the drain of an upstream.
type Drain struct {
	Upstream string `parser:"'drain' 'of' @Word"`
}

// Change requests the outcome of the change with the given id.
type Change struct {
	ID string `parser:"'change' @Word"`
}

// lineLexer splits a line into words.
var lineLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Word", Pattern: `[^\s]+`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Query](participle.Lexer(lineLexer), participle.Elide("Space"))

// ParseError reports the rejected word, its column and what is allowed there.
type ParseError = lineerror.Error

// ErrBadAddress reports a caller that is not an IPv4 address.
var ErrBadAddress = errors.New("not an IPv4 address")

// IsQuery reports whether the first word of a line begins a query.
func IsQuery(line string) bool {
	words := strings.Fields(line)
	return len(words) > 0 && words[0] == "show"
}

// Parse parses one line. It returns a *ParseError for a line that is not a query; the error wraps
// ErrBadAddress if only the caller's address is invalid.
func Parse(line string) (*Query, error) {
	q, err := parser.ParseString("", line)
	if err != nil {
		return nil, lineerror.SyntaxError(line, err, Forms)
	}
	if err := q.checkCaller(line); err != nil {
		return nil, err
	}
	return q, nil
}

// checkCaller checks the address of the caller. A route query needs the port, since it concerns one
// flow.
func (q *Query) checkCaller(line string) error {
	caller := q.Caller()
	if caller == "" {
		return nil
	}
	if addr, err := netip.ParseAddrPort(caller); err == nil && addr.Addr().Is4() {
		return nil
	}
	allowed := []string{"IP:PORT, as 192.0.2.1:40000"}
	if q.Flows != nil {
		if addr, err := netip.ParseAddr(caller); err == nil && addr.Is4() {
			return nil
		}
		allowed = append(allowed, "IP, as 192.0.2.1")
	}
	return lineerror.AtWord(line, caller, fmt.Errorf("%q is %w", caller, ErrBadAddress), allowed)
}
