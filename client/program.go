package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/query"
)

// Exit statuses of the client. Scripts rely on them.
const (
	ExitOK       = 0 // the query was answered, or the change was committed or had no effect
	ExitRefused  = 1 // the change was refused or the query failed
	ExitUsage    = 2 // invalid flags, line or declaration
	ExitUnknown  = 3 // the outcome of the change is unknown
	ExitNoAnswer = 4 // no daemon responded; the outcome of a change is unknown
)

// globalFlags are the flags that apply to all commands of the client.
type globalFlags struct {
	Addresses   []string      `long:"address" env:"FULMAR_OPERATOR" env-delim:"," default:"127.0.0.1:7004" description:"IP:port of a daemon's operator interface; may be repeated"`
	TokenFile   string        `long:"token-file" env:"FULMAR_OPERATOR_TOKEN_FILE" description:"file with the operator token"`
	CAFile      string        `long:"ca" env:"FULMAR_CA" description:"PEM file of the authority of the daemons' certificate; turns TLS on"`
	Certificate string        `long:"certificate" env:"FULMAR_CERTIFICATE" description:"PEM file of the client certificate"`
	Key         string        `long:"key" env:"FULMAR_KEY" description:"PEM file of the client certificate's key"`
	Output      string        `long:"output" short:"o" default:"text" choice:"text" choice:"json" description:"format of answers"`
	Timeout     time.Duration `long:"timeout" default:"20s" description:"longest wait for one daemon"`
	Wait        time.Duration `long:"wait" default:"5s" description:"how long a change waits until it is in force; 0 does not wait"`
	Author      string        `long:"author" env:"FULMAR_AUTHOR" description:"name in the history; default is the user"`
	ChangeID    string        `long:"change-id" description:"id of the change; a repeat with the same id changes nothing; default is random"`
	Force       bool          `long:"force" description:"let an apply remove upstreams that have established flows, which end"`
	Expected    uint64        `long:"expected-generation" description:"refuse an apply when another generation is in force; 0 means any"`
}

const usage = `[OPTIONS] COMMAND

Commands:
  validate FILE     check a declaration without asking a daemon
  plan FILE         show what a declaration would change
  apply FILE        commit a declaration
  history           show generations with their change ids and authors
  query WORDS...    one query, for example: query show upstreams of bindery
  command WORDS...  one command, for example: command drain upstream bindery-3
  run FILE          run a file of queries and commands, one on a line
  prompt            read queries and commands from the terminal
  check FILE        check a configuration of the users' platform without asking a daemon; see check --help
  logs flow FLOW [FILE...]     the story of one flow, from logs of in-band daemons
  logs upstream ID [FILE...]   how the health of an upstream changed, and on what evidence
  logs beliefs TIME [FILE...]  what each in-band daemon believed at a time`

// Program is one run of the client.
type Program struct {
	flags   globalFlags
	client  *Client
	printer Printer
	in      io.Reader
	errOut  io.Writer
	// promptLines counts the lines that the prompt ran, which number their change ids.
	promptLines int
}

// Main runs the client and returns its exit status.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	p := &Program{in: in, errOut: errOut}
	parser := flags.NewNamedParser("fulmarctl", flags.HelpFlag|flags.PassDoubleDash|flags.PassAfterNonOption)
	parser.Usage = usage
	if _, err := parser.AddGroup("Options", "", &p.flags); err != nil {
		p.errorf("%v\n", err)
		return ExitUsage
	}
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagsErr.Message)
		return ExitOK
	}
	if err == nil && len(rest) == 0 {
		err = errors.New("a command is needed; see --help")
	}
	if err == nil && rest[0] == "logs" {
		return p.runLogs(rest[1:], out)
	}
	if err == nil && rest[0] == "check" {
		return p.runCheck(rest[1:], out)
	}
	if err == nil {
		err = p.initClient(out)
	}
	if err != nil {
		p.errorf("%v\n", err)
		return ExitUsage
	}
	return p.run(rest[0], rest[1:])
}

// initClient creates the client and the printer from the flags.
func (p *Program) initClient(out io.Writer) error {
	p.printer = Printer{Out: out, Format: Format(p.flags.Output)}
	if p.flags.Author == "" {
		if u, err := user.Current(); err == nil {
			p.flags.Author = u.Username
		}
	}
	token := ""
	if p.flags.TokenFile != "" {
		data, err := os.ReadFile(p.flags.TokenFile)
		if err != nil {
			return fmt.Errorf("--token-file: %w", err)
		}
		token = strings.TrimSpace(string(data))
	}
	c, err := New(Options{
		Addresses: p.flags.Addresses, Token: token, CAFile: p.flags.CAFile, CertificateFile: p.flags.Certificate,
		KeyFile: p.flags.Key, Timeout: p.flags.Timeout, Author: p.flags.Author,
	})
	p.client = c
	return err
}

func (p *Program) run(command string, args []string) int {
	ctx := context.Background()
	switch command {
	case "validate", "plan", "apply":
		return p.runDeclaration(ctx, command, args)
	case "history":
		return p.runLine(ctx, "show history")
	case "query", "command":
		if len(args) == 0 {
			return p.usageError(command + " needs words, for example: query show services")
		}
		return p.runLine(ctx, strings.Join(args, " "))
	case "run":
		return p.runScript(ctx, args)
	case "prompt":
		return p.runPrompt(ctx)
	default:
		return p.usageError(fmt.Sprintf("unknown command %q; allowed: validate, plan, apply, history, query, command, run, prompt", command))
	}
}

// errorf writes formatted text to the error output.
func (p *Program) errorf(format string, args ...any) { _, _ = fmt.Fprintf(p.errOut, format, args...) }

func (p *Program) usageError(text string) int {
	p.errorf("%s\n", text)
	return ExitUsage
}

// runDeclaration checks a declaration file locally and then validates, plans or applies it.
func (p *Program) runDeclaration(ctx context.Context, command string, args []string) int {
	if len(args) != 1 {
		return p.usageError(command + " needs one declaration file")
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return p.usageError(err.Error())
	}
	_, errs := declaration.Parse(args[0], data)
	if len(errs) > 0 {
		p.printer.PrintCheckResult(p.errOut, args[0], errs.Lines())
		return ExitUsage
	}
	switch command {
	case "validate":
		p.printer.PrintCheckResult(p.printer.Out, args[0], nil)
		return ExitOK
	case "plan":
		r, err := p.client.Plan(ctx, args[0], data)
		if err != nil {
			return p.reportNoAnswer(err, "")
		}
		p.printer.PrintPlan(r)
		return exitStatusOfErrors(r.GetErrors())
	default:
		return p.applyDeclaration(ctx, args[0], data)
	}
}

func exitStatusOfErrors(errs []string) int {
	if len(errs) > 0 {
		return ExitRefused
	}
	return ExitOK
}

func (p *Program) applyDeclaration(ctx context.Context, file string, data []byte) int {
	id := p.changeID()
	r, err := p.client.Apply(ctx, &pb.ApplyRequest{
		FileName: file, Declaration: data, ChangeId: id,
		Force: p.flags.Force, ExpectedGeneration: p.flags.Expected, WaitMs: uint32(p.flags.Wait.Milliseconds()),
	})
	if err != nil {
		return p.reportNoAnswer(err, id)
	}
	p.printer.PrintApplyResult(r)
	return exitStatusOfOutcome(r.GetOutcome())
}

// changeID returns the change id of the flags or a random one.
func (p *Program) changeID() string {
	if p.flags.ChangeID != "" {
		return p.flags.ChangeID
	}
	return NewChangeID()
}

// reportNoAnswer prints the error and, for a change, that its outcome is unknown and how to query it
// later. It returns ExitNoAnswer.
func (p *Program) reportNoAnswer(err error, changeID string) int {
	p.errorf("%v\n", err)
	if changeID != "" {
		p.errorf("outcome unknown; ask later with: query show change %s\n", changeID)
	}
	return ExitNoAnswer
}

func exitStatusOfOutcome(o pb.Outcome) int {
	switch o {
	case pb.Outcome_OUTCOME_COMMITTED, pb.Outcome_OUTCOME_UNCHANGED:
		return ExitOK
	case pb.Outcome_OUTCOME_UNKNOWN:
		return ExitUnknown
	default:
		return ExitRefused
	}
}

// runLine runs one line of the language with the change id of the flags or a random one.
func (p *Program) runLine(ctx context.Context, line string) int {
	return p.runLineWithID(ctx, line, p.changeID())
}

// runLineWithID sends one line of the language, prints the response and returns the exit status.
func (p *Program) runLineWithID(ctx context.Context, line, id string) int {
	r, err := p.client.Run(ctx, line, id, p.flags.Wait)
	if err != nil {
		if query.IsQuery(line) {
			id = ""
		}
		return p.reportNoAnswer(err, id)
	}
	p.printer.PrintRunResult(r)
	if r.GetOutcome() != pb.Outcome_OUTCOME_UNSPECIFIED && len(r.GetErrors()) == 0 {
		return exitStatusOfOutcome(r.GetOutcome())
	}
	return exitStatusOfErrors(r.GetErrors())
}
