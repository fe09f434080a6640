package declaration

import (
	"errors"
	"fmt"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxDeclarationBytes admits the size to design for: 65,000 upstreams of about 150 bytes.
const maxDeclarationBytes = 16 << 20

// Bounds for the YAML parser, which recurses on nested collections and whose time grows with
// the square of the collections on one line: 128 KB of "- " take 8 s. An entry in flow style is
// about 150 bytes.
const (
	maxNesting   = 32
	maxLineBytes = 1024
)

// reader walks the syntax tree and collects every fault, where a decoder would stop at the
// first.
type reader struct {
	file   string
	errors Errors
}

func (r *reader) fail(line int, field, format string, args ...any) {
	if field == "" {
		field = "declaration"
	}
	r.errors = append(r.errors, Error{File: r.file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// sorted returns the faults by line.
func (r *reader) sorted() Errors {
	sort.SliceStable(r.errors, func(i, j int) bool { return r.errors[i].Line < r.errors[j].Line })
	return r.errors
}

// parse returns the root mapping, or nil after a fault.
func (r *reader) parse(data []byte) ast.Node {
	if len(data) > maxDeclarationBytes {
		r.fail(1, "", "file is larger than %d bytes", maxDeclarationBytes)
		return nil
	}
	if line := tooDeep(data); line > 0 {
		r.fail(line, "", "line is longer than %d bytes or brackets are nested deeper than %d", maxLineBytes, maxNesting)
		return nil
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		line := 1
		var syntax yaml.Error
		message := err.Error()
		if errors.As(err, &syntax) && syntax.GetToken() != nil && syntax.GetToken().Position != nil {
			line, message = syntax.GetToken().Position.Line, syntax.GetMessage()
		}
		r.fail(line, "", "not valid YAML: %s", message)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.fail(1, "", "must hold exactly one YAML document")
		return nil
	}
	return file.Docs[0].Body
}

// tooDeep returns the first line that nests deeper or is longer than the format needs, or 0.
func tooDeep(data []byte) int {
	line, length, depth := 1, 0, 0
	for _, b := range data {
		length++
		switch b {
		case '\n':
			line++
			length = 0
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		}
		if depth > maxNesting || length > maxLineBytes {
			return line
		}
	}
	return 0
}

// fields is one mapping: its values by name and the names that were asked for.
type fields struct {
	reader *reader
	path   string
	line   int
	values map[string]ast.Node
	known  map[string]bool
}

// mapping reads a mapping node; a node of another kind is a fault and gives an empty one.
func (r *reader) mapping(node ast.Node, path string) *fields {
	f := &fields{reader: r, path: path, line: lineOf(node), values: map[string]ast.Node{}, known: map[string]bool{}}
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		r.fail(f.line, path, "must be a mapping, is %s", kindOf(node))
		return f
	}
	for _, entry := range entries {
		key, ok := entry.Key.(*ast.StringNode)
		if !ok {
			r.fail(lineOf(entry), path, "key must be a plain name, is %s", kindOf(entry.Key))
			continue
		}
		if _, duplicate := f.values[key.Value]; duplicate {
			r.fail(lineOf(entry.Key), f.name(key.Value), "is given twice")
			continue
		}
		f.values[key.Value] = entry.Value
	}
	return f
}

func (f *fields) name(field string) string {
	if f.path == "" {
		return field
	}
	return f.path + "." + field
}

// get returns a field's node, nil when it is absent or null.
func (f *fields) get(field string) ast.Node {
	f.known[field] = true
	node, ok := f.values[field]
	if !ok || node == nil {
		return nil
	}
	if _, null := node.(*ast.NullNode); null {
		return nil
	}
	return node
}

// fail reports a fault of a field, at the field's line when it is there.
func (f *fields) fail(field, format string, args ...any) {
	line := f.line
	if node := f.values[field]; node != nil {
		line = lineOf(node)
	}
	f.reader.fail(line, f.name(field), format, args...)
}

// text returns the text of a scalar field. ok is false when it is absent, which is a fault
// for a required field, or not a scalar, which is always one.
func (f *fields) text(field string, required bool) (text string, ok bool) {
	node := f.get(field)
	if node == nil {
		if required {
			f.fail(field, "is missing")
		}
		return "", false
	}
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode:
		return n.Token.Value, true
	default:
		f.fail(field, "must be a single value, is %s", kindOf(node))
		return "", false
	}
}

// list returns the elements of a sequence field with their paths.
func (f *fields) list(field string, required bool, each func(node ast.Node, path string)) {
	node := f.get(field)
	if node == nil {
		if required {
			f.fail(field, "is missing")
		}
		return
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		f.fail(field, "must be a list, is %s", kindOf(node))
		return
	}
	for i, element := range sequence.Values {
		each(element, fmt.Sprintf("%s[%d]", f.name(field), i))
	}
}

// done reports the fields that nothing asked for.
func (f *fields) done() {
	for field := range f.values {
		if !f.known[field] {
			f.fail(field, "unknown field")
		}
	}
}

func lineOf(node ast.Node) int {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0]
	}
	if entry, ok := node.(*ast.MappingValueNode); ok && entry.Key != nil {
		node = entry.Key
	}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

func kindOf(node ast.Node) string {
	switch node.(type) {
	case nil, *ast.NullNode:
		return "empty"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AliasNode, *ast.AnchorNode, *ast.MergeKeyNode:
		return "an anchor or alias, which the format does not have"
	case *ast.StringNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode:
		return "a number"
	case *ast.BoolNode:
		return "a truth value"
	default:
		return "not a plain value"
	}
}
