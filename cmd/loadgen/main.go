// Command loadgen generates the load of many callers, or summarizes a run directory. SIGUSR1 ends the load
// early; the final check of each flow still follows.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/standin/loadgen"
	"github.com/fulmarfield/fulmarfield/standin/process"
	"github.com/fulmarfield/fulmarfield/standin/summary"
)

// errInvariantViolated makes the program exit with status 1 after it has printed the table.
var errInvariantViolated = errors.New("the run violated an invariant")

const (
	maxFlows    = 50_000
	maxDuration = time.Hour
)

type options struct {
	Services      []string      `long:"service" env:"FULMAR_LOADGEN_SERVICES" env-delim:"," description:"NAME=IP:PORT of a service, repeatable"`
	Flows         int           `long:"flows" env:"FULMAR_LOADGEN_FLOWS" default:"1000" description:"long-lived flows to each service"`
	Ramp          time.Duration `long:"ramp" env:"FULMAR_LOADGEN_RAMP" default:"5s" description:"time over which the long-lived flows are opened"`
	Churn         float64       `long:"churn" env:"FULMAR_LOADGEN_CHURN" default:"20" description:"short flows per second to each service"`
	Duration      time.Duration `long:"duration" env:"FULMAR_LOADGEN_DURATION" default:"45s" description:"length of the load"`
	Final         time.Duration `long:"final" env:"FULMAR_LOADGEN_FINAL" default:"3s" description:"time after the load over which a last request checks each long-lived flow"`
	MaxRequests   int64         `long:"max-requests" env:"FULMAR_LOADGEN_MAX_REQUESTS" default:"5000000" description:"maximum number of requests in total"`
	Think         time.Duration `long:"think" env:"FULMAR_LOADGEN_THINK" default:"2s" description:"mean time between an answer and the next request"`
	Deadline      time.Duration `long:"deadline" env:"FULMAR_LOADGEN_DEADLINE" default:"4s" description:"deadline of each request"`
	NonIdempotent float64       `long:"non-idempotent" env:"FULMAR_LOADGEN_NON_IDEMPOTENT" default:"0.3" description:"share of requests that are not idempotent"`
	Large         float64       `long:"large" env:"FULMAR_LOADGEN_LARGE" default:"0.05" description:"share of requests whose answer has several parts"`
	Seed          uint64        `long:"seed" env:"FULMAR_LOADGEN_SEED" default:"1" description:"seed of all random choices"`
	Network       string        `long:"network" env:"FULMAR_LOADGEN_NETWORK" default:"127.9.1.1" description:"first source address of flows"`
	Progress      time.Duration `long:"progress" env:"FULMAR_LOADGEN_PROGRESS" default:"5s" description:"interval between progress lines; 0s for none"`
	Report        string        `long:"report" env:"FULMAR_LOADGEN_REPORT" description:"file for the report in JSON; if empty, no report is written"`
	Summarize     string        `long:"summarize" description:"print the summary of a run directory instead; exit status 1 if an invariant was violated"`
	ListBroken    bool          `long:"list-broken" description:"with --summarize, print each broken connection"`
	ListPhases    bool          `long:"list-phases" description:"with --summarize, print the outcomes of the requests after each event"`

	Row bool `long:"row" description:"with --summarize, print one tab-separated line for a table of runs instead"`

	config loadgen.Config
}

// buildConfig checks the settings and builds the configuration of the load from them. It returns an
// error that names a refused setting.
func (o *options) buildConfig() error {
	if o.Summarize != "" {
		return nil
	}
	if err := errors.Join(o.checkTimes(), o.checkNumbers()); err != nil {
		return err
	}
	network, err := netip.ParseAddr(o.Network)
	if err != nil || !network.Is4() || !network.IsLoopback() {
		return process.BadSetting("network", o.Network, "an address of 127.0.0.0/8")
	}
	o.config = loadgen.Config{
		Flows: o.Flows, Ramp: o.Ramp, Churn: o.Churn, Duration: o.Duration, MaxRequests: o.MaxRequests, Final: o.Final, Think: o.Think,
		Deadline: o.Deadline, NonIdempotent: o.NonIdempotent, Large: o.Large, Seed: o.Seed, Network: network,
		Listen: process.ListenUDP, ProgressInterval: o.Progress,
	}
	for _, s := range o.Services {
		name, address, _ := strings.Cut(s, "=")
		a, err := netip.ParseAddrPort(address)
		if err != nil || !a.Addr().Is4() || !a.Addr().IsLoopback() || name == "" {
			return process.BadSetting("service", s, "NAME=IP:PORT with an address of 127.0.0.0/8")
		}
		o.config.Services = append(o.config.Services, loadgen.Service{Name: name, Address: a})
	}
	if len(o.config.Services) == 0 {
		return process.BadSetting("service", "", "at least one NAME=IP:PORT")
	}
	return nil
}

func (o *options) checkTimes() error {
	switch {
	case o.Duration <= 0 || o.Duration > maxDuration:
		return process.BadSetting("duration", o.Duration, fmt.Sprintf("above 0s, up to %s", maxDuration))
	case o.Ramp < 0 || o.Ramp > o.Duration:
		return process.BadSetting("ramp", o.Ramp, "0s up to the duration")
	case o.Final < 0 || o.Final > maxDuration:
		return process.BadSetting("final", o.Final, fmt.Sprintf("0s to %s", maxDuration))
	case o.Think <= 0:
		return process.BadSetting("think", o.Think, "above 0s")
	case o.Deadline < time.Millisecond:
		return process.BadSetting("deadline", o.Deadline, "1ms or more")
	case o.Progress < 0:
		return process.BadSetting("progress", o.Progress, "0s or more")
	}
	return nil
}

func (o *options) checkNumbers() error {
	switch {
	case o.Flows < 1 || o.Flows > maxFlows:
		return process.BadSetting("flows", o.Flows, fmt.Sprintf("1 to %d", maxFlows))
	case o.Churn < 0:
		return process.BadSetting("churn", o.Churn, "0 or more")
	case o.MaxRequests < 1:
		return process.BadSetting("max-requests", o.MaxRequests, "1 or more")
	case o.NonIdempotent < 0 || o.NonIdempotent > 1:
		return process.BadSetting("non-idempotent", o.NonIdempotent, "0 to 1")
	case o.Large < 0 || o.Large > 1:
		return process.BadSetting("large", o.Large, "0 to 1")
	}
	return nil
}

func main() {
	var o options
	process.ParseSettingsOrExit(&o, o.buildConfig)
	log := process.NewLogger(os.Stderr, "loadgen")
	if o.Summarize != "" {
		process.Exit(log, summarize(os.Stdout, &o))
	}
	process.Exit(log, run(&o, log))
}

func run(o *options, log zerolog.Logger) error {
	ctx, cancel := process.SignalContext()
	defer cancel()
	end, stop := signal.NotifyContext(ctx, syscall.SIGUSR1)
	defer stop()
	o.config.End = end.Done()
	o.config.Log = log
	o.config.Progress = func(line string) { _, _ = fmt.Fprintln(os.Stderr, line) }
	report := loadgen.Run(ctx, o.config)
	if o.Report != "" {
		raw, err := json.Marshal(report)
		if err != nil {
			return fmt.Errorf("encode report: %w", err)
		}
		if err := os.WriteFile(o.Report, raw, 0o600); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return report.Table(os.Stdout)
}

func summarize(w io.Writer, o *options) error {
	r, err := summary.Read(o.Summarize)
	if err != nil {
		return err
	}
	violations := r.Check()
	write := r.WriteTable
	if o.Row {
		write = r.WriteRow
	}
	if err := write(w, violations); err != nil {
		return err
	}
	if o.ListPhases {
		if err := r.WritePhases(w); err != nil {
			return err
		}
	}
	if o.ListBroken {
		if err := r.WriteBrokenConnections(w); err != nil {
			return err
		}
	}
	if len(violations) > 0 {
		return errInvariantViolated
	}
	return nil
}
