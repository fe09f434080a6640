package command

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/fulmarfield/fulmarfield/internal/lineerror"
)

// Forms lists every form of a command, for help and error messages.
var Forms = []string{
	"add upstream NAME to SERVICE zone ZONE address IP:PORT slots N [weight N]",
	"drain upstream NAME",
	"undrain upstream NAME",
	"remove upstream NAME [force]",
	"drain daemon NAME",
	"undrain daemon NAME",
	"set aim of SERVICE connections|balance",
	"set limit of SERVICE queue-length|retry-percent|idle-ms|drain-ms|load-bound-percent N",
	"abort CHANGE-ID",
}

// Command is one parsed line; exactly one field is set.
type Command struct {
	AddUpstream *AddUpstream `parser:"@@"`
	SetState    *SetState    `parser:"| @@"`
	Remove      *Remove      `parser:"| @@"`
	SetAim      *SetAim      `parser:"| @@"`
	SetLimit    *SetLimit    `parser:"| @@"`
	Abort       *Abort       `parser:"| @@"`
}

// IsForced reports whether the operator allowed the command to end established flows.
func (c *Command) IsForced() bool { return c.Remove != nil && c.Remove.Force != "" }

// AddUpstream declares a new upstream.
type AddUpstream struct {
	Name    string `parser:"'add' 'upstream' @Word"`
	Service string `parser:"'to' @Word"`
	Zone    string `parser:"'zone' @Word"`
	Address string `parser:"'address' @Word"`
	Slots   string `parser:"'slots' @Word"`
	Weight  string `parser:"( 'weight' @Word )?"`
}

// SetState drains or undrains an upstream or a daemon.
type SetState struct {
	Verb string `parser:"@( 'drain' | 'undrain' )"`
	Kind string `parser:"@( 'upstream' | 'daemon' )"`
	Name string `parser:"@Word"`
}

// Remove removes an upstream from the configuration. Without force the upstream must be draining.
type Remove struct {
	Name  string `parser:"'remove' 'upstream' @Word"`
	Force string `parser:"@'force'?"`
}

// SetAim sets which goal has priority for a service: fewer broken connections or less imbalance.
type SetAim struct {
	Service string `parser:"'set' 'aim' 'of' @Word"`
	Aim     string `parser:"@( 'connections' | 'balance' )"`
}

// SetLimit changes one limit of a service; 0 restores the balancer's default.
type SetLimit struct {
	Service string `parser:"'set' 'limit' 'of' @Word"`
	Limit   string `parser:"@( 'queue-length' | 'retry-percent' | 'idle-ms' | 'drain-ms' | 'load-bound-percent' )"`
	Value   string `parser:"@Word"`
}

// Abort reverses the drains that the change with the given id started.
type Abort struct {
	ChangeID string `parser:"'abort' @Word"`
}

// lineLexer splits a line into words.
var lineLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Word", Pattern: `[^\s]+`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Command](participle.Lexer(lineLexer), participle.Elide("Space"),
	participle.UseLookahead(lookahead))

// lookahead is the number of tokens that distinguishes all forms that begin with the same word.
const lookahead = 3

// ParseError reports the rejected word, its column and what is allowed there.
type ParseError = lineerror.Error

// IsCommand reports whether the first word of a line begins a command.
func IsCommand(line string) bool {
	words := strings.Fields(line)
	if len(words) == 0 {
		return false
	}
	for _, f := range Forms {
		if strings.HasPrefix(f, words[0]+" ") {
			return true
		}
	}
	return false
}

// Parse parses one line. It returns a *ParseError for a line that is not a command.
func Parse(line string) (*Command, error) {
	c, err := parser.ParseString("", line)
	if err != nil {
		return nil, lineerror.SyntaxError(line, err, Forms)
	}
	return c, nil
}
