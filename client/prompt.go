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

// runPrompt reads and runs lines until the input ends. On a terminal it offers a history and
// completes words of the language on the tab key.
func (p *Program) runPrompt(ctx context.Context) int {
	file, ok := p.in.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return p.runPipe(ctx)
	}
	state, err := term.MakeRaw(int(file.Fd()))
	if err != nil {
		return p.runPipe(ctx)
	}
	// The error is ignored: if the terminal cannot be restored, the shell resets it.
	defer func() { _ = term.Restore(int(file.Fd()), state) }()
	return p.runTerminal(ctx, file)
}

// runTerminal runs lines with history and completion until the input ends, and prints to the same
// terminal.
func (p *Program) runTerminal(ctx context.Context, screen io.ReadWriter) int {
	terminal := term.NewTerminal(screen, promptText)
	terminal.AutoCompleteCallback = completeOnTab
	p.printer.Out, p.errOut = terminal, terminal
	for {
		line, err := terminal.ReadLine()
		if err != nil && !errors.Is(err, term.ErrPasteIndicator) {
			return ExitOK
		}
		if !p.runPromptLine(ctx, line) {
			return ExitOK
		}
	}
}

// runPipe runs the lines of an input that is not a terminal.
func (p *Program) runPipe(ctx context.Context) int {
	scanner := bufio.NewScanner(p.in)
	for scanner.Scan() {
		if !p.runPromptLine(ctx, scanner.Text()) {
			return ExitOK
		}
	}
	if err := scanner.Err(); err != nil {
		return p.usageError("prompt: " + err.Error())
	}
	return ExitOK
}

// runPromptLine runs one line and reports whether the prompt continues.
func (p *Program) runPromptLine(ctx context.Context, line string) bool {
	line = strings.TrimSpace(line)
	switch line {
	case "":
	case "exit", "quit":
		return false
	case "help":
		p.printer.printf("%s\n", strings.Join(forms(), "\n"))
	default:
		p.runLineWithID(ctx, line, p.promptChangeID())
	}
	return true
}

// completeOnTab completes the line when the tab key is pressed at its end.
func completeOnTab(line string, pos int, key rune) (string, int, bool) {
	if key != '\t' || pos != len(line) {
		return "", 0, false
	}
	completed := Complete(line)
	return completed, len(completed), true
}
