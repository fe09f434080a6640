package client

import (
	"strings"

	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/query"
)

// forms returns all forms of the language.
func forms() []string { return append(append([]string{}, query.Forms...), command.Forms...) }

// Complete extends a line by the words that follow in every form of the language that matches the
// line. Words of a form in capitals are placeholders for names: they match any word and are never
// completed.
func Complete(line string) string {
	words := strings.Fields(line)
	partial := ""
	if len(words) > 0 && !strings.HasSuffix(line, " ") {
		partial = words[len(words)-1]
		words = words[:len(words)-1]
	}
	var candidates []string
	for _, form := range forms() {
		candidates = append(candidates, nextWords(strings.Fields(form), words, partial)...)
	}
	common, ok := commonPrefix(candidates)
	if !ok || len(common) <= len(partial) && !allEqual(candidates, partial) {
		return line
	}
	completed := line[:len(line)-len(partial)] + common
	if !allEqual(candidates, common) {
		return completed
	}
	if partial == common {
		return completed + " "
	}
	return Complete(completed + " ")
}

// nextWords returns the fixed words that may come after the given ones in a form and that begin with
// partial.
func nextWords(form, words []string, partial string) []string {
	if len(words) >= len(form) {
		return nil
	}
	for i, w := range words {
		if !matchesWord(form[i], w) {
			return nil
		}
	}
	var found []string
	for _, choice := range fixedWords(form[len(words)]) {
		if strings.HasPrefix(choice, partial) {
			found = append(found, choice)
		}
	}
	return found
}

// fixedWords returns the alternatives of one word of a form, or none if it is a placeholder for a
// name.
func fixedWords(word string) []string {
	word = strings.Trim(word, "[]")
	if strings.ToUpper(word) == word {
		return nil
	}
	return strings.Split(word, "|")
}

// matchesWord reports whether a word of a line matches the word at the same place of a form.
func matchesWord(formWord, word string) bool {
	choices := fixedWords(formWord)
	for _, choice := range choices {
		if choice == word {
			return true
		}
	}
	return len(choices) == 0
}

// commonPrefix returns the longest common prefix of the words; false if there are none.
func commonPrefix(words []string) (string, bool) {
	if len(words) == 0 {
		return "", false
	}
	common := words[0]
	for _, w := range words[1:] {
		for !strings.HasPrefix(w, common) {
			common = common[:len(common)-1]
		}
	}
	return common, true
}

// allEqual reports whether there are words and all of them equal the given one.
func allEqual(words []string, word string) bool {
	for _, w := range words {
		if w != word {
			return false
		}
	}
	return len(words) > 0
}
