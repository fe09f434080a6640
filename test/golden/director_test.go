package golden

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// Guards against changes of what callers and operators see while a daemon joins and another one
// leaves, an upstream drains, answers arrive out of order, a zone is cut off, responses of the store
// to commits are lost, an upstream stops responding on its open flows, and two operators change the
// same upstream at once.
func TestDirectorDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSession(t, "kelpiestone-engraving", 2, "tay-a-1", "isla")
		defer s.Close()

		director := s.open("director", "proof-desk")
		sheets := s.open("printer", "sheet-print")
		director.request("inscription preview", true, 2600)
		director.request("wording correction", false, 0)
		sheets.request("proof sheet", true, 5000)

		replaceDaemons(s)
		director.request("wording correction", false, 0)

		assigned := s.upstreamOf(director)
		s.runCommand("isla", "tay-b-1", "drain upstream "+assigned, "drain-1")
		s.Tamper(reverseAnswerParts)
		s.log("parts of answers arrive late and in reverse order")
		director.request("inscription preview", true, 5000)
		s.Tamper(nil)
		s.runQuery("isla", "tay-b-1", "show drain of "+assigned)

		cutZoneOff(s, director)
		loseCommitAnswer(s)

		other := s.upstreamOf(sheets)
		_, err := s.Upstreams[other].MuteFlows(1)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		s.log("%s loses track of the sessions that are open and serves new ones", other)
		another := s.openOnUpstream(other, "sheet-print")
		start := time.Now()
		stopped := make(chan struct{})
		go another.keepBusy(stopped)
		sheets.request("proof sheet", true, 0)
		for broken, _ := sheets.Broken(); !broken && time.Since(start) < 10*time.Second; broken, _ = sheets.Broken() {
			time.Sleep(100 * time.Millisecond)
		}
		close(stopped)
		broken, _ := sheets.Broken()
		s.log("the printer's session is reset: %t, within 10 s: %t", broken, time.Since(start) <= 10*time.Second)
		s.open("printer", "sheet-print").request("proof sheet", true, 0)

		s.runQuery("isla", "tay-a-1", "show change aim-2")
		raceDrainAndRemove(s)
		s.wait(3 * time.Second)
		director.request("wording correction", false, 0)
		s.log("the director's session is still on %s: %t", assigned, s.upstreamOf(director) == assigned)
		s.audit()
		s.compareGolden("director-day")
	})
}

func replaceDaemons(s *session) {
	s.StartDaemon("tay-b-3", "tay-b", netip.MustParseAddr("127.1.2.3"))
	s.log("daemon tay-b-3 joins")
	s.wait(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	s.g.Expect(s.Stop(ctx, "tay-a-2")).To(gomega.Succeed())
	s.log("daemon tay-a-2 leaves")
	s.wait(5 * time.Second)
}

// cutZoneOff separates tay-d from all other zones and from the platform for ten seconds.
func cutZoneOff(s *session, director *flow) {
	others := []int{1, 2, 3, testcluster.PlatformZone}
	for _, zone := range others {
		s.Cut(4, zone)
	}
	s.log("zone tay-d is cut off from all others and from the platform")
	s.wait(10 * time.Second)
	director.request("inscription preview", true, 0)
	s.runCommand("isla", "tay-d-1", "set aim of sheet-print connections", "aim-1")
	s.runQuery("isla", "tay-a-1", "show change drain-1")
	for _, zone := range others {
		s.Heal(4, zone)
	}
	s.log("the cut is healed")
	s.wait(15 * time.Second)
	director.request("wording correction", false, 0)
}

// loseCommitAnswer loses the store's responses to the writes of a command and repeats the command.
func loseCommitAnswer(s *session) {
	s.Platform.LoseAnswers(2)
	s.log("the next two answers of the store to writes are lost")
	s.runCommand("isla", "tay-c-1", "set aim of sheet-print connections", "aim-2")
	s.runCommand("isla", "tay-c-1", "set aim of sheet-print connections", "aim-2")
}

// raceDrainAndRemove lets two operators drain and remove the same upstream at once. Exactly one
// command may be committed.
func raceDrainAndRemove(s *session) {
	s.Platform.SetDelay(raceDelay)
	defer s.Platform.SetDelay(0)
	outcomes := make(chan pb.Outcome, 2)
	for at, line := range map[string]string{"tay-a-1": "drain upstream proof-desk-1", "tay-d-1": "remove upstream proof-desk-1 force"} {
		go func() {
			r, err := s.Run(context.Background(), at, line, "race-"+at, at)
			if err != nil {
				s.t.Error(err)
			}
			outcomes <- r.GetOutcome()
		}()
	}
	count := map[pb.Outcome]int{}
	for range 2 {
		count[<-outcomes]++
	}
	s.log("one operator drains and one removes proof-desk-1 at once: committed %d, refused %d, unknown %d",
		count[pb.Outcome_OUTCOME_COMMITTED], count[pb.Outcome_OUTCOME_REFUSED], count[pb.Outcome_OUTCOME_UNKNOWN])
	s.g.Expect(count[pb.Outcome_OUTCOME_COMMITTED]).To(gomega.Equal(1))
}
