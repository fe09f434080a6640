package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
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

// Query is one parsed line.
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

// Upstreams asks for the upstreams of one service or of all.
type Upstreams struct {
	Keyword string `parser:"@'upstreams'"`
	Service string `parser:"( 'of' @Word )?"`
}

// Connections asks for flows and requests in progress.
type Connections struct {
	Keyword string `parser:"@'connections'"`
	Service string `parser:"( 'of' @Word )?"`
}

// Flows asks for the flows of a caller, given as IP or IP:port.
type Flows struct {
	Caller string `parser:"'flows' 'of' @Word"`
}

// Route asks where a flow goes and why.
type Route struct {
	Caller  string `parser:"'route' 'of' @Word"`
	Service string `parser:"'to' @Word"`
}

// Drain asks what blocks the drain of an upstream.
type Drain struct {
	Upstream string `parser:"'drain' 'of' @Word"`
}

// Change asks for the outcome of a change id.
type Change struct {
	ID string `parser:"'change' @Word"`
}

var words = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Word", Pattern: `[^\s]+`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Query](participle.Lexer(words), participle.Elide("Space"))

// ParseError says what was read, where, and what is allowed.
type ParseError struct {
	Line   string
	Column int
	Cause  string
}

// Error is one line for the operator.
func (e *ParseError) Error() string {
	return fmt.Sprintf("column %d of %q: %s; allowed: %s", e.Column, e.Line, e.Cause, strings.Join(Forms, ", "))
}

// IsQuery reports whether a line is a query by its first word.
func IsQuery(line string) bool {
	first, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	return first == "show"
}

// Parse reads one line. It returns a *ParseError for one that is not a query.
func Parse(line string) (*Query, error) {
	q, err := parser.ParseString("", line)
	if err == nil {
		return q, nil
	}
	var at participle.Error
	if errors.As(err, &at) {
		return nil, &ParseError{Line: line, Column: at.Position().Column, Cause: at.Message()}
	}
	return nil, &ParseError{Line: line, Column: 1, Cause: err.Error()}
}
