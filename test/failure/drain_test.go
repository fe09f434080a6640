package failure

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// drainTimeLimit is the time after a drain from which an upstream must not receive new flows.
const drainTimeLimit = 3 * time.Second

// Guards against a draining upstream that still receives new flows 3 s after the drain. The platform
// is cut off from one zone, so that the drain reaches the daemons there through their peers only.
func TestDrainingUpstreamGetsNoNewFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := testcluster.Start(t, testcluster.Options{Declaration: hopkrans, Seed: 1})
		defer c.Close()
		_, err := c.Apply(context.Background(), "schuur-1", "apply-1", "test")
		g.Expect(err).NotTo(HaveOccurred())
		c.Cut(2, testcluster.PlatformZone)
		time.Sleep(time.Second)
		openFlows(g, c, "galerij", 100)
		drained := c.Upstreams["galerij-1"]
		before := drained.Report(false).FlowsKnown
		g.Expect(before).To(BeNumerically(">", 0))
		runCommand(t, c, "schuur-1", "drain upstream galerij-1")
		time.Sleep(drainTimeLimit)
		limit := time.Now().UnixMilli()
		openFlows(g, c, "galerij", 200)
		report := drained.Report(false)
		g.Expect(report.LastOpenMS).To(BeNumerically("<", limit))
		g.Expect(report.FlowsKnown).To(Equal(before), "established flows stay on the draining upstream")
	})
}

// openFlows opens n flows to a service and leaves them open.
func openFlows(g *WithT, c *testcluster.Cluster, service string, n int) {
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
		_, err := c.Open(ctx, service)
		cancel()
		g.Expect(err).NotTo(HaveOccurred())
	}
}
