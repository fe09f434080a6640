// Command experiment runs declared experiments in simulated time and writes their reports.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"

	"github.com/fulmarfield/fulmarfield/experiment"
)

const (
	// exitRefused is the exit status after bad arguments or an invalid declaration.
	exitRefused = 2
	usage       = "run FILE | all | list"
)

type options struct {
	Seeds []uint64 `long:"seed" env:"FULMAR_EXPERIMENT_SEED" env-delim:"," description:"seed of all random choices; 0 selects that of the file; if repeated, the report shows the ranges over all seeds"`
	Out   string   `long:"out" env:"FULMAR_EXPERIMENT_OUT" description:"directory for reports; if empty, no reports are written"`
	Dir   string   `long:"dir" env:"FULMAR_EXPERIMENT_DIR" default:"experiments" description:"directory of declared experiments, for list and all"`
}

// errArguments means that the arguments are not those of the usage line.
var errArguments = errors.New("bad arguments: allowed: " + usage)

func main() {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = usage + " [--seed N]... [--out DIR]"
	arguments, err := parser.Parse()
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(os.Stdout, err)
		return
	}
	var declared []*experiment.Declaration
	if err == nil {
		declared, err = o.load(arguments)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(exitRefused)
	}
	if arguments[0] == "list" {
		for _, d := range declared {
			_, _ = fmt.Fprintf(os.Stdout, "%-24s %s\n", d.Name, d.Title)
		}
		return
	}
	experiment.RunInTestFramework(func(t *testing.T) error { return o.run(t, declared) })
}

// load reads the declarations that the arguments select.
func (o *options) load(arguments []string) ([]*experiment.Declaration, error) {
	var files []string
	switch {
	case len(arguments) == 2 && arguments[0] == "run":
		files = arguments[1:]
	case len(arguments) == 1 && (arguments[0] == "all" || arguments[0] == "list"):
		found, err := filepath.Glob(filepath.Join(o.Dir, "*.yaml"))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errArguments, err)
		}
		files = found
	default:
		return nil, errArguments
	}
	declared := make([]*experiment.Declaration, 0, len(files))
	for _, file := range files {
		d, err := experiment.Load(file)
		if err != nil {
			return nil, err
		}
		declared = append(declared, d)
	}
	return declared, nil
}

func (o *options) run(t *testing.T, declared []*experiment.Declaration) error {
	for _, d := range declared {
		if err := o.runOne(t, d); err != nil {
			return err
		}
	}
	return nil
}

// seedReport is a report of one or several seeds.
type seedReport interface {
	WriteTable(w io.Writer) error
	Write(dir string) error
}

// runOne runs an experiment with each seed, prints the report and writes it if a directory is set.
func (o *options) runOne(t *testing.T, d *experiment.Declaration) error {
	seeds := o.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{0}
	}
	reports := make([]*experiment.Report, len(seeds))
	for i, seed := range seeds {
		if seed == 0 {
			seed = d.Seed
		}
		reports[i] = experiment.Run(t, d, seed, os.Stderr)
	}
	var out seedReport = reports[0]
	if len(reports) > 1 {
		joined, err := experiment.MergeReports(reports)
		if err != nil {
			return fmt.Errorf("%s: %w", d.Name, err)
		}
		out = joined
	}
	if err := out.WriteTable(os.Stdout); err != nil || o.Out == "" {
		return err
	}
	return out.Write(o.Out)
}
