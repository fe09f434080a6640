// Command standin-fabric runs the stand-in of the network as a process.
package main

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/fulmarfield/fulmarfield/standin/fabric"
	"github.com/fulmarfield/fulmarfield/standin/process"
)

type options struct {
	VMs      []string      `long:"vm" env:"FULMAR_FABRIC_VMS" env-delim:"," description:"bind address of a VM to relay, or a range such as 127.0.1.51-60; repeatable"`
	Services []string      `long:"service" env:"FULMAR_FABRIC_SERVICES" env-delim:"," description:"service address, repeatable"`
	Daemons  []string      `long:"daemon" env:"FULMAR_FABRIC_DAEMONS" env-delim:"," description:"data address of a balancer that receives service datagrams from the start; repeatable"`
	Admin    string        `long:"admin-address" env:"FULMAR_FABRIC_ADMIN_ADDRESS" default:"127.0.0.1:7200" description:"address of the admin interface"`
	Seed     uint64        `long:"seed" env:"FULMAR_FABRIC_SEED" default:"1" description:"seed of all random choices"`
	Withdraw time.Duration `long:"withdraw" env:"FULMAR_FABRIC_WITHDRAW" default:"1s" description:"time from a cut until unreachable balancers receive no more datagrams"`
}

// config checks the settings and returns the configuration of the fabric and the data addresses of the
// daemons.
func (o *options) config() (fabric.Config, []netip.AddrPort, error) {
	c := fabric.Config{Seed: o.Seed, Withdraw: o.Withdraw}
	if o.Withdraw < 0 {
		return c, nil, process.BadSetting("withdraw", o.Withdraw, "0s or more")
	}
	if _, err := netip.ParseAddrPort(o.Admin); err != nil {
		return c, nil, process.BadSetting("admin-address", o.Admin, "IP:PORT")
	}
	for _, s := range o.VMs {
		vms, err := fabric.ParseVMs(s)
		if err != nil {
			return c, nil, process.BadSetting("vm", s, "127.0.ZONE.HOST or 127.0.ZONE.FIRST-LAST")
		}
		c.VMs = append(c.VMs, vms...)
	}
	var err error
	if c.Services, err = parseAddresses("service", o.Services); err != nil {
		return c, nil, err
	}
	daemons, err := parseAddresses("daemon", o.Daemons)
	return c, daemons, err
}

// parseAddresses parses the values of a flag.
func parseAddresses(flag string, values []string) ([]netip.AddrPort, error) {
	var parsed []netip.AddrPort
	for _, v := range values {
		a, err := netip.ParseAddrPort(v)
		if err != nil || !a.Addr().Is4() {
			return nil, process.BadSetting(flag, v, "IPv4:PORT")
		}
		parsed = append(parsed, a)
	}
	return parsed, nil
}

func main() {
	var o options
	var config fabric.Config
	var daemons []netip.AddrPort
	process.ParseSettingsOrExit(&o, func() (err error) {
		config, daemons, err = o.config()
		return err
	})
	config.Log = process.NewLogger(os.Stderr, "standin-fabric")
	process.Exit(config.Log, run(config, daemons, o.Admin))
}

func run(config fabric.Config, daemons []netip.AddrPort, admin string) error {
	ctx, cancel := process.SignalContext()
	defer cancel()
	f, err := fabric.Start(config)
	if err != nil {
		return err
	}
	for _, d := range daemons {
		f.AddDaemon(d, 1)
	}
	stop, err := process.ServeAdmin(admin, f.Handler())
	if err != nil {
		return errors.Join(err, f.Close())
	}
	config.Log.Info().Str("event", "started").Int("vms", len(config.VMs)).Int("services", len(config.Services)).Send()
	<-ctx.Done()
	stop()
	err = f.Close()
	config.Log.Info().Str("event", "stopped").Interface("counters", f.Counters().Snapshot()).Send()
	return err
}
