package check

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Text is a string field. IsSet is false if it is absent or of another type.
type Text struct {
	Label string
	At    Position
	IsSet bool
	Value string
}

// Number is a number field in the unit that its label names. IsSet is false if it is absent, of another type
// or out of range; Literal is its form in the file, and Integer its exact value if it is written in digits.
type Number struct {
	Label   string
	At      Position
	IsSet   bool
	Value   float64
	Integer int64
	Literal string
}

// Range says which numbers a field may have.
type Range struct {
	// Min and Max are the lowest and the highest value allowed.
	Min, Max float64
	// IsWhole excludes fractions; IsInteger also other forms of whole numbers, such as 2.0 and 1e2.
	IsWhole, IsInteger, IsRequired bool
}

// Object reads the fields of one JSON object and records a finding for each that has another form. An object
// that is absent has no fields.
type Object struct {
	file  string
	place string
	// name is the content of the field that names the object among others of a list.
	name  string
	node  *node
	asked []string
	// findings are shared by all objects of a file.
	findings *[]Finding
}

// ReadObject reads a JSON text whose outer form is an object. Text that is not JSON is an error finding.
func ReadObject(file string, text []byte) *Object {
	o := &Object{file: file, findings: &[]Finding{}}
	if !utf8.Valid(text) {
		o.report(SeverityError, Position{}, "the file is not valid UTF-8")
	}
	root, err := parseJSON(text)
	var syntax *syntaxError
	switch {
	case errors.As(err, &syntax):
		o.report(SeverityError, syntax.at, "malformed JSON: %s", syntax.text)
	case root.kind != '{':
		o.report(SeverityError, root.at, "the file holds %s instead of an object", root.describe())
	default:
		o.node = root
		o.findDuplicateFields()
	}
	return o
}

// IsPresent reports whether the object exists in the file.
func (o *Object) IsPresent() bool { return o.node != nil }

// Raw returns the JSON text of the object.
func (o *Object) Raw() []byte {
	if o.node == nil {
		return nil
	}
	return o.node.raw
}

// Findings returns what was found in the object's file so far.
func (o *Object) Findings() []Finding { return *o.findings }

// Name returns the content of the field that names the object among others of a list.
func (o *Object) Name() string { return o.name }

// at returns the position of the object.
func (o *Object) at() Position {
	if o.node == nil {
		return Position{}
	}
	return o.node.at
}

func (o *Object) report(severity Severity, at Position, format string, args ...any) {
	*o.findings = append(*o.findings, Finding{
		Severity: severity, File: o.file, Line: at.Line, Column: at.Column, Place: o.place, Text: fmt.Sprintf(format, args...),
	})
}

func (o *Object) findDuplicateFields() {
	seen := map[string]bool{}
	for _, m := range o.node.members {
		if seen[m.name] {
			o.report(SeverityError, m.at, "field %s occurs more than once and only the last one counts", quote(m.name))
		}
		seen[m.name] = true
	}
}

// field returns the last field with a label, or nil.
func (o *Object) field(label string) *node {
	o.asked = append(o.asked, label)
	if o.node == nil {
		return nil
	}
	for _, m := range slices.Backward(o.node.members) {
		if m.name == label {
			return m.value
		}
	}
	return nil
}

// Has reports whether the object has a field with a label, of whatever type.
func (o *Object) Has(label string) bool { return o.field(label) != nil }

// typed returns the last field with a label, or nil with a finding if it has another type.
func (o *Object) typed(label string, kind byte) *node {
	n := o.field(label)
	if n == nil || n.kind == kind {
		return n
	}
	o.report(SeverityError, n.at, "%s is %s instead of %s", label, n.describe(), (&node{kind: kind}).describe())
	return nil
}

// Text returns a string field.
func (o *Object) Text(label string) Text {
	n := o.typed(label, '"')
	if n == nil {
		return Text{Label: label, At: o.at()}
	}
	return Text{Label: label, At: n.at, IsSet: true, Value: n.text}
}

// RequiredText returns a string field that must be present and not empty.
func (o *Object) RequiredText(label string) Text {
	t := o.Text(label)
	if !o.Has(label) && o.IsPresent() {
		o.report(SeverityError, t.At, "%s is missing", label)
	} else if t.IsSet && t.Value == "" {
		o.report(SeverityError, t.At, "%s is empty", label)
	}
	return t
}

// Choice returns a string field that must have one of some values.
func (o *Object) Choice(label string, allowed []string) Text {
	t := o.RequiredText(label)
	if t.Value != "" && !slices.Contains(allowed, t.Value) {
		o.report(SeverityError, t.At, "%s %s is unknown; allowed: %s", label, quote(t.Value), strings.Join(allowed, ", "))
	}
	return t
}

// Flag returns a field that is true or false, as text.
func (o *Object) Flag(label string) Text {
	n := o.typed(label, 't')
	if n == nil {
		return Text{Label: label, At: o.at()}
	}
	return Text{Label: label, At: n.at, IsSet: true, Value: n.text}
}

// Number returns a number field within a range.
func (o *Object) Number(label string, r Range) Number {
	n := o.typed(label, '0')
	if n == nil {
		if r.IsRequired && !o.Has(label) && o.IsPresent() {
			o.report(SeverityError, o.at(), "%s is missing", label)
		}
		return Number{Label: label, At: o.at()}
	}
	// A number that is too large for float64 is infinite, and so out of range.
	value, _ := strconv.ParseFloat(n.text, 64)
	integer, integerErr := strconv.ParseInt(n.text, 10, 64)
	number := Number{Label: label, At: n.at, Value: value, Integer: integer, Literal: n.text}
	switch {
	case !(value >= r.Min && value <= r.Max):
		o.report(SeverityError, n.at, "%s %s is not between %s and %s", label, shorten(n.text), formatNumber(r.Min), formatNumber(r.Max))
	case (r.IsWhole || r.IsInteger) && value != math.Trunc(value):
		o.report(SeverityError, n.at, "%s %s is not a whole number", label, shorten(n.text))
	case r.IsInteger && integerErr != nil:
		o.report(SeverityError, n.at, "%s %s is not written as a whole number in digits", label, shorten(n.text))
	default:
		number.IsSet = true
	}
	return number
}

// Object returns a field that is an object.
func (o *Object) Object(label string) *Object {
	child := &Object{file: o.file, place: strings.TrimSpace(o.place + " " + label), findings: o.findings, node: o.typed(label, '{')}
	if child.node != nil {
		child.findDuplicateFields()
	}
	return child
}

// Objects returns the elements of a field that is an array of objects. Their place has the content of the
// field nameLabel. Elements of another type are findings.
func (o *Object) Objects(label, nameLabel string) []*Object {
	list := o.typed(label, '[')
	if list == nil {
		return nil
	}
	var objects []*Object
	for i, element := range list.elements {
		child := &Object{file: o.file, place: strings.TrimSpace(fmt.Sprintf("%s %s[%d]", o.place, label, i)), findings: o.findings}
		if element.kind != '{' {
			child.report(SeverityError, element.at, "the element is %s instead of an object", element.describe())
			continue
		}
		child.node = element
		if name := child.field(nameLabel); name != nil && name.kind == '"' {
			child.name = name.text
			child.place += " " + quote(name.text)
		}
		child.findDuplicateFields()
		objects = append(objects, child)
	}
	return objects
}

// Members returns the fields of the object that are objects, with their names. Others are findings.
func (o *Object) Members() []*Object {
	if o.node == nil {
		return nil
	}
	var objects []*Object
	for _, m := range o.node.members {
		o.asked = append(o.asked, m.name)
		child := &Object{file: o.file, place: quote(m.name), name: m.name, node: m.value, findings: o.findings}
		if m.value.kind != '{' {
			child.report(SeverityError, m.value.at, "the entry is %s instead of an object", m.value.describe())
			continue
		}
		objects = append(objects, child)
	}
	return objects
}

// ReportUnread records a finding for each field that was not asked for. To be called after all others.
func (o *Object) ReportUnread() {
	if o.node == nil {
		return
	}
	for _, m := range o.node.members {
		if slices.Contains(o.asked, m.name) {
			continue
		}
		i := slices.IndexFunc(o.asked, func(label string) bool { return strings.EqualFold(label, m.name) })
		if i >= 0 {
			o.report(SeverityError, m.at, "field %s differs from %s in case", quote(m.name), o.asked[i])
			continue
		}
		o.report(SeverityWarning, m.at, "field %s is unknown and has no effect", quote(m.name))
	}
}

// maxShown is the number of characters of a value that messages show.
const maxShown = 64

// quote returns a text from the file for a message.
func quote(text string) string { return strconv.Quote(shorten(text)) }

func shorten(text string) string {
	if utf8.RuneCountInString(text) <= maxShown {
		return text
	}
	return string([]rune(text)[:maxShown]) + "..."
}

// formatNumber returns a number in digits, or in scientific form if it has more than 15 of them.
func formatNumber(value float64) string {
	if value < 1e15 {
		return strconv.FormatFloat(value, 'f', -1, 64)
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}
