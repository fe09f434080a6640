package client

import (
	"strings"

	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/query"
)

// forms lists all forms of the language.
func forms() []string { return append(append([]string{}, query.Forms...), command.Forms...) }

// Complete extends a line by the words that all forms of the language that begin with it
// share. Words in capitals stand for names, which are taken as they are and never completed.
func Complete(line string) string {
	words := strings.Fields(line)
	last := ""
	if len(words) > 0 && !strings.HasSuffix(line, " ") {
		last = words[len(words)-1]
		words = words[:len(words)-1]
	}
	var next []string
	for _, form := range forms() {
		next = append(next, following(strings.Fields(form), words, last)...)
	}
	shared, ok := sharedPrefix(next)
	if !ok || len(shared) <= len(last) && !isOnly(next, last) {
		return line
	}
	completed := line[:len(line)-len(last)] + shared
	if !isOnly(next, shared) {
		return completed
	}
	if last == shared {
		return completed + " "
	}
	return Complete(completed + " ")
}

// following returns the fixed words that may come after the given ones in a form and that
// begin with last.
func following(form, words []string, last string) []string {
	if len(words) >= len(form) {
		return nil
	}
	for i, w := range words {
		if !admits(form[i], w) {
			return nil
		}
	}
	var found []string
	for _, choice := range choices(form[len(words)]) {
		if strings.HasPrefix(choice, last) {
			found = append(found, choice)
		}
	}
	return found
}

// choices returns the fixed words of one place of a form; a name has none.
func choices(word string) []string {
	word = strings.Trim(word, "[]")
	if strings.ToUpper(word) == word {
		return nil
	}
	return strings.Split(word, "|")
}

func admits(place, word string) bool {
	fixed := choices(place)
	for _, choice := range fixed {
		if choice == word {
			return true
		}
	}
	return len(fixed) == 0
}

func sharedPrefix(words []string) (string, bool) {
	if len(words) == 0 {
		return "", false
	}
	shared := words[0]
	for _, w := range words[1:] {
		for !strings.HasPrefix(w, shared) {
			shared = shared[:len(shared)-1]
		}
	}
	return shared, true
}

// isOnly reports whether all words are the given one.
func isOnly(words []string, word string) bool {
	for _, w := range words {
		if w != word {
			return false
		}
	}
	return len(words) > 0
}
