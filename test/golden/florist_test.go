package golden

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// reverseAnswerParts delays the parts of answers so that they arrive in reverse order.
func reverseAnswerParts(_, _ netip.AddrPort, data []byte, delay time.Duration) []time.Duration {
	p, err := wire.DecodePacket(data)
	if err != nil || p.GetKind() != pb.Kind_KIND_ANSWER || p.GetParts() < 2 {
		return []time.Duration{delay}
	}
	// The first part arrives last.
	return []time.Duration{delay + time.Duration(p.GetParts()-p.GetPart())*40*time.Millisecond}
}

// Guards against changes of what callers and operators see while an upstream drains, a daemon is
// killed, the store is unreachable, answers arrive out of order, the store's response to a commit is
// lost, and two operators change the same limit at once.
func TestFloristDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSession(t, "hopkrans-hoeve", 1, "schuur-1", "anna")
		defer s.Close()

		florist := s.open("florist", "bindery")
		photos := s.open("shopper", "galerij")
		florist.request("stock feed", true, 0)
		florist.request("order of 3 wreaths", false, 0)
		photos.request("photo of a wreath", true, 3000)

		assigned := s.upstreamOf(florist)
		s.log("the florist's session is on %s", assigned)
		s.runCommand("anna", "schuur-1", "drain upstream "+assigned, "drain-1")
		s.wait(4 * time.Second)
		florist.request("order of 2 wreaths", false, 0)
		s.log("the florist's session is still on %s: %t", assigned, s.upstreamOf(florist) == assigned)

		s.Kill("winkel-2")
		s.log("daemon winkel-2 is killed")
		s.wait(5 * time.Second)
		florist.request("order of 5 wreaths", false, 0)
		photos.request("photo of a bine", true, 3000)

		s.Platform.SetOutage(true)
		s.log("the platform is down")
		s.runCommand("anna", "schuur-1", "set aim of galerij balance", "aim-1")
		florist.request("stock feed", true, 0)
		florist.request("order of 1 wreath", false, 0)
		s.runQuery("anna", "droogvloer-1", "show change drain-1")
		s.Platform.SetOutage(false)
		s.log("the platform is back")
		s.wait(10 * time.Second)

		s.Tamper(reverseAnswerParts)
		s.log("parts of answers arrive late and in reverse order")
		photos.request("photo album", true, 4000)
		s.Tamper(nil)

		s.Platform.LoseAnswers(1)
		s.log("the next answer of the store to a write is lost")
		s.runCommand("anna", "schuur-1", "undrain upstream "+assigned, "undrain-1")

		raceLimitChanges(s)
		s.wait(3 * time.Second)
		florist.request("order of 4 wreaths", false, 0)
		s.runQuery("anna", "schuur-1", "show services")
		s.audit()
		s.compareGolden("florist-day")
	})
}

// raceDelay is the delay of store calls while two operators race. It is long enough for both to read
// the configuration before either writes.
const raceDelay = 100 * time.Millisecond

// raceLimitChanges lets two operators set the same limit at once. Exactly one command may be
// committed; the other one must be refused with a reason.
func raceLimitChanges(s *session) {
	type result struct {
		author  string
		outcome *pb.RunResponse
	}
	// With a slow store, both daemons read the configuration before either writes.
	s.Platform.SetDelay(raceDelay)
	defer s.Platform.SetDelay(0)
	results := make(chan result, 2)
	for author, at := range map[string]string{"anna": "schuur-1", "bram": "droogvloer-2"} {
		go func() {
			r, err := s.Run(context.Background(), at, "set limit of bindery queue-length "+map[string]string{"anna": "32", "bram": "48"}[author], "limit-"+author, author)
			if err != nil {
				s.t.Error(err)
			}
			results <- result{author, r}
		}()
	}
	committed := 0
	for range 2 {
		r := <-results
		if r.outcome.GetOutcome() == pb.Outcome_OUTCOME_COMMITTED {
			committed++
		} else if r.outcome.GetOutcome() != pb.Outcome_OUTCOME_REFUSED || r.outcome.GetReason() == "" {
			s.t.Errorf("operator %s: %s without a reason", r.author, r.outcome.GetOutcome())
		}
	}
	s.g.Expect(committed).To(gomega.Equal(1))
	s.log("operators anna and bram set a limit of bindery at once: committed %d, refused with the conflict %d", committed, 2-committed)
}
