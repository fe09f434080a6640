package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// getAdmin returns the response of a daemon's admin interface.
func (c fixture) getAdmin(daemon, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	c.Daemon(daemon).Node.AdminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// Guards against health checks and metrics that call the store or other daemons, and against a drained
// daemon that reports being ready, so that the fabric keeps sending packets to it.
func TestHealthChecksNeedNoStore(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		c.mustCommit("winkel-1", "drain daemon schuur-2", "drain-1")
		time.Sleep(3 * time.Second)
		c.Platform.SetOutage(true)
		for _, zone := range []int{2, 3, testcluster.PlatformZone} {
			c.Cut(1, zone)
		}
		time.Sleep(time.Minute)
		started := time.Now()
		for _, path := range []string{"/healthz", "/readyz", "/metrics", "/status"} {
			c.Expect(c.getAdmin("schuur-1", path).Code).To(Equal(http.StatusOK), path)
		}
		c.Expect(time.Since(started)).To(BeZero(), "a health check waited")
		drained := c.getAdmin("schuur-2", "/readyz")
		c.Expect(drained.Code).To(Equal(http.StatusServiceUnavailable))
		c.Expect(drained.Body.String()).To(Equal("drained by the configuration\n"))
		c.Expect(c.getAdmin("schuur-2", "/healthz").Code).To(Equal(http.StatusOK))
	})
}
