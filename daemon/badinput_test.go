package daemon_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// Guards against an invalid line whose error text lacks the rejected word, its column or what is
// allowed, that has an error text of several lines, or that changes the configuration.
func TestBadInput(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		for line, want := range map[string]string{
			"":                                        `column 1 of "": the line is empty; allowed: show services, `,
			"dance":                                   `column 1 of "dance": the first word begins neither a query nor a command; allowed: show services, `,
			"show upstrams":                           `column 6 of "show upstrams": word "upstrams" does not belong here; allowed: show services, `,
			"show drain of":                           `column 14 of "show drain of": the line ends where a word is missing; allowed: show drain of UPSTREAM`,
			"show services now":                       `column 15 of "show services now": word "now" does not belong here; allowed: show services`,
			"show upstreams of binder":                `column 19 of "show upstreams of binder": service "binder" is not declared; allowed: bindery, galerij`,
			"show drain of bindery":                   `column 15 of "show drain of bindery": upstream "bindery" is not declared; allowed: bindery-1, `,
			"show route of 127.9.0.1 to bindery":      `column 15 of "show route of 127.9.0.1 to bindery": "127.9.0.1" is not an IPv4 address; allowed: IP:PORT, `,
			"show flows of me":                        `column 15 of "show flows of me": "me" is not an IPv4 address; allowed: IP:PORT, as 192.0.2.1:40000, IP, as 192.0.2.1`,
			"drain upstream":                          `column 15 of "drain upstream": the line ends where a word is missing; allowed: drain upstream NAME`,
			"drain upstream bindery-99":               `column 16 of "drain upstream bindery-99": upstream is not declared: "bindery-99"; allowed: bindery-1, `,
			"drain daemon schuur-9":                   `column 14 of "drain daemon schuur-9": daemon is not declared: "schuur-9"; allowed: schuur-1, `,
			"set aim of bindery speed":                `column 20 of "set aim of bindery speed": word "speed" does not belong here; allowed: set aim of SERVICE connections|balance`,
			"set limit of galerij idle-ms many":       `column 30 of "set limit of galerij idle-ms many": idle-ms "many": not a whole number from 0 to 4294967295`,
			"remove upstream bindery-1":               `column 17 of "remove upstream bindery-1": upstream is not draining: "bindery-1"; allowed: drain the upstream first, `,
			`show upstreams of`:                       `column 18 of "show upstreams of": the line ends where a word is missing; allowed: show upstreams [of SERVICE]`,
			`show connections of binder`:              `column 21 of "show connections of binder": service "binder" is not declared; allowed: bindery, galerij`,
			`show connections at bindery`:             `column 18 of "show connections at bindery": word "at" does not belong here; allowed: show connections [of SERVICE]`,
			`show daemons of schuur`:                  `column 14 of "show daemons of schuur": word "of" does not belong here; allowed: show daemons`,
			`show flows`:                              `column 11 of "show flows": the line ends where a word is missing; allowed: show flows of IP[:PORT]`,
			`show route of 127.9.0.1:40000`:           `column 30 of "show route of 127.9.0.1:40000": the line ends where a word is missing; allowed: show route of IP:PORT to SERVICE`,
			`show route of 127.9.0.1:40000 to binder`: `column 34 of "show route of 127.9.0.1:40000 to binder": service "binder" is not declared; allowed: bindery, galerij`,
			`show refusals of bindery`:                `column 15 of "show refusals of bindery": word "of" does not belong here; allowed: show refusals`,
			`show retries now`:                        `column 14 of "show retries now": word "now" does not belong here; allowed: show retries`,
			`show drops now`:                          `column 12 of "show drops now": word "now" does not belong here; allowed: show drops`,
			`show history of bindery`:                 `column 14 of "show history of bindery": word "of" does not belong here; allowed: show history`,
			`show change`:                             `column 12 of "show change": the line ends where a word is missing; allowed: show change CHANGE-ID`,
			`add upstream`:                            `column 13 of "add upstream": the line ends where a word is missing; allowed: add upstream NAME to SERVICE zone ZONE address IP:PORT slots N [weight N]`,
			`add upstream new to galerij zone schuur address 127.1.1.90:9000 slots 2 wait 3`:       `column 73 of "add upstream new to galerij zone schuur address 127.1.1.90:9000 slots 2 wait 3": word "wait" does not belong here; allowed: add upstream NAME to SERVICE zone ZONE address IP:PORT slots N [weight N]`,
			`add upstream galerij-1 to galerij zone schuur address 127.1.1.90:9000 slots 2`:        `column 14 of "add upstream galerij-1 to galerij zone schuur address 127.1.1.90:9000 slots 2": name is already declared: "galerij-1" in service galerij`,
			`add upstream new to galeri zone schuur address 127.1.1.90:9000 slots 2`:               `column 21 of "add upstream new to galeri zone schuur address 127.1.1.90:9000 slots 2": service is not declared: "galeri"; allowed: bindery, galerij`,
			`add upstream new to galerij zone schur address 127.1.1.90:9000 slots 2`:               `column 34 of "add upstream new to galerij zone schur address 127.1.1.90:9000 slots 2": zone is not declared: "schur"; allowed: schuur, droogvloer, winkel`,
			`add upstream new to galerij zone schuur address 127.1.1.90 slots 2`:                   `column 49 of "add upstream new to galerij zone schuur address 127.1.1.90 slots 2": address "127.1.1.90": value is not allowed, allowed IP:PORT`,
			`add upstream new to galerij zone schuur address 127.1.1.51:9000 slots 2`:              `column 49 of "add upstream new to galerij zone schuur address 127.1.1.51:9000 slots 2": address is already declared: "127.1.1.51:9000" of upstream bindery-1`,
			`add upstream new to galerij zone schuur address 127.2.1.1:8001 slots 2`:               `column 49 of "add upstream new to galerij zone schuur address 127.2.1.1:8001 slots 2": address is already declared: "127.2.1.1:8001" of service bindery`,
			`add upstream new to galerij zone schuur address 127.1.1.90:9000 slots none`:           `column 71 of "add upstream new to galerij zone schuur address 127.1.1.90:9000 slots none": slots "none": not a whole number from 0 to 4294967295`,
			`add upstream new to galerij zone schuur address 127.1.1.90:9000 slots 0`:              `column 71 of "add upstream new to galerij zone schuur address 127.1.1.90:9000 slots 0": value is not allowed: slots "0", allowed 1 to 10000`,
			`add upstream new to galerij zone schuur address 127.1.1.90:9000 slots 2 weight x`:     `column 80 of "add upstream new to galerij zone schuur address 127.1.1.90:9000 slots 2 weight x": weight "x": not a whole number from 0 to 4294967295`,
			`add upstream new to galerij zone schuur address 127.1.1.90:9000 slots 2 weight 99999`: `column 80 of "add upstream new to galerij zone schuur address 127.1.1.90:9000 slots 2 weight 99999": value is not allowed: weight "99999", allowed 1 to `,
			`undrain upstream bindery-99`:               `column 18 of "undrain upstream bindery-99": upstream is not declared: "bindery-99"; allowed: bindery-1, `,
			`undrain service bindery`:                   `column 9 of "undrain service bindery": word "service" does not belong here; allowed: undrain upstream NAME, undrain daemon NAME`,
			`undrain daemon`:                            `column 15 of "undrain daemon": the line ends where a word is missing; allowed: undrain daemon NAME`,
			`undrain daemon schuur-9`:                   `column 16 of "undrain daemon schuur-9": daemon is not declared: "schuur-9"; allowed: schuur-1, `,
			`remove upstream`:                           `column 16 of "remove upstream": the line ends where a word is missing; allowed: remove upstream NAME [force]`,
			`remove upstream bindery-99`:                `column 17 of "remove upstream bindery-99": upstream is not declared: "bindery-99"; allowed: bindery-1, `,
			`remove upstream bindery-1 now`:             `column 27 of "remove upstream bindery-1 now": word "now" does not belong here; allowed: remove upstream NAME [force]`,
			`drain daemon`:                              `column 13 of "drain daemon": the line ends where a word is missing; allowed: drain daemon NAME`,
			`set aim of bindery`:                        `column 19 of "set aim of bindery": the line ends where a word is missing; allowed: set aim of SERVICE connections|balance`,
			`set aim bindery balance`:                   `column 9 of "set aim bindery balance": word "bindery" does not belong here; allowed: set aim of SERVICE connections|balance`,
			`set limit of bindery speed 3`:              `column 22 of "set limit of bindery speed 3": word "speed" does not belong here; allowed: set limit of SERVICE queue-length|retry-percent|idle-ms|drain-ms|load-bound-percent N`,
			`set limit of binder idle-ms 3`:             `column 14 of "set limit of binder idle-ms 3": service is not declared: "binder"; allowed: bindery, galerij`,
			`set limit of bindery idle-ms`:              `column 29 of "set limit of bindery idle-ms": the line ends where a word is missing; allowed: set limit of SERVICE queue-length|retry-percent|idle-ms|drain-ms|load-bound-percent N`,
			`set limit of bindery retry-percent 400`:    `column 36 of "set limit of bindery retry-percent 400": value is not allowed: retry_percent "400", allowed 1 to 100, or 0 for the default`,
			`set limit of bindery queue-length 4000000`: `column 35 of "set limit of bindery queue-length 4000000": value is not allowed: queue_length "4000000", allowed 1 to `,
			`set limit of bindery load-bound-percent 1`: `column 41 of "set limit of bindery load-bound-percent 1": value is not allowed: load_bound_percent "1", allowed `,
			`set limit of bindery idle-ms 1`:            `column 30 of "set limit of bindery idle-ms 1": value is not allowed: idle_limit "1" ms, allowed `,
			`set limit of bindery drain-ms 1`:           `column 31 of "set limit of bindery drain-ms 1": value is not allowed: drain_limit "1" ms, allowed `,
			`abort`:                                     `column 6 of "abort": the line ends where a word is missing; allowed: abort CHANGE-ID`,
			`abort apply-1`:                             `column 7 of "abort apply-1": change began no drain that is still going on: "apply-1"`,
			"abort c-1":                                 `column 7 of "abort c-1": change id is not among the changes in the store: "c-1"; allowed: apply-1`,
		} {
			r := c.runLine("schuur-1", line, "bad-"+line)
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
