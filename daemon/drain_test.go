package daemon_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// Guards against a drain that breaks a flow, leaves resources at the drained daemon or ends its
// process, and against an undrained daemon that does not join until its process is restarted.
func TestDrainOfADaemon(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		flows := []*caller.Flow{c.openFlow("bindery"), c.openFlow("bindery"), c.openFlow("galerij")}
		c.mustCommit("winkel-1", "drain daemon schuur-1", "drain-1")
		time.Sleep(5 * time.Second)
		node := c.Daemon("schuur-1").Node
		c.Expect(node.IsReady()).To(BeFalse())
		for _, f := range flows {
			c.sendRequest(f)
		}
		c.Expect(c.rows("winkel-1", "show daemons")).To(ContainElement(MatchRegexp(`^schuur-1 \| schuur \| drained \| 2 \| .* \| 0 \| 0 \| `)))
		before := node.Status("").GetIncarnation()
		c.mustCommit("winkel-1", "undrain daemon schuur-1", "undrain-1")
		time.Sleep(5 * time.Second)
		c.Expect(c.rows("winkel-1", "show daemons")).To(ContainElement(MatchRegexp(`^schuur-1 \| schuur \| serving \| 3 \| .* \| [1-9][0-9]* \| `)))
		c.Expect(node.IsReady()).To(BeTrue())
		c.Expect(node.Status("").GetIncarnation()).To(BeNumerically(">", before))
		c.expectOneHolderPerResource()
		for _, f := range flows {
			c.sendRequest(f)
		}
	})
}

// expectOneHolderPerResource checks that the number of resources held by all daemons equals the number
// of resources.
func (c fixture) expectOneHolderPerResource() {
	c.t.Helper()
	held := uint32(0)
	for _, d := range c.Live() {
		held += d.Node.Status("").GetResourcesHeld()
	}
	c.Expect(held).To(Equal(uint32(2*256+len(c.Declaration.Upstreams))), "resources held by all daemons")
}

// Guards against a hand-over that continues after an undrain, so that the daemon does not join, and
// against a second drain that has no effect.
func TestUndrainDuringHandOver(t *testing.T) {
	runWithCluster(t, testcluster.Options{MeanService: 4 * time.Second}, func(c fixture) {
		// The drain waits for these requests in progress, so that the undrain comes before its end.
		done := make(chan struct{}, 30)
		for range cap(done) {
			f := c.openFlow("bindery")
			go func() {
				_, _ = f.Request(context.Background(), caller.Request{Payload: []byte("ask"), Deadline: 8 * time.Second})
				done <- struct{}{}
			}()
		}
		time.Sleep(500 * time.Millisecond)
		c.mustCommit("winkel-1", "drain daemon schuur-1", "drain-1")
		time.Sleep(1500 * time.Millisecond)
		node := c.Daemon("schuur-1").Node
		c.Expect(node.Status("").GetLeaving()).To(BeTrue())
		c.mustCommit("winkel-1", "undrain daemon schuur-1", "undrain-1")
		time.Sleep(3 * time.Second)
		c.Expect(node.IsReady()).To(BeTrue())
		c.expectOneHolderPerResource()
		for range cap(done) {
			<-done
		}
		c.mustCommit("winkel-1", "drain daemon schuur-1", "drain-2")
		time.Sleep(5 * time.Second)
		c.Expect(c.rows("winkel-1", "show daemons")).To(ContainElement(MatchRegexp(`^schuur-1 \| schuur \| drained \| `)))
		c.Expect(node.IsReady()).To(BeFalse())
		c.expectOneHolderPerResource()
	})
}

// Guards against an undrain that makes a daemon join again while its process shuts down.
func TestUndrainDoesNotCancelAShutdown(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		c.mustCommit("winkel-1", "drain daemon schuur-1", "drain-1")
		time.Sleep(5 * time.Second)
		node := c.Daemon("schuur-1").Node
		c.Expect(node.Leave(context.Background())).To(Succeed())
		c.mustCommit("winkel-1", "undrain daemon schuur-1", "undrain-1")
		time.Sleep(5 * time.Second)
		c.Expect(node.IsReady()).To(BeFalse())
		c.Expect(node.Status("").GetResourcesHeld()).To(BeZero())
	})
}
