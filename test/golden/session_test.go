package golden

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/client"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// session records what operators and callers see, in one line per event, in virtual time.
type session struct {
	*testcluster.Cluster
	g *gomega.WithT
	t *testing.T
	// elapsed is the sum of the waits between the steps. Lines show it rather than the clock,
	// because the jitter of retransmissions would change the lines otherwise.
	elapsed time.Duration
	lines   []string
}

// wait lets time pass between two steps of the session.
func (s *session) wait(d time.Duration) {
	time.Sleep(d)
	s.elapsed += d
}

// startSession starts a deployment and applies its declaration at a daemon.
func startSession(t *testing.T, deployment string, seed uint64, at, author string) *session {
	s := newSession(t, "../../deployments/"+deployment+".yaml", seed)
	r, err := s.Apply(context.Background(), at, "apply-1", author)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.log("operator %s: apply %s.yaml [apply-1]: generation %d, in force on %d daemons",
		author, deployment, r.GetGeneration(), len(r.GetInForce()))
	s.wait(2 * time.Second)
	return s
}

func newSession(t *testing.T, declaration string, seed uint64) *session {
	c := testcluster.Start(t, testcluster.Options{Declaration: declaration, Seed: seed})
	s := &session{Cluster: c, g: gomega.NewWithT(t), t: t}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("session so far:\n" + strings.Join(s.lines, "\n"))
		}
	})
	return s
}

func (s *session) log(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf("%4s  ", s.elapsed)+fmt.Sprintf(format, args...))
}

// compareGolden compares the recorded lines with the golden file of the given name.
func (s *session) compareGolden(name string) {
	goldie.New(s.t, goldie.WithNameSuffix(".golden"), goldie.WithDiffEngine(goldie.ColoredDiff)).
		Assert(s.t, name, []byte(strings.Join(s.lines, "\n")+"\n"))
}

// flow is a caller's open flow.
type flow struct {
	*caller.Flow
	s          *session
	caller     string
	service    string
	lastNumber int
}

func (s *session) open(name, service string) *flow {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f, err := s.Open(ctx, service)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.log("%s opens a session with %s", name, service)
	return &flow{Flow: f, s: s, caller: name, service: service}
}

// upstreamOf returns the name of the upstream that has run a request of a flow.
func (s *session) upstreamOf(f *flow) string {
	for name, u := range s.Upstreams {
		for run := range u.Report(true).Runs {
			if strings.HasPrefix(run, f.Key().String()+"#") {
				return name
			}
		}
	}
	s.t.Fatalf("no upstream has run a request of %s", f.caller)
	return ""
}

// openOnUpstream opens flows until one is placed on the given upstream, and returns that flow.
func (s *session) openOnUpstream(name, service string) *flow {
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		f, err := s.Open(ctx, service)
		cancel()
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		opened := &flow{Flow: f, s: s, caller: "another caller", service: service}
		_, err = f.Request(context.Background(), caller.Request{Idempotent: true, Deadline: 5 * time.Second})
		if err == nil && s.upstreamOf(opened) == name {
			return opened
		}
		f.Close()
	}
	s.t.Fatalf("no session reached %s", name)
	return nil
}

// keepBusy sends a request every 200 ms until stopped, without logging.
func (f *flow) keepBusy(stopped <-chan struct{}) {
	for {
		_, _ = f.Request(context.Background(), caller.Request{Idempotent: true, Deadline: time.Second})
		select {
		case <-stopped:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// request sends one request, verifies the digest of its answer and logs the result.
func (f *flow) request(what string, idempotent bool, answerBytes uint32) pb.Status {
	f.lastNumber++
	payload := upstream.RequestPayload(answerBytes, []byte(fmt.Sprintf("%s %d", what, f.lastNumber)))
	a, err := f.Request(context.Background(), caller.Request{Payload: payload, Idempotent: idempotent, Deadline: 5 * time.Second})
	if err != nil {
		f.s.log("%s: %s: %v", f.caller, what, err)
		return pb.Status_STATUS_UNSPECIFIED
	}
	if a.Status != pb.Status_STATUS_OK {
		f.s.log("%s: %s: %s (%s)", f.caller, what, statusName(a.Status), telemetry.ReasonName(a.Reason))
		return a.Status
	}
	whole := "whole answer to this request"
	if err := upstream.VerifyAnswer(f.Key(), a.RequestID, payload, a.Payload); err != nil {
		whole = "WRONG ANSWER: " + err.Error()
		f.s.t.Errorf("%s %s: %v", f.caller, what, err)
	}
	f.s.log("%s: %s: ok, %s", f.caller, what, whole)
	return a.Status
}

func statusName(s pb.Status) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATUS_"))
}

// runCommand runs an operator's command and logs its outcome and on how many daemons it is in force.
func (s *session) runCommand(author, at, line, changeID string) *pb.RunResponse {
	r, err := s.Run(context.Background(), at, line, changeID, author)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	text := client.OutcomeName(r.GetOutcome())
	if r.GetReason() != "" {
		text += ": " + r.GetReason()
	}
	if len(r.GetInForce()) > 0 {
		text += fmt.Sprintf(", in force on %d daemons", len(r.GetInForce()))
	}
	if len(r.GetNotConfirmed()) > 0 {
		text += ", not confirmed by " + strings.Join(r.GetNotConfirmed(), " ")
	}
	s.log("operator %s: %s [%s]: %s", author, line, changeID, text)
	return r
}

// runQuery runs an operator's query and logs the rows of its result.
func (s *session) runQuery(author, at, line string) {
	r, err := s.Run(context.Background(), at, line, "", author)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.log("operator %s: %s", author, line)
	for _, row := range r.GetTable().GetRows() {
		s.log("    %s", strings.Join(row.GetCells(), " | "))
	}
	s.log("    generation %d; missing: %s", r.GetBasis().GetGeneration(), strings.Join(r.GetBasis().GetMissing(), " "))
}

// audit checks and logs the invariants at the end of a session: no non-idempotent request ran twice
// and no packet reached a wrong service.
func (s *session) audit() {
	runs, wrong := 0, int64(0)
	counts := map[string]int{}
	for _, u := range s.Upstreams {
		report := u.Report(true)
		wrong += report.WrongService
		for name, run := range report.Runs {
			if !run.Idempotent {
				counts[name] += run.Count
				runs++
			}
		}
	}
	twice := 0
	for name, n := range counts {
		if n > 1 {
			twice++
			s.t.Errorf("%s ran %d times", name, n)
		}
	}
	s.g.Expect(wrong).To(gomega.BeZero(), "packets reached an upstream of another service")
	s.log("audit: %d non-idempotent requests ran, %d of them twice; %d packets to a wrong service", runs, twice, wrong)
}
