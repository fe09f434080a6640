package client

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/fulmarfield/fulmarfield/command"
	"github.com/fulmarfield/fulmarfield/query"
)

// scriptLine is a line of a script that is neither empty nor a comment.
type scriptLine struct {
	number int
	text   string
}

// runScript runs the lines of a file and stops at the first that fails. It first parses all lines
// and runs none if one is invalid.
func (p *Program) runScript(ctx context.Context, args []string) int {
	if len(args) != 1 {
		return p.usageError("run needs one file")
	}
	lines, err := readScript(args[0])
	if err != nil {
		return p.usageError(err.Error())
	}
	faults := 0
	for _, l := range lines {
		if err := checkLine(l.text); err != nil {
			p.errorf("%s:%d: %v\n", args[0], l.number, err)
			faults++
		}
	}
	if faults > 0 {
		return ExitUsage
	}
	for _, l := range lines {
		if status := p.runLineWithID(ctx, l.text, p.scriptChangeID(l.number)); status != ExitOK {
			p.errorf("%s:%d: stopped at %q\n", args[0], l.number, l.text)
			return status
		}
	}
	return ExitOK
}

func readScript(name string) ([]scriptLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // read only
	var lines []scriptLine
	scanner := bufio.NewScanner(f)
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if text != "" && !strings.HasPrefix(text, "#") {
			lines = append(lines, scriptLine{n, text})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// checkLine returns an error if a line is neither a valid query nor a valid command.
func checkLine(line string) error {
	if query.IsQuery(line) {
		_, err := query.Parse(line)
		return err
	}
	_, err := command.Parse(line)
	return err
}

// scriptChangeID returns the change id of a line of a script. A second run of the script with the
// same --change-id uses the same ids, so that lines that were committed have no effect again.
func (p *Program) scriptChangeID(line int) string {
	if p.flags.ChangeID == "" {
		return NewChangeID()
	}
	return fmt.Sprintf("%s-%d", p.flags.ChangeID, line)
}

// promptChangeID returns the change id of the next line of the prompt; see scriptChangeID.
func (p *Program) promptChangeID() string {
	p.promptLines++
	return p.scriptChangeID(p.promptLines)
}
