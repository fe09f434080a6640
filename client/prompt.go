package client

import (
	"bufio"
	"context"
	"os"
	"strings"

	"golang.org/x/term"

	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/query"
)

const promptText = "fulmar> "

// prompt reads lines until the input ends. On a terminal it has history and completes the
// words of the language by the tab key.
func (p *Program) prompt(ctx context.Context) int {
	file, ok := p.in.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return p.readLines(ctx)
	}
	state, err := term.MakeRaw(int(file.Fd()))
	if err != nil {
		return p.readLines(ctx)
	}
	// A terminal that cannot be restored is the shell's to reset.
	defer func() { _ = term.Restore(int(file.Fd()), state) }()
	terminal := term.NewTerminal(file, promptText)
	terminal.AutoCompleteCallback = completeKey
	p.printer.Out, p.errOut = terminal, terminal
	for {
		line, err := terminal.ReadLine()
		if err != nil {
			return ExitOK
		}
		if !p.promptLine(ctx, line) {
			return ExitOK
		}
	}
}

func (p *Program) readLines(ctx context.Context) int {
	scanner := bufio.NewScanner(p.in)
	for scanner.Scan() {
		if !p.promptLine(ctx, scanner.Text()) {
			break
		}
	}
	return ExitOK
}

// promptLine runs one line and reports whether to go on.
func (p *Program) promptLine(ctx context.Context, line string) bool {
	line = strings.TrimSpace(line)
	switch line {
	case "":
	case "exit", "quit":
		return false
	case "help":
		p.printer.printf("%s\n", strings.Join(append(append([]string{}, query.Forms...), command.Forms...), "\n"))
	default:
		p.line(ctx, line)
	}
	return true
}

func completeKey(line string, pos int, key rune) (string, int, bool) {
	if key != '\t' || pos != len(line) {
		return "", 0, false
	}
	completed := Complete(line)
	return completed, len(completed), true
}

// Complete extends a line to the longest beginning that all forms of the language that start
// with it share; words in capitals stand for names and are not completed.
func Complete(line string) string {
	var matches []string
	for _, form := range append(append([]string{}, query.Forms...), command.Forms...) {
		fixed := fixedPrefix(form)
		if strings.HasPrefix(fixed, line) {
			matches = append(matches, fixed)
		}
	}
	if len(matches) == 0 {
		return line
	}
	shared := matches[0]
	for _, m := range matches[1:] {
		for !strings.HasPrefix(m, shared) {
			shared = shared[:len(shared)-1]
		}
	}
	return shared
}

// fixedPrefix returns the words of a form before its first name or option.
func fixedPrefix(form string) string {
	end := strings.IndexAny(form, "[ABCDEFGHIJKLMNOPQRSTUVWXYZ|")
	if end < 0 {
		return form
	}
	if form[end] == '|' {
		return form[:strings.LastIndex(form[:end], " ")+1]
	}
	return form[:end]
}
