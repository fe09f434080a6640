package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"
)

// Position is a place in a file. Line and Column, in characters, count from 1. The zero value is no place.
type Position struct {
	Line, Column int
}

// node is a value of a JSON text with its place.
type node struct {
	at Position
	// kind is '{', '[', '"', '0' (number), 't' (true or false) or 'n' (null).
	kind byte
	// text is the content of a string, and the literal of a number or of true and false.
	text     string
	raw      []byte
	members  []member
	elements []*node
}

type member struct {
	name  string
	at    Position
	value *node
}

// describe names the value's type in messages.
func (n *node) describe() string {
	return map[byte]string{'{': "an object", '[': "an array", '"': "a string", '0': "a number", 't': "true or false", 'n': "null"}[n.kind]
}

// syntaxError says why a text is not JSON, and where.
type syntaxError struct {
	at   Position
	text string
}

func (e *syntaxError) Error() string { return e.text }

// parseJSON returns the tree of a JSON text, or a *syntaxError. The nesting is bounded by encoding/json.
func parseJSON(text []byte) (*node, error) {
	var whole json.RawMessage
	if err := json.Unmarshal(text, &whole); err != nil {
		offset := len(text)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) && syntax.Offset > 0 && syntax.Offset <= int64(len(text)) {
			offset = int(syntax.Offset) - 1
			if strings.HasPrefix(err.Error(), "unexpected end") {
				offset = len(text)
			}
		}
		p := parser{text: text}
		return nil, &syntaxError{p.positionOf(offset), err.Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	p := parser{text: text, decoder: decoder, lastPosition: Position{1, 1}}
	return p.value()
}

// parser reads the tokens of a JSON text that is known to be valid.
type parser struct {
	text    []byte
	decoder *json.Decoder
	// lastPosition is the position of offset lastOffset. Tokens ascend, so that each character is counted once.
	lastOffset   int
	lastPosition Position
}

// positionOf returns the position of a byte. Offsets of successive calls must not descend.
func (p *parser) positionOf(offset int) Position {
	if p.lastPosition == (Position{}) {
		p.lastPosition = Position{1, 1}
	}
	passed := p.text[p.lastOffset:offset]
	if lines := bytes.Count(passed, []byte{'\n'}); lines > 0 {
		p.lastPosition = Position{p.lastPosition.Line + lines, 1}
		passed = passed[bytes.LastIndexByte(passed, '\n')+1:]
	}
	p.lastPosition.Column += utf8.RuneCount(passed)
	p.lastOffset = offset
	return p.lastPosition
}

// next returns the next token, the offset of its first byte and its position.
func (p *parser) next() (token json.Token, start int, at Position, err error) {
	start = int(p.decoder.InputOffset())
	for start < len(p.text) && strings.IndexByte(" \t\r\n,:", p.text[start]) >= 0 {
		start++
	}
	at = p.positionOf(start)
	token, err = p.decoder.Token()
	return token, start, at, err
}

func (p *parser) value() (*node, error) {
	token, start, at, err := p.next()
	if err != nil {
		return nil, &syntaxError{at, err.Error()}
	}
	n := &node{at: at, kind: 'n', text: "null"}
	switch t := token.(type) {
	case string:
		n.kind, n.text = '"', t
	case json.Number:
		n.kind, n.text = '0', t.String()
	case bool:
		n.kind, n.text = 't', map[bool]string{true: "true", false: "false"}[t]
	case json.Delim:
		n.kind = byte(t)
		if err := p.contents(n); err != nil {
			return nil, err
		}
	}
	n.raw = p.text[start:p.decoder.InputOffset()]
	return n, nil
}

// contents reads the members or elements of an object or array, and its end.
func (p *parser) contents(n *node) error {
	for p.decoder.More() {
		var m member
		if n.kind == '{' {
			token, _, at, err := p.next()
			if err != nil {
				return &syntaxError{at, err.Error()}
			}
			m.name, _ = token.(string)
			m.at = at
		}
		value, err := p.value()
		if err != nil {
			return err
		}
		if n.kind == '{' {
			m.value = value
			n.members = append(n.members, m)
		} else {
			n.elements = append(n.elements, value)
		}
	}
	_, _, at, err := p.next()
	if err != nil {
		return &syntaxError{at, err.Error()}
	}
	return nil
}
