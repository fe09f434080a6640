package daemon_test

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
	"github.com/fulmarfield/fulmarfield/wire"
)

// runDirective executes one directive of the page.
func (s *section) runDirective(directive string) {
	s.t.Helper()
	verb, argument, _ := strings.Cut(directive, " ")
	switch verb {
	case "wait":
		d, err := time.ParseDuration(argument)
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(d)
	case "close":
		for _, f := range s.flows {
			f.Close()
		}
		s.flows = nil
	case "stop":
		s.Expect(s.Stop(context.Background(), argument)).To(Succeed())
	case "start":
		for _, d := range s.Declaration.Daemons {
			if d.Name == argument {
				s.StartDaemon(d.Name, d.Zone, d.Address)
			}
		}
	case "kill":
		s.Kill(argument)
	case "cut", "heal":
		zone, err := strconv.Atoi(argument)
		s.Expect(err).NotTo(HaveOccurred())
		for _, other := range []int{1, 2, testcluster.PlatformZone} {
			map[string]func(int, int){"cut": s.Cut, "heal": s.Heal}[verb](zone, other)
		}
	case "platform":
		s.setPlatform(argument)
	case "edit":
		s.files[argument] = bytes.Replace(s.DeclarationText, []byte("aim: connections"), []byte("aim: balance"), 1)
	case "event":
		data, err := os.ReadFile(s.log.Name())
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(string(data)).To(ContainSubstring(`"event":"` + argument + `"`))
	case "wrong":
		s.sendWrongServiceAnswer()
	case "overload":
		s.sendOverload()
	default:
		s.t.Fatalf("directive %q", directive)
	}
}

// setPlatform makes the platform available, unavailable, or unavailable after the next write, whose
// response is lost.
func (s *section) setPlatform(state string) {
	switch state {
	case "down":
		s.Platform.SetOutage(true)
	case "up":
		s.Platform.LoseAnswerShare(0)
		s.Platform.SetOutage(false)
	case "down after the next write":
		store := s.Platform.Store(netip.MustParseAddr("127.1.1.1"))
		before, err := store.Get(context.Background(), commit.HeadKey)
		s.Expect(err).NotTo(HaveOccurred())
		s.Platform.LoseAnswerShare(1)
		go func() {
			for now := before; now.Version == before.Version; time.Sleep(time.Millisecond) {
				if now, err = store.Get(context.Background(), commit.HeadKey); err != nil {
					return
				}
			}
			s.Platform.SetOutage(true)
		}()
	default:
		s.t.Fatalf("platform %q", state)
	}
}

// sendWrongServiceAnswer sends a daemon an answer of an upstream of galerij for a flow to bindery.
func (s *section) sendWrongServiceAnswer() {
	flow, err := wire.NewFlowKey(netip.MustParseAddrPort("127.9.0.1:40000"), s.Declaration.Services[0].Address)
	s.Expect(err).NotTo(HaveOccurred())
	raw, err := wire.EncodePacket(&pb.Packet{Flow: flow.Proto(), Kind: pb.Kind_KIND_ANSWER, Upstream: 16, RequestId: 1})
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.Send(netip.MustParseAddrPort("127.1.1.1:7000"), raw)).To(Succeed())
	time.Sleep(time.Second)
}

// sendOverload sends more concurrent requests than fit into the slots and queues of bindery.
func (s *section) sendOverload() {
	var wg sync.WaitGroup
	for _, f := range s.flows {
		for range 8 {
			wg.Go(func() {
				_, _ = f.Request(context.Background(), caller.Request{Payload: []byte("ask"), Deadline: 4 * time.Second})
			})
		}
	}
	wg.Wait()
}
