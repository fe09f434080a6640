package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// settings are the fields of a settings file as the platform fills them into a template.
type settings map[string]any

// lookup returns the field with a path such as bounds.drain_ms, nil if there is none.
func (s settings) lookup(path string) any {
	var value any = map[string]any(s)
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// text returns a value as the platform writes it into a template: lists joined by commas, tables as JSON.
func text(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = text(e)
		}
		return strings.Join(parts, ",")
	case map[string]any:
		raw, _ := json.Marshal(v) // The maps of this program can always be encoded.
		return string(raw)
	default:
		return fmt.Sprint(v)
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/([a-z0-9_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// render fills in a template: {{a.b}}, and sections that are present if the value is.
func (s settings) render(template string) string {
	filled := section.ReplaceAllStringFunc(template, func(part string) string {
		m := section.FindStringSubmatch(part)
		value := s.lookup(m[1])
		if value == nil || value == false {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", text(value))
	})
	return placeholder.ReplaceAllStringFunc(filled, func(part string) string {
		return text(s.lookup(placeholder.FindStringSubmatch(part)[1]))
	})
}
