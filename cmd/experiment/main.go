// Command experiment runs declared experiments in simulated time and writes their reports.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"

	"github.com/fulmarfield/fulmarfield/experiment"
)

const (
	exitRefused = 2
	usage       = "run FILE | all | list"
)

type options struct {
	Seed uint64 `long:"seed" env:"FULMAR_EXPERIMENT_SEED" description:"seed of all random choices; 0 takes that of the file"`
	Out  string `long:"out" env:"FULMAR_EXPERIMENT_OUT" description:"directory for reports; empty writes none"`
	Dir  string `long:"dir" env:"FULMAR_EXPERIMENT_DIR" default:"experiments" description:"directory of declared experiments, for list and all"`
}

// errArguments reports arguments other than those of the usage line.
var errArguments = errors.New("bad arguments: allowed: " + usage)

func main() {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = usage + " [--seed N] [--out DIR]"
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
	experiment.InBubbles(func(t *testing.T) error { return o.run(t, declared) })
}

// load reads the experiments that the arguments name.
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
		seed := d.Seed
		if o.Seed != 0 {
			seed = o.Seed
		}
		r := experiment.Run(t, d, seed, os.Stderr)
		if err := r.Table(os.Stdout); err != nil {
			return err
		}
		if o.Out == "" {
			continue
		}
		if err := r.Write(o.Out); err != nil {
			return err
		}
	}
	return nil
}
