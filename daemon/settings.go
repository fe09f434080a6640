package daemon

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/fulmarfield/fulmarfield/internal/setting"
	"github.com/fulmarfield/fulmarfield/membership"
)

// minKeyBytes is the minimum length of the cluster key and of the operator token: 128 bits, the
// length of the MACs that are computed with the key.
const minKeyBytes = 16

// Settings are the flags and environment variables of the daemon.
type Settings struct {
	Name string `long:"name" env:"FULMAR_NAME" required:"true" description:"name of this daemon, unique in the deployment"`
	Zone string `long:"zone" env:"FULMAR_ZONE" required:"true" description:"availability zone of this VM"`

	DataAddress     string `long:"data-address" env:"FULMAR_DATA_ADDRESS" required:"true" description:"IP:port that the fabric sends packets to (UDP)"`
	PeerAddress     string `long:"peer-address" env:"FULMAR_PEER_ADDRESS" required:"true" description:"IP:port for datagrams of other daemons (UDP)"`
	ControlAddress  string `long:"control-address" env:"FULMAR_CONTROL_ADDRESS" required:"true" description:"IP:port for calls of other daemons (TCP)"`
	AdminAddress    string `long:"admin-address" env:"FULMAR_ADMIN_ADDRESS" default:"127.0.0.1:7003" description:"IP:port of health checks and metrics (TCP)"`
	OperatorAddress string `long:"operator-address" env:"FULMAR_OPERATOR_ADDRESS" default:"127.0.0.1:7004" description:"IP:port of the operators' interface (TCP); loopback only without a token or client certificates"`

	AdvertisePeerAddress    string `long:"advertise-peer-address" env:"FULMAR_ADVERTISE_PEER_ADDRESS" description:"IP:port that other daemons use instead of the peer address"`
	AdvertiseControlAddress string `long:"advertise-control-address" env:"FULMAR_ADVERTISE_CONTROL_ADDRESS" description:"IP:port that other daemons use instead of the control address"`

	Platform string   `long:"platform" env:"FULMAR_PLATFORM" required:"true" description:"IP:port of the platform's object store and VM list (HTTP)"`
	Peers    []string `long:"peers" env:"FULMAR_PEERS" env-delim:"," description:"control IP:port of another daemon to join when the VM list is not available; may be repeated"`

	KeyFile           string `long:"key-file" env:"FULMAR_KEY_FILE" required:"true" description:"file with the key shared by all daemons, at least 16 bytes"`
	OperatorTokenFile string `long:"operator-token-file" env:"FULMAR_OPERATOR_TOKEN_FILE" description:"file with the token that operators must send"`
	TLSCertificate    string `long:"tls-certificate" env:"FULMAR_TLS_CERTIFICATE" description:"PEM file of the operators' interface"`
	TLSKey            string `long:"tls-key" env:"FULMAR_TLS_KEY" description:"PEM file of the certificate's key"`
	TLSClientCA       string `long:"tls-client-ca" env:"FULMAR_TLS_CLIENT_CA" description:"PEM file of the authority of operators' client certificates"`

	LogLevel        string `long:"log-level" env:"FULMAR_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
	LogFormat       string `long:"log-format" env:"FULMAR_LOG_FORMAT" default:"json" choice:"json" choice:"console" description:"format of log lines"`
	ShutdownSeconds int    `long:"shutdown-seconds" env:"FULMAR_SHUTDOWN_SECONDS" default:"30" description:"longest graceful shutdown in seconds, 1 to 3600"`
}

// ParseSettings reads the settings from flags and environment variables and checks them. It returns
// setting.ErrHelp, a *setting.Error, or an error of the flag parser.
func ParseSettings(args []string) (*Settings, error) {
	s := &Settings{}
	parser := flags.NewNamedParser("fulmar-balancer", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", s); err != nil {
		return nil, fmt.Errorf("define settings: %w", err)
	}
	if err := setting.ParseFlags(parser, args); err != nil {
		return nil, err
	}
	return s, s.setDefaultsAndCheck()
}

// setDefaultsAndCheck sets defaults that depend on other settings and returns a *setting.Error for an invalid value.
func (s *Settings) setDefaultsAndCheck() error {
	if s.AdvertisePeerAddress == "" {
		s.AdvertisePeerAddress = s.PeerAddress
	}
	if s.AdvertiseControlAddress == "" {
		s.AdvertiseControlAddress = s.ControlAddress
	}
	addresses := []struct{ flag, value string }{
		{"data-address", s.DataAddress}, {"peer-address", s.PeerAddress},
		{"control-address", s.ControlAddress}, {"admin-address", s.AdminAddress},
		{"operator-address", s.OperatorAddress}, {"platform", s.Platform},
		{"advertise-peer-address", s.AdvertisePeerAddress},
		{"advertise-control-address", s.AdvertiseControlAddress},
	}
	for _, a := range addresses {
		if err := setting.CheckAddress("", a.flag, a.value); err != nil {
			return err
		}
	}
	for _, p := range s.Peers {
		if err := setting.CheckAddress("", "peers", p); err != nil {
			return err
		}
	}
	if s.ShutdownSeconds < 1 || s.ShutdownSeconds > 3600 {
		return setting.NewError("", "shutdown-seconds", fmt.Sprint(s.ShutdownSeconds), "1 to 3600 seconds")
	}
	return s.checkAccess()
}

// checkAccess returns an error for inconsistent TLS settings and for an operators' interface that is
// reachable from the network without a credential.
func (s *Settings) checkAccess() error {
	if (s.TLSCertificate == "") != (s.TLSKey == "") {
		return setting.NewError("", "tls-key", s.TLSKey, "a file when tls-certificate is set, and only then")
	}
	if s.TLSClientCA != "" && s.TLSCertificate == "" {
		return setting.NewError("", "tls-client-ca", s.TLSClientCA, "only together with tls-certificate")
	}
	addr := netip.MustParseAddrPort(s.OperatorAddress)
	if !addr.Addr().IsLoopback() && s.OperatorTokenFile == "" && s.TLSClientCA == "" {
		return setting.NewError("", "operator-address", s.OperatorAddress,
			"a loopback address unless operator-token-file or tls-client-ca is set")
	}
	return nil
}

// ClusterKey reads the key file. It returns a *setting.Error for an unreadable file or a key that is
// too short.
func (s *Settings) ClusterKey() ([]byte, error) {
	key, err := readSecret("key-file", s.KeyFile)
	if err != nil {
		return nil, err
	}
	if len(key) < minKeyBytes {
		return nil, setting.NewError("", "key-file", s.KeyFile, fmt.Sprintf("a file with at least %d bytes", minKeyBytes))
	}
	return key, nil
}

// OperatorToken reads the token file; it returns "" if none is set.
func (s *Settings) OperatorToken() (string, error) {
	if s.OperatorTokenFile == "" {
		return "", nil
	}
	token, err := readSecret("operator-token-file", s.OperatorTokenFile)
	if err != nil {
		return "", err
	}
	if len(token) < minKeyBytes {
		return "", setting.NewError("", "operator-token-file", s.OperatorTokenFile,
			fmt.Sprintf("a file with at least %d bytes", minKeyBytes))
	}
	return string(token), nil
}

// readSecret returns the content of a file without surrounding white space.
func readSecret(flag, path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, setting.NewError("", flag, path, "a readable file: "+err.Error())
	}
	return []byte(strings.TrimSpace(string(data))), nil
}

// Self returns this daemon as the member that it announces to others.
func (s *Settings) Self(incarnation uint64) membership.Member {
	return membership.Member{
		ID:             membership.DaemonID(s.Name),
		Zone:           s.Zone,
		PeerAddress:    netip.MustParseAddrPort(s.AdvertisePeerAddress),
		ControlAddress: netip.MustParseAddrPort(s.AdvertiseControlAddress),
		Incarnation:    incarnation,
	}
}

// Logger returns a logger with the name, the level and the format of the settings.
func (s *Settings) Logger() zerolog.Logger {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	if s.LogFormat == "console" {
		return setting.NewLogger(zerolog.ConsoleWriter{Out: os.Stderr}, s.Name, level)
	}
	return setting.NewLogger(os.Stderr, s.Name, level)
}
