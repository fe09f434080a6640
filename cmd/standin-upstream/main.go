// Command standin-upstream runs one or several stand-ins of upstreams in one process.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarfield/fulmarfield/standin/process"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
)

const (
	maxCount = 200
	maxSlots = 10_000
)

type options struct {
	Name          string        `long:"name" env:"FULMAR_UPSTREAM_NAME" required:"true" description:"name of the upstream; with --count, a number is appended"`
	Address       string        `long:"address" env:"FULMAR_UPSTREAM_ADDRESS" required:"true" description:"bind address, IP:PORT; with --count, the last octet is incremented"`
	Service       string        `long:"service-address" env:"FULMAR_UPSTREAM_SERVICE_ADDRESS" required:"true" description:"address of the service that the upstream belongs to"`
	ServiceNumber uint32        `long:"service-number" env:"FULMAR_UPSTREAM_SERVICE_NUMBER" default:"0" description:"number of the service; 0 selects that of the first packet"`
	Slots         int           `long:"slots" env:"FULMAR_UPSTREAM_SLOTS" default:"2" description:"requests that run at the same time"`
	Queue         int           `long:"queue" env:"FULMAR_UPSTREAM_QUEUE" default:"2" description:"requests that wait for a slot; more are shed"`
	MeanService   time.Duration `long:"mean-service" env:"FULMAR_UPSTREAM_MEAN_SERVICE" default:"8ms" description:"mean service time"`
	Distribution  string        `long:"distribution" env:"FULMAR_UPSTREAM_DISTRIBUTION" default:"exponential" description:"distribution of service times: constant, exponential or heavy-tailed"`
	Seed          uint64        `long:"seed" env:"FULMAR_UPSTREAM_SEED" default:"1" description:"seed of all random choices"`
	Count         int           `long:"count" env:"FULMAR_UPSTREAM_COUNT" default:"1" description:"number of upstreams in this process"`
	Admin         string        `long:"admin-address" env:"FULMAR_UPSTREAM_ADMIN_ADDRESS" description:"address of the admin interface; empty for none"`
	Report        string        `long:"report" env:"FULMAR_UPSTREAM_REPORT" description:"file for the report at the end; if empty, it is written to standard output"`

	address, service netip.AddrPort
}

// check checks the settings and sets the parsed addresses.
func (o *options) check() (err error) {
	if o.address, err = netip.ParseAddrPort(o.Address); err != nil || !o.address.Addr().Is4() {
		return process.BadSetting("address", o.Address, "IPv4:PORT")
	}
	if o.service, err = netip.ParseAddrPort(o.Service); err != nil || !o.service.Addr().Is4() {
		return process.BadSetting("service-address", o.Service, "IPv4:PORT")
	}
	if o.Admin != "" {
		if _, err = netip.ParseAddrPort(o.Admin); err != nil {
			return process.BadSetting("admin-address", o.Admin, "IP:PORT")
		}
	}
	return o.checkNumbers()
}

func (o *options) checkNumbers() error {
	switch upstream.Distribution(o.Distribution) {
	case upstream.Constant, upstream.Exponential, upstream.HeavyTailed:
	default:
		return process.BadSetting("distribution", o.Distribution, "constant, exponential, heavy-tailed")
	}
	switch {
	case o.Slots < 1 || o.Slots > maxSlots:
		return process.BadSetting("slots", o.Slots, fmt.Sprintf("1 to %d", maxSlots))
	case o.Queue < 0:
		return process.BadSetting("queue", o.Queue, "0 or more")
	case o.MeanService <= 0:
		return process.BadSetting("mean-service", o.MeanService, "above 0s")
	case o.Count < 1 || o.Count > maxCount || int(o.address.Addr().As4()[3])+o.Count > 255:
		return process.BadSetting("count", o.Count, fmt.Sprintf("1 to %d, within the last octet", maxCount))
	}
	return nil
}

// newUpstream binds the address of the upstream with the given index and returns the upstream.
func (o *options) newUpstream(i int, log zerolog.Logger) (*upstream.Upstream, error) {
	name, ip := o.Name, o.address.Addr().As4()
	if o.Count > 1 {
		name = fmt.Sprintf("%s-%d", o.Name, i+1)
	}
	ip[3] += byte(i)
	conn, err := process.ListenUDP(netip.AddrPortFrom(netip.AddrFrom4(ip), o.address.Port()))
	if err != nil {
		return nil, err
	}
	return upstream.New(upstream.Config{
		Name: name, Service: o.service, ServiceNumber: o.ServiceNumber, Slots: o.Slots, Queue: o.Queue,
		MeanService: o.MeanService, Distribution: upstream.Distribution(o.Distribution),
		Seed: o.Seed + uint64(i), Log: log,
	}, conn), nil
}

func main() {
	var o options
	process.ParseSettingsOrExit(&o, o.check)
	log := process.NewLogger(os.Stderr, "standin-upstream")
	process.Exit(log, run(&o, log))
}

func run(o *options, log zerolog.Logger) error {
	ctx, cancel := process.SignalContext()
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	var upstreams []*upstream.Upstream
	for i := range o.Count {
		u, err := o.newUpstream(i, log)
		if err != nil {
			return err
		}
		upstreams = append(upstreams, u)
		group.Go(u.Run)
	}
	stop, err := process.ServeAdmin(o.Admin, upstream.Handler(upstreams))
	if err != nil {
		return err
	}
	log.Info().Str("event", "started").Str("name", o.Name).Str("address", o.Address).Int("count", o.Count).Send()
	err = serve(ctx, group, upstreams)
	stop()
	if err != nil {
		return err
	}
	return writeReports(o.Report, upstreams)
}

// serve waits for the end of ctx, closes the upstreams and waits until they have ended.
func serve(ctx context.Context, group *errgroup.Group, upstreams []*upstream.Upstream) error {
	<-ctx.Done()
	for _, u := range upstreams {
		if err := u.Close(); err != nil {
			return err
		}
	}
	return group.Wait()
}

// writeReports writes the reports of all upstreams as one JSON array.
func writeReports(file string, upstreams []*upstream.Upstream) error {
	reports := []upstream.Report{}
	for _, u := range upstreams {
		reports = append(reports, u.Report(true))
	}
	raw, err := json.Marshal(reports)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if file == "" {
		_, err = os.Stdout.Write(append(raw, '\n'))
	} else {
		err = os.WriteFile(file, raw, 0o600)
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
