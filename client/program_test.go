package client_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/client"
)

// recorder answers each line with the outcome of its table and records it with its id.
type recorder struct {
	fulmarfieldv1connect.UnimplementedOperatorServiceHandler
	outcomes map[string]pb.Outcome
	got      []string
}

func (r *recorder) Run(_ context.Context, q *connect.Request[pb.RunRequest]) (*connect.Response[pb.RunResponse], error) {
	r.got = append(r.got, q.Msg.GetLine()+" ["+q.Msg.GetChangeId()+"]")
	return connect.NewResponse(&pb.RunResponse{Outcome: r.outcomes[q.Msg.GetLine()], ChangeId: q.Msg.GetChangeId()}), nil
}

// Guards against a script that runs half of a faulty file, goes on after a failure, gives two
// lines one change id, and against wrong exit statuses.
func TestScript(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		status int
		got    []string
	}{
		"all":     {"# drain\nshow services\n\ndrain upstream a\n", client.ExitOK, []string{"show services [x-2]", "drain upstream a [x-4]"}},
		"faulty":  {"drain upstream a\ndrain\n", client.ExitUsage, nil},
		"refused": {"drain upstream b\ndrain upstream a\n", client.ExitRefused, []string{"drain upstream b [x-1]"}},
		"unknown": {"drain upstream c\n", client.ExitUnknown, []string{"drain upstream c [x-1]"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := &recorder{outcomes: map[string]pb.Outcome{
				"drain upstream a": pb.Outcome_OUTCOME_COMMITTED, "drain upstream b": pb.Outcome_OUTCOME_REFUSED,
				"drain upstream c": pb.Outcome_OUTCOME_UNKNOWN,
			}}
			mux := http.NewServeMux()
			mux.Handle(fulmarfieldv1connect.NewOperatorServiceHandler(r))
			server := httptest.NewServer(mux)
			defer server.Close()
			file := filepath.Join(t.TempDir(), "script")
			g.Expect(os.WriteFile(file, []byte(c.script), 0o600)).To(Succeed())
			var out, errOut bytes.Buffer
			address := strings.TrimPrefix(server.URL, "http://")
			g.Expect(client.Main([]string{"--address", address, "--change-id", "x", "run", file}, nil, &out, &errOut)).To(Equal(c.status), errOut.String())
			g.Expect(r.got).To(Equal(c.got))
		})
	}
}

// Guards against a lost change whose id the operator does not learn, and against an outcome
// for a query.
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
