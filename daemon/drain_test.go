package daemon_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// Guards against a drain that breaks a flow, leaves resources behind or ends the process, and
// against an undrained daemon that stays out until its process is restarted.
func TestDrainOfADaemon(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		flows := []*caller.Flow{c.open("bindery"), c.open("bindery"), c.open("galerij")}
		c.commit("winkel-1", "drain daemon schuur-1", "drain-1")
		time.Sleep(5 * time.Second)
		node := c.Daemon("schuur-1").Node
		c.Expect(node.IsReady()).To(BeFalse())
		for _, f := range flows {
			c.ask(f)
		}
		c.Expect(c.rows("winkel-1", "show daemons")).To(ContainElement(MatchRegexp(`^schuur-1 \| schuur \| drained \| 2 \| .* \| 0 \| 0 \| `)))
		before := node.Status("").GetIncarnation()
		c.commit("winkel-1", "undrain daemon schuur-1", "undrain-1")
		time.Sleep(5 * time.Second)
		c.Expect(c.rows("winkel-1", "show daemons")).To(ContainElement(MatchRegexp(`^schuur-1 \| schuur \| serving \| 3 \| .* \| [1-9][0-9]* \| `)))
		c.Expect(node.IsReady()).To(BeTrue())
		c.Expect(node.Status("").GetIncarnation()).To(BeNumerically(">", before))
		c.expectOneHolderEach()
		for _, f := range flows {
			c.ask(f)
		}
	})
}

// expectOneHolderEach checks that the daemons together serve each resource once.
func (c operators) expectOneHolderEach() {
	c.t.Helper()
	held := uint32(0)
	for _, d := range c.Live() {
		held += d.Node.Status("").GetResourcesHeld()
	}
	c.Expect(held).To(Equal(uint32(2*256+len(c.Declaration.Upstreams))), "resources held by all daemons")
}

// Guards against a hand-over that goes on after the undrain, which would leave the daemon out,
// and against a daemon that a second drain does not reach.
func TestUndrainDuringTheHandOver(t *testing.T) {
	withCluster(t, testcluster.Options{MeanService: 4 * time.Second}, func(c operators) {
		// The hand-over waits for the requests in progress.
		done := make(chan struct{}, 30)
		for range cap(done) {
			f := c.open("bindery")
			go func() {
				_, _ = f.Request(context.Background(), caller.Request{Payload: []byte("ask"), Deadline: 8 * time.Second})
				done <- struct{}{}
			}()
		}
		time.Sleep(500 * time.Millisecond)
		c.commit("winkel-1", "drain daemon schuur-1", "drain-1")
		time.Sleep(1500 * time.Millisecond)
		node := c.Daemon("schuur-1").Node
		c.Expect(node.Status("").GetLeaving()).To(BeTrue())
		c.commit("winkel-1", "undrain daemon schuur-1", "undrain-1")
		time.Sleep(3 * time.Second)
		c.Expect(node.IsReady()).To(BeTrue())
		c.expectOneHolderEach()
		for range cap(done) {
			<-done
		}
		c.commit("winkel-1", "drain daemon schuur-1", "drain-2")
		time.Sleep(5 * time.Second)
		c.Expect(c.rows("winkel-1", "show daemons")).To(ContainElement(MatchRegexp(`^schuur-1 \| schuur \| drained \| `)))
		c.Expect(node.IsReady()).To(BeFalse())
		c.expectOneHolderEach()
	})
}

// Guards against an undrain that brings a daemon back while its process shuts down.
func TestUndrainDoesNotStopAShutdown(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		c.commit("winkel-1", "drain daemon schuur-1", "drain-1")
		time.Sleep(5 * time.Second)
		node := c.Daemon("schuur-1").Node
		c.Expect(node.Leave(context.Background())).To(Succeed())
		c.commit("winkel-1", "undrain daemon schuur-1", "undrain-1")
		time.Sleep(5 * time.Second)
		c.Expect(node.IsReady()).To(BeFalse())
		c.Expect(node.Status("").GetResourcesHeld()).To(BeZero())
	})
}
