package edge

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/internal/setting"
)

const (
	// defaultBoundMs is the time in milliseconds in which changes are in force if the settings state none.
	defaultBoundMs = 3000
	// shortestPropagationBound is the shortest time in which a daemon aims to have changes in force. A shorter one
	// would take up the store's rate of calls.
	shortestPropagationBound = 500 * time.Millisecond
	// longestPropagationBound is the longest one. Records are never validated later than this.
	longestPropagationBound = time.Minute
	defaultColdOverage      = 1
	defaultColdSlack        = 0
	defaultGraceSeconds     = 6
	// longestGracePeriod keeps times that are calculated with the grace period within range.
	longestGracePeriod = 24 * time.Hour
)

// Settings are set by flags, environment variables, or lines of the settings file. Flags take
// precedence over the file. The fields of type figure accept a number of any size, true, false or nothing.
type Settings struct {
	File string `long:"settings-file" env:"FULMARFIELD_CONFIG" no-ini:"true" description:"file with settings, one NAME = VALUE a line"`

	Name          string `long:"name" env:"FULMAR_NAME" description:"name of this daemon, unique in the deployment"`
	Zone          string `long:"zone" env:"FULMAR_ZONE" description:"availability zone of this VM"`
	PacketAddress string `long:"packet-address" env:"FULMAR_PACKET_ADDRESS" description:"IP:port that routers send packets to (UDP); callers get resets at the same port"`
	ReadyAddress  string `long:"ready-address" env:"FULMAR_READY_ADDRESS" description:"IP:port of the readiness check for routers (TCP)"`
	AdminAddress  string `long:"admin-address" env:"FULMAR_ADMIN_ADDRESS" description:"IP:port for other daemons (TCP and UDP) and metrics"`
	StoreAddress  string `long:"store-address" env:"FULMAR_STORE_ADDRESS" description:"IP:port of the metadata store (HTTP)"`

	Seeds []string `long:"seeds" env:"FULMAR_SEEDS" env-delim:"," description:"IP:port lists of other daemons, separated by commas; they may be outdated, and the port is not used"`

	ConfigurationBound figure `long:"configuration-bound-ms" env:"FULMAR_CONFIGURATION_BOUND_MS" default-mask:"3000" description:"time in which an acknowledged configuration is in force"`
	DrainBound         figure `long:"drain-bound-ms" env:"FULMAR_DRAIN_BOUND_MS" default-mask:"3000" description:"time after which a draining upstream gets no new flow"`
	EvacuationBound    figure `long:"evacuation-bound-ms" env:"FULMAR_EVACUATION_BOUND_MS" default-mask:"none" description:"time after which an evacuated zone gets no new flow; without it, evacuations are not read"`

	ColdOverage figure `long:"cold-overage" env:"FULMAR_COLD_OVERAGE" default-mask:"1" description:"factor by which cold upstreams may receive more opening packets than the cold rate of their service"`
	ColdSlack   figure `long:"cold-slack" env:"FULMAR_COLD_SLACK" default-mask:"0" description:"opening packets in any second that cold upstreams may receive in addition"`

	UpstreamHeartbeat figure `long:"upstream-heartbeat-ms" env:"FULMAR_UPSTREAM_HEARTBEAT_MS" default-mask:"1200" description:"no effect; settings files of earlier versions have it"`

	Admission string `long:"admission" env:"FULMAR_ADMISSION" default:"on" choice:"on" choice:"off" description:"whether new flows wait or are refused under overload, on routes with an objective"`
	Placement string `long:"placement" env:"FULMAR_PLACEMENT" default:"cost" choice:"cost" choice:"load" description:"what new flows follow: expected durations of requests in addition to load, or load alone"`

	GraceSeconds figure `long:"grace-seconds" env:"FULMAR_GRACE_SECONDS" default-mask:"6" description:"time from the request to end until the process is killed"`
	LogLevel     string `long:"log-level" env:"FULMAR_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
	LogLines     int    `long:"log-lines" env:"FULMAR_LOG_LINES" default:"50" description:"lines a second on single flows, 1 to 100000; further ones are counted"`
}

// ParseSettings reads the settings file that a flag or the environment names, then flags and
// environment, and validates the result. It returns setting.ErrHelp, a *setting.Error, or an error
// that names the flag, or the file and the line.
func ParseSettings(args []string) (*Settings, error) {
	s := &Settings{}
	parser := flags.NewNamedParser("fulmar-balancer in-band", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", s); err != nil {
		return nil, fmt.Errorf("define settings: %w", err)
	}
	if err := setting.ParseFlags(parser, args); err != nil {
		return nil, err
	}
	if s.File != "" {
		if err := parseFile(parser, s.File); err != nil {
			return nil, err
		}
		// Flags are parsed again, so that they take precedence over the file.
		if err := setting.ParseFlags(parser, args); err != nil {
			return nil, err
		}
	}
	return s, s.validate()
}

// parseFile reads a settings file. An error of a line names the file, the line and the setting.
func parseFile(parser *flags.Parser, path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	err = flags.NewIniParser(parser).Parse(bytes.NewReader(content))
	var invalid *flags.IniError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &invalid):
		return fmt.Errorf("read settings: %s: %w", path, err)
	}
	lines := strings.Split(string(content), "\n")
	name, value, _ := strings.Cut(lines[min(max(int(invalid.LineNumber), 1), len(lines))-1], "=")
	return fmt.Errorf("read settings: %s:%d: %s: %q: %s", path, invalid.LineNumber, strings.TrimSpace(name), strings.TrimSpace(value), invalid.Message)
}

func (s *Settings) validate() error {
	for name, value := range map[string]string{"name": s.Name, "zone": s.Zone} {
		if strings.TrimSpace(value) == "" {
			return setting.NewError(s.File, name, value, "a name")
		}
	}
	for name, value := range map[string]string{
		"packet-address": s.PacketAddress, "ready-address": s.ReadyAddress,
		"admin-address": s.AdminAddress, "store-address": s.StoreAddress,
	} {
		if err := setting.CheckAddress(s.File, name, value); err != nil {
			return err
		}
	}
	if _, err := s.seedAddresses(); err != nil {
		return err
	}
	if s.LogLines < 1 || s.LogLines > 100_000 {
		return setting.NewError(s.File, "log-lines", fmt.Sprint(s.LogLines), "1 to 100000")
	}
	return nil
}

// settingsNeedingRestart returns the names of the settings that differ and that a running daemon
// cannot change.
func (s *Settings) settingsNeedingRestart(next *Settings) []string {
	var names []string
	a, b := reflect.ValueOf(*s), reflect.ValueOf(*next)
	for i := range a.NumField() {
		field := a.Type().Field(i)
		switch field.Name {
		case "LogLevel", "GraceSeconds", "Seeds", "StoreAddress", "ConfigurationBound", "DrainBound", "ColdOverage", "ColdSlack", "UpstreamHeartbeat":
			continue
		case "EvacuationBound":
			if s.readsEvacuations() == next.readsEvacuations() {
				continue
			}
		}
		if !a.Field(i).Equal(b.Field(i)) {
			names = append(names, field.Tag.Get("long"))
		}
	}
	return names
}

func (s *Settings) logLevel() zerolog.Level {
	logLevel, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		// validate has refused any value that is no level.
		return zerolog.InfoLevel
	}
	return logLevel
}

// statedBoundMs returns the shortest of the times in milliseconds in which changes must be in force.
func (s *Settings) statedBoundMs() float64 {
	shortest := min(s.ConfigurationBound.or(defaultBoundMs), s.DrainBound.or(defaultBoundMs))
	return min(shortest, s.EvacuationBound.or(shortest))
}

// propagationBound returns the time in which this daemon aims to have every change in force.
func (s *Settings) propagationBound() time.Duration {
	return max(durationOf(s.statedBoundMs(), time.Millisecond, longestPropagationBound), shortestPropagationBound)
}

// readsEvacuations reports whether evacuations of zones are synchronised.
func (s *Settings) readsEvacuations() bool { return s.EvacuationBound.isInForce }

// coldOverage and coldSlack return by how much cold upstreams may exceed the cold rate of their service.
func (s *Settings) coldOverage() float64 { return s.ColdOverage.or(defaultColdOverage) }
func (s *Settings) coldSlack() float64   { return s.ColdSlack.or(defaultColdSlack) }

// storeAddress returns the address of the store of validated settings.
func (s *Settings) storeAddress() netip.AddrPort { return netip.MustParseAddrPort(s.StoreAddress) }

// seedAddresses returns the IP addresses of the seeds, or a *setting.Error.
func (s *Settings) seedAddresses() ([]netip.Addr, error) {
	var seeds []netip.Addr
	for _, list := range s.Seeds {
		for value := range strings.SplitSeq(list, ",") {
			if value = strings.TrimSpace(value); value == "" {
				continue
			}
			address, err := netip.ParseAddrPort(value)
			if err != nil || !address.Addr().Is4() {
				return nil, setting.NewError(s.File, "seeds", value, "IPv4 addresses with ports, separated by commas")
			}
			seeds = append(seeds, address.Addr())
		}
	}
	return seeds, nil
}

func (s *Settings) gracePeriod() time.Duration {
	return durationOf(s.GraceSeconds.or(defaultGraceSeconds), time.Second, longestGracePeriod)
}
