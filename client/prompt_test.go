package client_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/client"
)

// Keys as a terminal sends them.
const (
	enter = "\r"
	tab   = "\t"
	up    = "\x1b[A"
	down  = "\x1b[B"
	ctrlC = "\x03"
	ctrlD = "\x04"
)

// screen is a terminal: what is typed, and what is shown.
type screen struct {
	io.Reader
	bytes.Buffer
}

func (s *screen) Read(b []byte) (int, error) { return s.Reader.Read(b) }

// serve runs an operators' interface and returns its address.
func serve(t *testing.T, r *recorder) string {
	mux := http.NewServeMux()
	mux.Handle(fulmarfieldv1connect.NewOperatorServiceHandler(r))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a prompt that loses its history or completion, that a refused line or a
// missing answer ends, or that does not end with its input.
func TestPromptOnATerminal(t *testing.T) {
	for name, c := range map[string]struct {
		keys  string
		lines []string
		shown []string
	}{
		"lines and exit":     {"show services" + enter + "exit" + enter + "show drops" + enter, []string{"show services"}, nil},
		"end of input":       {"show services" + enter, []string{"show services"}, nil},
		"end by control-D":   {"show services" + enter + ctrlD + "show drops" + enter, []string{"show services"}, nil},
		"end by control-C":   {ctrlC + "show drops" + enter, nil, nil},
		"completion":         {"sh" + tab + "serv" + tab + enter, []string{"show services"}, nil},
		"no completion":      {"dance" + tab + enter, []string{"dance"}, nil},
		"history":            {"show services" + enter + "show drops" + enter + up + up + enter, []string{"show services", "show drops", "show services"}, nil},
		"history and back":   {"show services" + enter + "show drops" + enter + up + up + down + enter, []string{"show services", "show drops", "show drops"}, nil},
		"an edited line":     {"show servicesx\x7f" + enter, []string{"show services"}, nil},
		"empty lines":        {enter + "  " + enter + "show drops" + enter, []string{"show drops"}, nil},
		"help":               {"help" + enter, nil, []string{"show route of IP:PORT to SERVICE", "abort CHANGE-ID"}},
		"a refused line":     {"drain upstream b" + enter + "show drops" + enter, []string{"drain upstream b", "show drops"}, []string{"refused (change "}},
		"an unknown outcome": {"drain upstream c" + enter + "show drops" + enter, []string{"drain upstream c", "show drops"}, []string{"unknown (change "}},
		"no answer":          {"fail" + enter + "show drops" + enter, []string{"fail", "show drops"}, []string{"no daemon answered"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRecorder()
			operator, err := client.New(client.Options{Addresses: []string{serve(t, r)}, Timeout: callLimit})
			g.Expect(err).NotTo(HaveOccurred())
			s := &screen{Reader: strings.NewReader(c.keys)}
			g.Expect(client.PromptOn(context.Background(), operator, s)).To(Equal(client.ExitOK))
			g.Expect(r.lines()).To(Equal(c.lines))
			for _, text := range c.shown {
				g.Expect(s.String()).To(ContainSubstring(text))
			}
			g.Expect(s.String()).To(ContainSubstring("fulmar> "))
		})
	}
}

// Guards against a prompt in a pipe that stops at an error, drops a last line without a line
// break, or ends without a word at a line that cannot be read.
func TestPromptInAPipe(t *testing.T) {
	g := NewWithT(t)
	r := newRecorder()
	address := serve(t, r)
	var out, errOut bytes.Buffer
	in := strings.NewReader("drain upstream b\nfail\n\nshow services\nhelp\nshow drops")
	g.Expect(client.Main([]string{"--address", address, "--change-id", "x", "prompt"}, in, &out, &errOut)).To(Equal(client.ExitOK))
	g.Expect(r.lines()).To(Equal([]string{"drain upstream b", "fail", "show services", "show drops"}))
	g.Expect(r.got[3]).To(HaveSuffix("[x-4]"))
	g.Expect(errOut.String()).To(ContainSubstring("no daemon answered"))
	g.Expect(out.String()).To(ContainSubstring("refused (change x-1)"))

	long := strings.NewReader("show " + strings.Repeat("x", 1<<20) + "\nshow drops\n")
	errOut.Reset()
	g.Expect(client.Main([]string{"--address", address, "prompt"}, long, &out, &errOut)).To(Equal(client.ExitUsage))
	g.Expect(errOut.String()).To(ContainSubstring("token too long"))
}
