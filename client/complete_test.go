package client_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/client"
)

// Guards against a completion that adds words that do not follow in every matching form, drops typed
// words, or stops although only one word can follow.
func TestComplete(t *testing.T) {
	for line, want := range map[string]string{
		"":                             "",
		"sh":                           "show ",
		"show up":                      "show upstreams of ",
		"show d":                       "show d",
		"show dr":                      "show dr",
		"show route of 127.0.0.1:1 ":   "show route of 127.0.0.1:1 to ",
		"add upstream x to bindery z":  "add upstream x to bindery zone ",
		"set aim of bindery b":         "set aim of bindery balance ",
		"set limit of bindery ":        "set limit of bindery ",
		"undrain upstream bindery-1":   "undrain upstream bindery-1",
		"remove upstream bindery-1 fo": "remove upstream bindery-1 force ",
		"dance":                        "dance",
	} {
		NewWithT(t).Expect(client.Complete(line)).To(Equal(want), line)
	}
}
