package client_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/client"
)

// Guards against a logs command that omits matching lines, or that exits with the status of success
// when no line matches or a log cannot be read.
func TestLogs(t *testing.T) {
	g := NewWithT(t)
	const line = `{"daemon":"front-1","event":"flow","flow":"100.64.0.7:1051>198.18.0.1:8443","action":"reset","reason":"no_route","time":"2026-12-04T09:00:01Z"}`
	path := filepath.Join(t.TempDir(), "log")
	g.Expect(os.WriteFile(path, []byte(line+"\n{\n"), 0o600)).To(Succeed())
	for _, c := range []struct {
		args   []string
		in     string
		status int
		want   string
	}{
		{[]string{"flow", "100.64.0.7:1051"}, line, client.ExitOK, "reset: no_route"},
		{[]string{"beliefs", "2026-12-04T09:00:02Z"}, line, client.ExitOK, "front-1"},
		{[]string{"upstream", "i-a1"}, `{"daemon":"front-1","event":"upstream_outlier","upstream":"i-a1","state":"ejected","evidence":"slow","time":"2026-12-04T09:00:01Z"}`, client.ExitOK, "i-a1 is ejected: slow"},
		{[]string{"upstream", "i-a2"}, line, client.ExitRefused, "no line"},
		{[]string{"flow", "100.64.0.9"}, line, client.ExitRefused, "no line"},
		{[]string{"flow", "100.64.0.7", path}, "", client.ExitUsage, path + ":2"},
		{[]string{"flow", "100.64.0.7", path + "x"}, "", client.ExitUsage, path + "x"},
		{[]string{"beliefs", "noon"}, "", client.ExitUsage, "TIME"},
		{[]string{"flow"}, "", client.ExitUsage, "flow CALLER"},
	} {
		var out, errOut strings.Builder
		status := client.Main(append([]string{"logs"}, c.args...), strings.NewReader(c.in), &out, &errOut)
		g.Expect(status).To(Equal(c.status), "%v: %s", c.args, errOut.String())
		g.Expect(out.String() + errOut.String()).To(ContainSubstring(c.want))
	}
}
