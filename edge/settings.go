package edge

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/internal/setting"
)

// Settings are set by flags, environment variables, or lines of the settings file. Flags take
// precedence over the file.
type Settings struct {
	File string `long:"settings-file" env:"FULMARFIELD_CONFIG" no-ini:"true" description:"file with settings, one NAME = VALUE a line"`

	Name          string `long:"name" env:"FULMAR_NAME" description:"name of this daemon, unique in the deployment"`
	Zone          string `long:"zone" env:"FULMAR_ZONE" description:"availability zone of this VM"`
	PacketAddress string `long:"packet-address" env:"FULMAR_PACKET_ADDRESS" description:"IP:port that routers send packets to (UDP); callers get resets at the same port"`
	ReadyAddress  string `long:"ready-address" env:"FULMAR_READY_ADDRESS" description:"IP:port of the readiness check for routers (TCP)"`
	AdminAddress  string `long:"admin-address" env:"FULMAR_ADMIN_ADDRESS" description:"IP:port for other daemons (TCP and UDP) and metrics"`
	StoreAddress  string `long:"store-address" env:"FULMAR_STORE_ADDRESS" description:"IP:port of the metadata store (HTTP)"`

	Seeds []string `long:"seeds" env:"FULMAR_SEEDS" env-delim:"," description:"IP:port lists of other daemons, separated by commas; they may be outdated, and the port is not used"`

	ConfigurationBound int `long:"configuration-bound-ms" env:"FULMAR_CONFIGURATION_BOUND_MS" default:"3000" description:"time in which an acknowledged configuration is in force, 500 to 60000 ms"`
	DrainBound         int `long:"drain-bound-ms" env:"FULMAR_DRAIN_BOUND_MS" default:"3000" description:"time after which a draining upstream gets no new flow, 500 to 60000 ms"`
	EvacuationBound    int `long:"evacuation-bound-ms" env:"FULMAR_EVACUATION_BOUND_MS" default:"0" description:"time after which an evacuated zone gets no new flow, 500 to 60000 ms; 0: evacuations are not read"`

	ColdOverage float64 `long:"cold-overage" env:"FULMAR_COLD_OVERAGE" default:"1" description:"factor by which cold upstreams may receive more opening packets than the cold rate of their service, 0 to 1000000"`
	ColdSlack   float64 `long:"cold-slack" env:"FULMAR_COLD_SLACK" default:"0" description:"opening packets in any second that cold upstreams may receive in addition, 0 to 1000000"`

	UpstreamHeartbeat int `long:"upstream-heartbeat-ms" env:"FULMAR_UPSTREAM_HEARTBEAT_MS" default:"1200" description:"no effect; settings files of earlier versions have it, 100 to 60000 ms"`

	Admission string `long:"admission" env:"FULMAR_ADMISSION" default:"on" choice:"on" choice:"off" description:"whether new flows wait or are refused under overload, on routes with an objective"`
	Placement string `long:"placement" env:"FULMAR_PLACEMENT" default:"cost" choice:"cost" choice:"load" description:"what new flows follow: expected durations of requests in addition to load, or load alone"`

	GraceSeconds float64 `long:"grace-seconds" env:"FULMAR_GRACE_SECONDS" default:"6" description:"time from the request to end until the process is killed, 1 to 600 s"`
	LogLevel     string  `long:"log-level" env:"FULMAR_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
	LogLines     int     `long:"log-lines" env:"FULMAR_LOG_LINES" default:"50" description:"lines a second on single flows, 1 to 100000; further ones are counted"`
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
		if err := flags.NewIniParser(parser).ParseFile(s.File); err != nil {
			return nil, fmt.Errorf("read settings: %w", err)
		}
		// Flags are parsed again, so that they take precedence over the file.
		if err := setting.ParseFlags(parser, args); err != nil {
			return nil, err
		}
	}
	return s, s.validate()
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
	if err := s.validateBounds(); err != nil {
		return err
	}
	if err := s.validateColdLimit(); err != nil {
		return err
	}
	if s.UpstreamHeartbeat < 100 || s.UpstreamHeartbeat > 60_000 {
		return setting.NewError(s.File, "upstream-heartbeat-ms", fmt.Sprint(s.UpstreamHeartbeat), "100 to 60000")
	}
	if _, err := s.seedAddresses(); err != nil {
		return err
	}
	if s.GraceSeconds < 1 || s.GraceSeconds > 600 {
		return setting.NewError(s.File, "grace-seconds", fmt.Sprint(s.GraceSeconds), "1 to 600")
	}
	if s.LogLines < 1 || s.LogLines > 100_000 {
		return setting.NewError(s.File, "log-lines", fmt.Sprint(s.LogLines), "1 to 100000")
	}
	return nil
}

// validateBounds checks the times in which changes must be in force.
func (s *Settings) validateBounds() error {
	bounds := map[string]int{"configuration-bound-ms": s.ConfigurationBound, "drain-bound-ms": s.DrainBound}
	if s.EvacuationBound != 0 {
		bounds["evacuation-bound-ms"] = s.EvacuationBound
	}
	for name, value := range bounds {
		if value < 500 || value > 60_000 {
			return setting.NewError(s.File, name, fmt.Sprint(value), "500 to 60000")
		}
	}
	return nil
}

// validateColdLimit checks the limit for cold upstreams. It refuses NaN.
func (s *Settings) validateColdLimit() error {
	for name, value := range map[string]float64{"cold-overage": s.ColdOverage, "cold-slack": s.ColdSlack} {
		if !(value >= 0 && value <= 1e6) {
			return setting.NewError(s.File, name, fmt.Sprint(value), "0 to 1000000")
		}
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
		case "LogLevel", "GraceSeconds", "Seeds":
			continue
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

// propagationBound returns the time in which every change must be in force.
func (s *Settings) propagationBound() time.Duration {
	shortest := min(s.ConfigurationBound, s.DrainBound)
	if s.EvacuationBound != 0 {
		shortest = min(shortest, s.EvacuationBound)
	}
	return time.Duration(shortest) * time.Millisecond
}

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
	return time.Duration(s.GraceSeconds * float64(time.Second))
}
