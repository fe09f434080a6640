package daemon_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// Guards against a fault whose message does not say what was read, where and what is allowed,
// that takes more than one line, or that changes something.
func TestBadInput(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		for line, want := range map[string]string{
			"":                                   `column 1 of "": the line is empty; allowed: show services, `,
			"dance":                              `column 1 of "dance": the first word begins neither a query nor a command; allowed: show services, `,
			"show upstrams":                      `column 6 of "show upstrams": word "upstrams" does not belong here; allowed: show services, `,
			"show drain of":                      `column 14 of "show drain of": the line ends where a word is missing; allowed: show drain of UPSTREAM`,
			"show services now":                  `column 15 of "show services now": word "now" does not belong here; allowed: show services`,
			"show upstreams of binder":           `column 19 of "show upstreams of binder": service "binder" is not declared; allowed: bindery, galerij`,
			"show drain of bindery":              `column 15 of "show drain of bindery": upstream "bindery" is not declared; allowed: bindery-1, `,
			"show route of 127.9.0.1 to bindery": `column 15 of "show route of 127.9.0.1 to bindery": "127.9.0.1" is not an IPv4 address; allowed: IP:PORT, `,
			"show flows of me":                   `column 15 of "show flows of me": "me" is not an IPv4 address; allowed: IP:PORT, as 192.0.2.1:40000, IP, as 192.0.2.1`,
			"drain upstream":                     `column 15 of "drain upstream": the line ends where a word is missing; allowed: drain upstream NAME`,
			"drain upstream bindery-99":          `column 16 of "drain upstream bindery-99": upstream is not declared: "bindery-99"; allowed: bindery-1, `,
			"drain daemon schuur-9":              `column 14 of "drain daemon schuur-9": daemon is not declared: "schuur-9"; allowed: schuur-1, `,
			"set aim of bindery speed":           `column 20 of "set aim of bindery speed": word "speed" does not belong here; allowed: set aim of SERVICE connections|balance`,
			"set limit of galerij idle-ms many":  `column 30 of "set limit of galerij idle-ms many": idle-ms "many": not a whole number from 0 to 4294967295`,
			"remove upstream bindery-1":          `column 17 of "remove upstream bindery-1": upstream is not draining: "bindery-1"; allowed: drain the upstream first, `,
			"abort c-1":                          `column 7 of "abort c-1": change id is not among the changes in the store: "c-1"; allowed: apply-1`,
		} {
			r := c.run("schuur-1", line, "bad-"+line)
			text := strings.Join(r.GetErrors(), "\n")
			if text == "" {
				text = r.GetReason()
			}
			c.Expect(text).To(HavePrefix(want), line)
			c.Expect(text).NotTo(ContainSubstring("\n"))
			c.Expect(r.GetOutcome()).To(BeElementOf(pb.Outcome_OUTCOME_UNSPECIFIED, pb.Outcome_OUTCOME_REFUSED))
			c.Expect(r.GetBasis().GetGeneration()).To(Equal(uint64(1)))
		}
	})
}
