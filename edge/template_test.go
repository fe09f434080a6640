package edge

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// settingsTemplate is the template from which the platform writes the settings files of the deployments.
const settingsTemplate = "../deploy/settings.ini.template"

// platformFields are the fields that the template names, as the platform fills them in. A field without a value is
// missing.
var platformFields = map[string]string{
	"node": "front-schuur-1", "zone": "schuur", "ip": "127.51.0.71", "internal_ports.0": "7720",
	"listen.datagram_addr": "127.51.0.71:8172", "listen.ready": "127.51.0.71:8167", "platform.address": "127.51.9.1:8169",
	"seeds": "127.51.0.71:8166,127.51.0.72:8166", "bounds.grace_s": "6", "bounds.config_apply_ms": "3000",
	"bounds.drain_ms": "3000", "bounds.evacuate_ms": "5000", "bounds.cold_overage": "1.5", "bounds.cold_slack": "5",
}

// boundSettings are the settings that the template fills in with the figure of a bound.
var boundSettings = map[string]string{
	"bounds.grace_s": "grace-seconds", "bounds.config_apply_ms": "configuration-bound-ms", "bounds.drain_ms": "drain-bound-ms",
	"bounds.evacuate_ms": "evacuation-bound-ms", "bounds.cold_overage": "cold-overage", "bounds.cold_slack": "cold-slack",
}

var (
	templateSection     = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/[a-z0-9_.]+\}\}`)
	templatePlaceholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// renderSettings fills in the template with platformFields, of which some are replaced. A section is left out if its
// field is missing or false.
func renderSettings(t *testing.T, replaced map[string]string) string {
	template, err := os.ReadFile(settingsTemplate)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	fields := maps.Clone(platformFields)
	maps.Copy(fields, replaced)
	filled := templateSection.ReplaceAllStringFunc(string(template), func(section string) string {
		m := templateSection.FindStringSubmatch(section)
		value := fields[m[1]]
		if value == "" || value == "false" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	return templatePlaceholder.ReplaceAllStringFunc(filled, func(placeholder string) string {
		return fields[templatePlaceholder.FindStringSubmatch(placeholder)[1]]
	})
}

// parseRendered parses the settings that the template yields.
func parseRendered(t *testing.T, replaced map[string]string) (*Settings, error) {
	return ParseSettings([]string{"--settings-file", writeSettings(t, renderSettings(t, replaced))})
}

// Guards against a daemon that does not start because a bound is a fraction, small, large, missing, true or false
// (review/12): the platform's pages allow each of these.
func TestStartWithAnyFigureOfBounds(t *testing.T) {
	for field, name := range boundSettings {
		for _, figure := range []string{
			"", "false", "true", "0", "0.0", "1", "0.001", "10", "499.9", "2500.5", "3000.0", "90000", "600001", "1e3", "1e+21",
			"9007199254740993", "123456789012345678901234567890", "1.7976931348623157e+308", "1e400",
		} {
			t.Run(fmt.Sprintf("%s/%s", name, figure), func(t *testing.T) {
				_, err := parseRendered(t, map[string]string{field: figure})
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
			})
		}
	}
}

// Guards against a daemon that starts without a name, a zone or an address that it cannot do without, and against messages
// that do not name the setting.
func TestRefuseMissingFields(t *testing.T) {
	for field, name := range map[string]string{
		"node": "name", "zone": "zone", "ip": "admin-address", "internal_ports.0": "admin-address", "listen.datagram_addr": "packet-address",
		"listen.ready": "ready-address", "platform.address": "store-address",
	} {
		for _, value := range []string{"", "  "} {
			_, err := parseRendered(t, map[string]string{field: value})
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(name)), field)
		}
	}
}

// Guards against figures that are accepted but lost: cut off, exceeded or overflowing.
func TestTimesOfFigures(t *testing.T) {
	const config, drain, evacuation = "bounds.config_apply_ms", "bounds.drain_ms", "bounds.evacuate_ms"
	for _, c := range []struct {
		config, drain, evacuation string
		want                      time.Duration
	}{
		{"3000", "2500.5", "", 2500500 * time.Microsecond},
		{"750.25", "2500.5", "", 750250 * time.Microsecond},
		{"3000", "3000", "1e3", time.Second},
		{"", "", "", defaultBoundMs * time.Millisecond},
		{"true", "false", "true", defaultBoundMs * time.Millisecond},
		{"9000", "true", "", defaultBoundMs * time.Millisecond},
		{"90000", "9000.5", "", 9000500 * time.Microsecond},
		{"10", "3000", "", shortestPropagationBound},
		{"3000", "3000", "0", shortestPropagationBound},
		{"90000", "90000", "", longestPropagationBound},
		{"1e400", "123456789012345678901234567890", "1e+21", longestPropagationBound},
	} {
		g := NewWithT(t)
		s, err := parseRendered(t, map[string]string{config: c.config, drain: c.drain, evacuation: c.evacuation})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.propagationBound()).To(Equal(c.want), "%+v", c)
		g.Expect(s.readsEvacuations()).To(Equal(c.evacuation != ""), "%+v", c)
	}
	for figure, want := range map[string]time.Duration{
		"": defaultGraceSeconds * time.Second, "true": defaultGraceSeconds * time.Second, "0": 0, "0.25": 250 * time.Millisecond,
		"600001": longestGracePeriod, "1e400": longestGracePeriod, "3600": time.Hour,
	} {
		g := NewWithT(t)
		s, err := parseRendered(t, map[string]string{"bounds.grace_s": figure})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.gracePeriod()).To(Equal(want), figure)
	}
}

// Guards against figures with which a daemon starts but does not run: it has to become ready, and to end when it is told
// to.
func TestServeWithExtremeFigures(t *testing.T) {
	for i, figure := range []string{"0", "0.001", "1.7976931348623157e+308", "true"} {
		t.Run(figure, func(t *testing.T) {
			g := NewWithT(t)
			s, address := startStore(t)
			s.Put("servers", "i-b1", map[string]any{
				"service": "bindery", "address": "127.51.2.1:9000", "zone": "zone", "slots": 2, "state": "ready", "cold_remaining_ms": 1000, "seq": 1, "born": 1,
			})
			s.Put("config", "main", configuration(3))
			ip := fmt.Sprintf("127.51.0.%d", 72+i)
			fields := map[string]string{
				"ip": ip, "internal_ports.0": "7703", "listen.datagram_addr": ip + ":7701", "listen.ready": ip + ":7702", "platform.address": address,
			}
			for field := range boundSettings {
				fields[field] = figure
			}
			command, _ := startProcess(t, writeSettings(t, renderSettings(t, fields)))
			waitUntilReady(g, ip)
			g.Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
			g.Expect(command.Wait()).To(Succeed())
		})
	}
}

// Guards against a daemon that does not start because the platform names no other daemon.
func TestStartWithoutSeeds(t *testing.T) {
	g := NewWithT(t)
	s, err := parseRendered(t, map[string]string{"seeds": ""})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.seedAddresses()).To(BeEmpty())
}

// Guards against figures without a meaning that are used nonetheless, and against messages that do not name the setting.
func TestRefuseFiguresWithoutMeaning(t *testing.T) {
	for field, name := range boundSettings {
		for _, figure := range []string{"NaN", "nan", "-1", "-0.5", "-1e400", "inf", "+Inf", "-Inf", "soon", "3000 ms", "1,5", "0x"} {
			t.Run(fmt.Sprintf("%s/%s", name, figure), func(t *testing.T) {
				_, err := parseRendered(t, map[string]string{field: figure})
				NewWithT(t).Expect(err).To(MatchError(ContainSubstring(name)))
			})
		}
	}
}
