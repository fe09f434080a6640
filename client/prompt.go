package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"strings"

	"golang.org/x/term"
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
	return p.onTerminal(ctx, file)
}

// onTerminal reads lines with history and completion until the input ends, and prints to the
// same terminal.
func (p *Program) onTerminal(ctx context.Context, screen io.ReadWriter) int {
	terminal := term.NewTerminal(screen, promptText)
	terminal.AutoCompleteCallback = completeKey
	p.printer.Out, p.errOut = terminal, terminal
	for {
		line, err := terminal.ReadLine()
		if err != nil && !errors.Is(err, term.ErrPasteIndicator) {
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
			return ExitOK
		}
	}
	if err := scanner.Err(); err != nil {
		return p.usageError("prompt: " + err.Error())
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
		p.printer.printf("%s\n", strings.Join(forms(), "\n"))
	default:
		p.lineWithID(ctx, line, p.numberedID())
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
