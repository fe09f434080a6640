package declaration

import (
	"errors"
	"fmt"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxDeclarationBytes limits the size of a declaration. The design size, 65,000 upstreams of about 150
// bytes, needs about 10 MB.
const maxDeclarationBytes = 16 << 20

// Limits on the input of the YAML parser, which recurses on nested collections and whose time grows
// with the square of the number of collections on one line: 128 KB of "- " take 8 s. A valid entry in
// flow style is about 150 bytes.
const (
	maxNesting   = 32
	maxLineBytes = 1024
)

// reader reads the YAML syntax tree and collects all errors, whereas a YAML decoder stops at the first.
type reader struct {
	file   string
	errors Errors
}

// addError records an error. An empty field means the declaration as a whole.
func (r *reader) addError(line int, field, format string, args ...any) {
	if field == "" {
		field = "declaration"
	}
	r.errors = append(r.errors, Error{File: r.file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// sortedErrors returns the errors in the order of their lines.
func (r *reader) sortedErrors() Errors {
	sort.SliceStable(r.errors, func(i, j int) bool { return r.errors[i].Line < r.errors[j].Line })
	return r.errors
}

// parseYAML returns the root node of the document, or nil after an error.
func (r *reader) parseYAML(data []byte) ast.Node {
	if len(data) > maxDeclarationBytes {
		r.addError(1, "", "file is larger than %d bytes", maxDeclarationBytes)
		return nil
	}
	if line := firstLineOverLimits(data); line > 0 {
		r.addError(line, "", "line is longer than %d bytes or brackets are nested deeper than %d", maxLineBytes, maxNesting)
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
		r.addError(line, "", "not valid YAML: %s", message)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.addError(1, "", "must hold exactly one YAML document")
		return nil
	}
	return file.Docs[0].Body
}

// firstLineOverLimits returns the number of the first line that exceeds maxNesting or maxLineBytes, or 0.
func firstLineOverLimits(data []byte) int {
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

// fields has the values of one mapping by name, and the names that the parser has requested.
type fields struct {
	reader    *reader
	path      string
	line      int
	values    map[string]ast.Node
	requested map[string]bool
}

// readMapping reads a mapping node. A node of another kind is an error and results in empty fields.
func (r *reader) readMapping(node ast.Node, path string) *fields {
	f := &fields{reader: r, path: path, line: nodeLine(node), values: map[string]ast.Node{}, requested: map[string]bool{}}
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		r.addError(f.line, path, "must be a mapping, is %s", nodeKind(node))
		return f
	}
	for _, entry := range entries {
		key, ok := entry.Key.(*ast.StringNode)
		if !ok {
			r.addError(nodeLine(entry), path, "key must be a plain name, is %s", nodeKind(entry.Key))
			continue
		}
		if _, duplicate := f.values[key.Value]; duplicate {
			r.addError(nodeLine(entry.Key), f.fieldPath(key.Value), "is given twice")
			continue
		}
		f.values[key.Value] = entry.Value
	}
	return f
}

// fieldPath returns the path of a field from the root of the declaration.
func (f *fields) fieldPath(field string) string {
	if f.path == "" {
		return field
	}
	return f.path + "." + field
}

// requestNode returns the node of a field, or nil if the field is absent or null, and marks the field as
// requested.
func (f *fields) requestNode(field string) ast.Node {
	f.requested[field] = true
	node, ok := f.values[field]
	if !ok || node == nil {
		return nil
	}
	if _, null := node.(*ast.NullNode); null {
		return nil
	}
	return node
}

// addError records an error in a field, at the line of the field or, if it is absent, of the mapping.
func (f *fields) addError(field, format string, args ...any) {
	line := f.line
	if node := f.values[field]; node != nil {
		line = nodeLine(node)
	}
	f.reader.addError(line, f.fieldPath(field), format, args...)
}

// text returns the text of a scalar field. ok is false if the field is absent, which is an error for a
// required field, or if it is not a string or an integer, which is always an error.
func (f *fields) text(field string, required bool) (text string, ok bool) {
	node := f.requestNode(field)
	if node == nil {
		if required {
			f.addError(field, "is missing")
		}
		return "", false
	}
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode:
		return n.Token.Value, true
	default:
		f.addError(field, "must be a single value, is %s", nodeKind(node))
		return "", false
	}
}

// forEachElement calls a function for each element of a sequence field, with the element's path.
func (f *fields) forEachElement(field string, required bool, each func(node ast.Node, path string)) {
	node := f.requestNode(field)
	if node == nil {
		if required {
			f.addError(field, "is missing")
		}
		return
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		f.addError(field, "must be a list, is %s", nodeKind(node))
		return
	}
	for i, element := range sequence.Values {
		each(element, fmt.Sprintf("%s[%d]", f.fieldPath(field), i))
	}
}

// checkUnknownFields records an error for each field that the parser has not requested.
func (f *fields) checkUnknownFields() {
	for field := range f.values {
		if !f.requested[field] {
			f.addError(field, "unknown field")
		}
	}
}

// nodeLine returns the line at which a node starts, or 1 if that is not known.
func nodeLine(node ast.Node) int {
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

// nodeKind returns the kind of a node as named in error messages.
func nodeKind(node ast.Node) string {
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
