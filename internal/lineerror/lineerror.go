// Package lineerror describes errors in one line of the operators' language: the line, the
// column, the cause and what is allowed. Queries and commands share it; it owns no state.
package lineerror

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
)

// Error is an error at one column of a line.
type Error struct {
	Line string
	// Column counts from 1.
	Column  int
	Cause   string
	Allowed []string
	// Err is the typed cause, nil for a syntax error.
	Err error
}

// Error returns a one-line message for the operator.
func (e *Error) Error() string {
	text := fmt.Sprintf("column %d of %q: %s", e.Column, e.Line, e.Cause)
	if len(e.Allowed) > 0 {
		text += "; allowed: " + formatNames(e.Allowed)
	}
	return text
}

// Unwrap returns the typed cause, nil for a syntax error.
func (e *Error) Unwrap() error { return e.Err }

// maxAllowed limits the names in one message, since a service may have thousands of upstreams.
const maxAllowed = 24

func formatNames(names []string) string {
	if len(names) > maxAllowed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxAllowed], ", "), len(names)-maxAllowed)
	}
	return strings.Join(names, ", ")
}

// SyntaxError returns the syntax error that a parser found in a line. The allowed forms are those
// that share the longest beginning with the line.
func SyntaxError(line string, err error, forms []string) *Error {
	e := &Error{Line: line, Column: 1, Cause: err.Error(), Allowed: closestForms(line, forms), Err: nil}
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

// AtWord returns an error at one word of a line, or at column 1 if the line does not contain the word.
func AtWord(line, word string, err error, allowed []string) *Error {
	return &Error{Line: line, Column: column(line, word), Cause: err.Error(), Allowed: allowed, Err: err}
}

// column returns the column of the last field of the line that equals word, or 1.
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

// closestForms returns the forms that share the most leading words with the line.
func closestForms(line string, forms []string) []string {
	words := strings.Fields(line)
	best := 0
	var found []string
	for _, form := range forms {
		n := commonPrefixLength(words, strings.Fields(form))
		if n > best {
			best, found = n, nil
		}
		if n == best {
			found = append(found, form)
		}
	}
	return found
}

func commonPrefixLength(words, form []string) int {
	n := 0
	for n < len(words) && n < len(form) && (words[n] == form[n] || strings.ToUpper(form[n]) == form[n]) {
		n++
	}
	return n
}
