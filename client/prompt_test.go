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

// Key sequences that a terminal sends.
const (
	keyEnter = "\r"
	keyTab   = "\t"
	keyUp    = "\x1b[A"
	keyDown  = "\x1b[B"
	keyCtrlC = "\x03"
	keyCtrlD = "\x04"
)

// fakeTerminal is a terminal. Reader provides the typed keys; Buffer holds the output.
type fakeTerminal struct {
	io.Reader
	bytes.Buffer
}

func (s *fakeTerminal) Read(b []byte) (int, error) { return s.Reader.Read(b) }

// startOperatorService serves r over HTTP until the test ends and returns the address.
func startOperatorService(t *testing.T, r *fakeOperatorService) string {
	mux := http.NewServeMux()
	mux.Handle(fulmarfieldv1connect.NewOperatorServiceHandler(r))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a prompt whose history or completion does not work, that ends after a refused line
// or a failed call, or that does not end when its input ends.
func TestPromptOnATerminal(t *testing.T) {
	for name, c := range map[string]struct {
		keys  string
		lines []string
		shown []string
	}{
		"lines and exit":     {"show services" + keyEnter + "exit" + keyEnter + "show drops" + keyEnter, []string{"show services"}, nil},
		"end of input":       {"show services" + keyEnter, []string{"show services"}, nil},
		"end by control-D":   {"show services" + keyEnter + keyCtrlD + "show drops" + keyEnter, []string{"show services"}, nil},
		"end by control-C":   {keyCtrlC + "show drops" + keyEnter, nil, nil},
		"completion":         {"sh" + keyTab + "serv" + keyTab + keyEnter, []string{"show services"}, nil},
		"no completion":      {"dance" + keyTab + keyEnter, []string{"dance"}, nil},
		"history":            {"show services" + keyEnter + "show drops" + keyEnter + keyUp + keyUp + keyEnter, []string{"show services", "show drops", "show services"}, nil},
		"history and back":   {"show services" + keyEnter + "show drops" + keyEnter + keyUp + keyUp + keyDown + keyEnter, []string{"show services", "show drops", "show drops"}, nil},
		"an edited line":     {"show servicesx\x7f" + keyEnter, []string{"show services"}, nil},
		"empty lines":        {keyEnter + "  " + keyEnter + "show drops" + keyEnter, []string{"show drops"}, nil},
		"help":               {"help" + keyEnter, nil, []string{"show route of IP:PORT to SERVICE", "abort CHANGE-ID"}},
		"a refused line":     {"drain upstream b" + keyEnter + "show drops" + keyEnter, []string{"drain upstream b", "show drops"}, []string{"refused (change "}},
		"an unknown outcome": {"drain upstream c" + keyEnter + "show drops" + keyEnter, []string{"drain upstream c", "show drops"}, []string{"unknown (change "}},
		"no answer":          {"fail" + keyEnter + "show drops" + keyEnter, []string{"fail", "show drops"}, []string{"no daemon answered"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newFakeOperatorService()
			operator, err := client.New(client.Options{Addresses: []string{startOperatorService(t, r)}, Timeout: callTimeout})
			g.Expect(err).NotTo(HaveOccurred())
			s := &fakeTerminal{Reader: strings.NewReader(c.keys)}
			g.Expect(client.RunTerminal(context.Background(), operator, s)).To(Equal(client.ExitOK))
			g.Expect(r.lines()).To(Equal(c.lines))
			for _, text := range c.shown {
				g.Expect(s.String()).To(ContainSubstring(text))
			}
			g.Expect(s.String()).To(ContainSubstring("fulmar> "))
		})
	}
}

// Guards against a prompt in a pipe that stops at an error, drops a last line without a line break,
// or ends without an error message at a line that is too long to read.
func TestPromptInAPipe(t *testing.T) {
	g := NewWithT(t)
	r := newFakeOperatorService()
	address := startOperatorService(t, r)
	var out, errOut bytes.Buffer
	in := strings.NewReader("drain upstream b\nfail\n\nshow services\nhelp\nshow drops")
	g.Expect(client.Main([]string{"--address", address, "--change-id", "x", "prompt"}, in, &out, &errOut)).To(Equal(client.ExitOK))
	g.Expect(r.lines()).To(Equal([]string{"drain upstream b", "fail", "show services", "show drops"}))
	g.Expect(r.received[3]).To(HaveSuffix("[x-4]"))
	g.Expect(errOut.String()).To(ContainSubstring("no daemon answered"))
	g.Expect(out.String()).To(ContainSubstring("refused (change x-1)"))

	long := strings.NewReader("show " + strings.Repeat("x", 1<<20) + "\nshow drops\n")
	errOut.Reset()
	g.Expect(client.Main([]string{"--address", address, "prompt"}, long, &out, &errOut)).To(Equal(client.ExitUsage))
	g.Expect(errOut.String()).To(ContainSubstring("token too long"))
}
