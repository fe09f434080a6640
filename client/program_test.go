package client_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/client"
)

// callTimeout limits one call of a test.
const callTimeout = 10 * time.Second

// fakeOperatorService records each line with its change id and responds with the outcome given by
// outcomes. It fails the call for the line "fail".
type fakeOperatorService struct {
	fulmarfieldv1connect.UnimplementedOperatorServiceHandler
	outcomes map[string]pb.Outcome
	received []string
}

func newFakeOperatorService() *fakeOperatorService {
	return &fakeOperatorService{outcomes: map[string]pb.Outcome{
		"drain upstream a": pb.Outcome_OUTCOME_COMMITTED, "drain upstream b": pb.Outcome_OUTCOME_REFUSED,
		"drain upstream c": pb.Outcome_OUTCOME_UNKNOWN, "drain upstream d": pb.Outcome_OUTCOME_UNCHANGED,
	}}
}

// lines returns the received lines without their change ids.
func (r *fakeOperatorService) lines() []string {
	var lines []string
	for _, l := range r.received {
		line, _, _ := strings.Cut(l, " [")
		lines = append(lines, line)
	}
	return lines
}

func (r *fakeOperatorService) Run(_ context.Context, q *connect.Request[pb.RunRequest]) (*connect.Response[pb.RunResponse], error) {
	r.received = append(r.received, q.Msg.GetLine()+" ["+q.Msg.GetChangeId()+"]")
	response := &pb.RunResponse{Outcome: r.outcomes[q.Msg.GetLine()], ChangeId: q.Msg.GetChangeId()}
	switch q.Msg.GetLine() {
	case "fail":
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("out of order"))
	case "dance":
		response.Errors = []string{"not a line"}
	}
	return connect.NewResponse(response), nil
}

func (r *fakeOperatorService) Plan(_ context.Context, q *connect.Request[pb.PlanRequest]) (*connect.Response[pb.PlanResponse], error) {
	response := &pb.PlanResponse{Basis: &pb.Basis{Generation: 1}}
	if strings.HasSuffix(q.Msg.GetFileName(), "other.yaml") {
		response.Errors = []string{"declaration is of another deployment"}
	}
	return connect.NewResponse(response), nil
}

// Apply responds with the outcome whose name is the change id.
func (r *fakeOperatorService) Apply(_ context.Context, q *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	if q.Msg.GetChangeId() == "fail" {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("out of order"))
	}
	outcome := pb.Outcome(pb.Outcome_value["OUTCOME_"+strings.ToUpper(q.Msg.GetChangeId())])
	return connect.NewResponse(&pb.ApplyResponse{Outcome: outcome, ChangeId: q.Msg.GetChangeId(), Basis: &pb.Basis{Generation: 1}}), nil
}

// Guards against a script that runs some lines of a file with an invalid line, continues after a
// failure, or assigns two lines the same change id, and against wrong exit statuses.
func TestScript(t *testing.T) {
	for name, c := range map[string]struct {
		script   string
		status   int
		received []string
	}{
		"all":     {"# drain\nshow services\n\ndrain upstream a\n", client.ExitOK, []string{"show services [x-2]", "drain upstream a [x-4]"}},
		"faulty":  {"drain upstream a\ndrain\n", client.ExitUsage, nil},
		"refused": {"drain upstream b\ndrain upstream a\n", client.ExitRefused, []string{"drain upstream b [x-1]"}},
		"unknown": {"drain upstream c\n", client.ExitUnknown, []string{"drain upstream c [x-1]"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newFakeOperatorService()
			address := startOperatorService(t, r)
			file := filepath.Join(t.TempDir(), "script")
			g.Expect(os.WriteFile(file, []byte(c.script), 0o600)).To(Succeed())
			var out, errOut bytes.Buffer
			g.Expect(client.Main([]string{"--address", address, "--change-id", "x", "run", file}, nil, &out, &errOut)).To(Equal(c.status), errOut.String())
			g.Expect(r.received).To(Equal(c.received))
		})
	}
}

// Guards against a client that does not print the change id when no daemon responds to a change, so
// that the operator cannot query the outcome, and against one that prints an outcome for a query.
func TestNoAnswer(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	var out, errOut bytes.Buffer
	args := []string{"--address", address, "--change-id", "x"}
	g.Expect(client.Main(append(args, "command", "drain", "upstream", "a"), nil, &out, &errOut)).To(Equal(client.ExitNoAnswer))
	g.Expect(errOut.String()).To(ContainSubstring("outcome unknown; ask later with: query show change x"))
	errOut.Reset()
	g.Expect(client.Main(append(args, "query", "show", "services"), nil, &out, &errOut)).To(Equal(client.ExitNoAnswer))
	g.Expect(errOut.String()).NotTo(ContainSubstring("outcome"))
}
