package edge

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/internal/setting"
)

const validSettings = `name = front-1
zone = schuur
packet-address = 127.50.0.1:7701
ready-address = 127.50.0.1:7702
admin-address = 127.50.0.1:7703
store-address = 127.50.9.1:7704
seeds = 127.50.0.1:1,127.50.0.2:1
`

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.ini")
	NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// Guards against a daemon that starts with unusable settings, and against error messages that do
// not name the invalid setting.
func TestBadSettings(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"name = front-1", "name =", "name"},
		{"127.50.0.1:7701", "127.50.0.1", "packet-address"},
		{"127.50.0.1:7702", "[::1]:7702", "ready-address"},
		{"127.50.0.1:1,", "nowhere,", "seeds"},
		{"zone = schuur", "zone = schuur\ngrace-seconds = -1", "grace-seconds"},
		{"zone = schuur", "zone = schuur\ndrain-bound-ms = -10", "drain-bound-ms"},
		{"zone = schuur", "zone = schuur\nlog-lines = 0", "log-lines"},
		{"zone = schuur", "zone = schuur\nlog-lines = 2.5", "settings.ini:3: log-lines"},
		{"zone = schuur", "zone = schuur\ncold-overage = -0.5", "cold-overage"},
		{"zone = schuur", "zone = schuur\ncold-overage = NaN", "cold-overage"},
		{"zone = schuur", "zone = schuur\ncold-slack = +Inf", "cold-slack"},
		{"zone = schuur", "zone = schuur\ncold-slack = -1000001", "cold-slack"},
		{"zone = schuur", "zone = schuur\nlog-level = loud", "log-level"},
		{"zone = schuur", "zone = schuur\nplacement = random", "placement"},
		{"zone = schuur", "zone = schuur\nnew-setting = 1", "new-setting"},
	} {
		t.Run(c.to, func(t *testing.T) {
			g := NewWithT(t)
			path := writeSettings(t, strings.Replace(validSettings, c.from, c.to, 1))
			_, err := ParseSettings([]string{"--settings-file", path})
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			var refused *setting.Error
			if errors.As(err, &refused) {
				g.Expect(refused.File).To(Equal(path))
			}
		})
	}
}

// Guards against a settings file that overrides the command line.
func TestFlagsOverrideTheFile(t *testing.T) {
	g := NewWithT(t)
	path := writeSettings(t, validSettings)
	s, err := ParseSettings([]string{"--settings-file", path, "--zone", "winkel"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Zone).To(Equal("winkel"))
	g.Expect(s.Name).To(Equal("front-1"))
	seeds, err := s.seedAddresses()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seeds).To(HaveLen(2))
	_, err = ParseSettings([]string{"--settings-file", filepath.Join(t.TempDir(), "absent")})
	g.Expect(err).To(MatchError(os.ErrNotExist))
}

// Guards against a template with names that the program does not accept: the deployment would not
// start.
func TestTemplateNamesKnownSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := parseRendered(t, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.seedAddresses()).To(HaveLen(2))
	g.Expect(s.propagationBound()).To(Equal(3 * time.Second))
	g.Expect(s.gracePeriod()).To(Equal(6 * time.Second))
	g.Expect(s.readsEvacuations()).To(BeTrue())
	g.Expect(s.coldOverage()).To(Equal(1.5))
	g.Expect(s.coldSlack()).To(Equal(5.0))
}

// Guards against a changed address that is reported as applied although it needs a restart.
func TestSettingsNeedingRestart(t *testing.T) {
	g := NewWithT(t)
	a, err := ParseSettings([]string{"--settings-file", writeSettings(t, validSettings)})
	g.Expect(err).NotTo(HaveOccurred())
	b := *a
	b.LogLevel, b.GraceSeconds, b.Seeds = "warn", figureOf(9), nil
	g.Expect(a.settingsNeedingRestart(&b)).To(BeEmpty())
	b.PacketAddress = "127.50.0.1:9"
	g.Expect(a.settingsNeedingRestart(&b)).To(ConsistOf("packet-address"))
}
