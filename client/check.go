package client

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/fulmarfield/fulmarfield/config/check"
	"github.com/fulmarfield/fulmarfield/platform"
)

// checkFlags are the flags of the command check.
type checkFlags struct {
	InForce   string   `long:"in-force" value-name:"FILE" description:"configuration in force; prints what differs from it and what this does to open flows"`
	Upstreams string   `long:"upstreams" value-name:"FILE" description:"JSON object of the registered upstreams by ID; checks that each service has a ready one"`
	Evacuate  []string `long:"evacuate" value-name:"ZONE" description:"zone to be evacuated; checks that each service keeps a ready upstream; may be repeated, needs --upstreams"`
	Output    string   `long:"output" short:"o" choice:"text" choice:"json" description:"format of the result; default is that of the option before the command"`
}

// errUnreadable means that a file to compare with cannot be used at all.
var errUnreadable = errors.New("file cannot be used")

// runCheck checks a configuration file and returns the exit status. It calls no daemon.
func (p *Program) runCheck(args []string, out io.Writer) int {
	f := checkFlags{Output: p.flags.Output}
	parser := flags.NewNamedParser("fulmarctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = "check [OPTIONS] FILE"
	if _, err := parser.AddGroup("Options of check", "", &f); err != nil {
		return p.usageError(err.Error())
	}
	files, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagsErr.Message)
		return ExitOK
	case err != nil:
		return p.usageError(err.Error())
	case len(files) != 1:
		return p.usageError("check needs one configuration file")
	case len(f.Evacuate) > 0 && f.Upstreams == "":
		return p.usageError("--evacuate needs --upstreams")
	}
	input, err := readCheckInput(files[0], f)
	if err != nil {
		return p.usageError(err.Error())
	}
	result := check.Run(input)
	write := result.WriteText
	if Format(f.Output) == JSON {
		write = result.WriteJSON
	}
	if err := write(out); err != nil {
		p.errorf("write the result: %v\n", err)
		return ExitRefused
	}
	if !result.Valid {
		return ExitRefused
	}
	return ExitOK
}

// readCheckInput reads the files of a check. Mistakes in the checked file itself are findings, not errors.
func readCheckInput(file string, f checkFlags) (check.Input, error) {
	input := check.Input{Evacuated: f.Evacuate}
	text, err := os.ReadFile(file)
	if err != nil {
		return input, fmt.Errorf("check: %w", err)
	}
	input.Document = platform.ReadDocument(file, text)
	if f.InForce != "" {
		if text, err = os.ReadFile(f.InForce); err != nil {
			return input, fmt.Errorf("--in-force: %w", err)
		}
		input.InForce = platform.ReadDocument(f.InForce, text)
		if findings := input.InForce.Findings(); !input.InForce.Root.IsPresent() && len(findings) > 0 {
			return input, fmt.Errorf("--in-force: %w: %s", errUnreadable, findings[0])
		}
		if refused := input.InForce.Refused; refused != nil {
			return input, fmt.Errorf("--in-force: %w: %s: %w", errUnreadable, f.InForce, refused)
		}
	}
	if f.Upstreams != "" {
		if text, err = os.ReadFile(f.Upstreams); err != nil {
			return input, fmt.Errorf("--upstreams: %w", err)
		}
		input.Upstreams = platform.ReadUpstreams(f.Upstreams, text)
		if findings := input.Upstreams.Root.Findings(); !input.Upstreams.Root.IsPresent() && len(findings) > 0 {
			return input, fmt.Errorf("--upstreams: %w: %s", errUnreadable, findings[0])
		}
	}
	return input, nil
}
