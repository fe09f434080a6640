// Package lineerror describes a fault in one line of the operators' language: what was read,
// where, and what is allowed. Queries and commands share it; it owns no state.
package lineerror

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
)

// Error is a fault at one place of a line.
type Error struct {
	Line string
	// Column counts from 1.
	Column  int
	Cause   string
	Allowed []string
	// Err is the typed error behind the fault, nil for a fault of the grammar.
	Err error
}

// Error is one line for the operator.
func (e *Error) Error() string {
	text := fmt.Sprintf("column %d of %q: %s", e.Column, e.Line, e.Cause)
	if len(e.Allowed) > 0 {
		text += "; allowed: " + list(e.Allowed)
	}
	return text
}

// Unwrap returns the typed error behind the fault.
func (e *Error) Unwrap() error { return e.Err }

// maxAllowed bounds the names in one message; a service may have thousands of upstreams.
const maxAllowed = 24

func list(names []string) string {
	if len(names) > maxAllowed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxAllowed], ", "), len(names)-maxAllowed)
	}
	return strings.Join(names, ", ")
}

// Grammar returns the fault that a parser found in a line; the allowed forms are those that
// begin as the line does.
func Grammar(line string, err error, forms []string) *Error {
	e := &Error{Line: line, Column: 1, Cause: err.Error(), Allowed: matching(line, forms), Err: nil}
	var at participle.Error
	if errors.As(err, &at) {
		e.Column, e.Cause = at.Position().Column, at.Message()
	}
	if strings.TrimSpace(line) == "" {
		e.Column, e.Cause = 1, "the line is empty"
	}
	if word, ok := strings.CutPrefix(e.Cause, "unexpected token "); ok {
		word, _, _ = strings.Cut(word, " (expected")
		e.Cause = "word " + word + " does not belong here"
		if word == `"<EOF>"` {
			e.Column, e.Cause = len(strings.TrimRight(line, " \t"))+1, "the line ends where a word is missing"
		}
	}
	return e
}

// At returns a fault of one word of a line, column 1 when the word is not in it.
func At(line, word string, err error, allowed []string) *Error {
	return &Error{Line: line, Column: column(line, word), Cause: err.Error(), Allowed: allowed, Err: err}
}

// column returns the place of the last whole word that is equal to word.
func column(line, word string) int {
	found, offset := 1, 0
	for _, field := range strings.Fields(line) {
		at := offset + strings.Index(line[offset:], field)
		if field == word {
			found = at + 1
		}
		offset = at + len(field)
	}
	return found
}

// matching returns the forms that share the most words with the beginning of the line.
func matching(line string, forms []string) []string {
	words := strings.Fields(line)
	best := 0
	var found []string
	for _, form := range forms {
		n := shared(words, strings.Fields(form))
		if n > best {
			best, found = n, nil
		}
		if n == best {
			found = append(found, form)
		}
	}
	return found
}

func shared(words, form []string) int {
	n := 0
	for n < len(words) && n < len(form) && (words[n] == form[n] || strings.ToUpper(form[n]) == form[n]) {
		n++
	}
	return n
}
