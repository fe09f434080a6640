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

// script runs a file of lines and stops at the first that does not succeed. No line runs
// unless all of them can be parsed.
func (p *Program) script(ctx context.Context, args []string) int {
	if len(args) != 1 {
		return p.usageError("run needs one file")
	}
	lines, err := readScript(args[0])
	if err != nil {
		return p.usageError(err.Error())
	}
	faults := 0
	for _, l := range lines {
		if err := parse(l.text); err != nil {
			p.complain("%s:%d: %v\n", args[0], l.number, err)
			faults++
		}
	}
	if faults > 0 {
		return ExitUsage
	}
	for _, l := range lines {
		if status := p.lineWithID(ctx, l.text, p.scriptID(l.number)); status != ExitOK {
			p.complain("%s:%d: stopped at %q\n", args[0], l.number, l.text)
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

// parse checks one line of either kind.
func parse(line string) error {
	if query.IsQuery(line) {
		_, err := query.Parse(line)
		return err
	}
	_, err := command.Parse(line)
	return err
}

// scriptID gives each line of a script a change id of its own. A repeat of the script with the
// same --change-id repeats the ids, so that lines that were committed change nothing again.
func (p *Program) scriptID(line int) string {
	if p.flags.ChangeID == "" {
		return NewChangeID()
	}
	return fmt.Sprintf("%s-%d", p.flags.ChangeID, line)
}

// numberedID is scriptID for the prompt, whose lines are counted.
func (p *Program) numberedID() string {
	p.lines++
	return p.scriptID(p.lines)
}
