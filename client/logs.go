package client

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/fulmarfield/fulmarfield/logread"
)

const logsUsage = "logs needs: flow CALLER[>SERVICE] [FILE...], upstream ID [FILE...], or beliefs TIME [FILE...] with a time as 2026-12-04T09:00:02.5Z; without files it reads standard input"

// runLogs evaluates log files of daemons and returns the exit status. It calls no daemon.
func (p *Program) runLogs(args []string, out io.Writer) int {
	if len(args) < 2 {
		p.errorf("%s\n", logsUsage)
		return ExitUsage
	}
	at, timeErr := time.Parse(time.RFC3339Nano, args[1])
	switch {
	case args[0] == "flow", args[0] == "upstream", args[0] == "beliefs" && timeErr == nil:
	default:
		p.errorf("%s\n", logsUsage)
		return ExitUsage
	}
	lines, err := p.readLogs(args[2:])
	if err != nil {
		p.errorf("%v\n", err)
		return ExitUsage
	}
	var found int
	switch args[0] {
	case "flow":
		found, err = logread.WriteFlowTimeline(out, lines, args[1])
	case "upstream":
		found, err = logread.WriteUpstreamTimeline(out, lines, args[1])
	default:
		found, err = logread.WriteDaemonStates(out, lines, at)
	}
	switch {
	case err != nil:
		p.errorf("%v\n", err)
		return ExitRefused
	case found == 0:
		p.errorf("no line of the logs tells of it\n")
		return ExitRefused
	}
	return ExitOK
}

func (p *Program) readLogs(files []string) ([]logread.Line, error) {
	if len(files) == 0 {
		return logread.Read("standard input", p.in)
	}
	var all []logread.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read logs: %w", err)
		}
		lines, err := logread.Read(name, f)
		// The file was only read, so that an error of Close loses no data.
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
