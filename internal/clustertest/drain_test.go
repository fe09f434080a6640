package clustertest_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/internal/clustertest"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// drainTime is longer than a handover without faults takes.
const drainTime = 3 * time.Second

// heldTokens returns the resources that a daemon serves with their guard tokens.
func heldTokens(c *clustertest.Cluster, d *clustertest.Daemon) map[ownership.Resource]uint64 {
	held := map[ownership.Resource]uint64{}
	for _, r := range c.Resources {
		if d.Handler.Serves(r) {
			held[r] = d.Handler.Token(r)
		}
	}
	return held
}

// drainAndUndrain drains and undrains a daemon three times. It returns the resources that the
// daemon held before and after, with their guard tokens.
func drainAndUndrain(t *testing.T, wait time.Duration) (before, after map[ownership.Resource]uint64) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		d := daemons[1]
		incarnation := d.Membership.SelfIncarnation()
		before = heldTokens(c, d)
		g.Expect(before).NotTo(BeEmpty())
		for r := range before {
			d.Handler.AddFlow(r, 7)
		}
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			_ = d.Drain(ctx) // Drain returns an error if ctx ends before the handover is complete.
			<-ctx.Done()
			cancel()
			d.Undrain()
			time.Sleep(3 * time.Second)
		}
		waitSettled(t, c, 12*time.Second)
		after = heldTokens(c, d)
		for r := range after {
			g.Expect(d.Handler.HasFlow(r, 7)).To(BeTrue())
		}
		g.Expect(d.Membership.SelfIncarnation()).To(BeNumerically(">", incarnation))
	})
	return before, after
}

// Guards against an undrain that loses records, changes a guard token or leaves the daemon
// without the resources that it held before the drain.
func TestUndrainRestoresHeldResources(t *testing.T) {
	for _, wait := range []time.Duration{100 * time.Millisecond, drainTime, 12 * time.Second} {
		before, after := drainAndUndrain(t, wait)
		NewWithT(t).Expect(after).To(Equal(before), "after drains of %v", wait)
	}
}

// Guards against an undrain during a transfer that loses records or leaves the daemon without the
// resources that it held before the drain. Guard tokens may change in this case.
func TestUndrainDuringATransfer(t *testing.T) {
	for _, wait := range []time.Duration{0, 500 * time.Microsecond, time.Millisecond, 1500 * time.Microsecond, 3 * time.Millisecond} {
		before, after := drainAndUndrain(t, wait)
		for r := range before {
			NewWithT(t).Expect(after).To(HaveKey(r), "after drains of %v", wait)
		}
	}
}

// Guards against a drained daemon that does not rejoin, or serves with its earlier guard tokens,
// after a pause during which the other daemons dropped it.
func TestUndrainAfterAPause(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		d := daemons[1]
		held := heldTokens(c, d)
		g.Expect(d.Drain(context.Background())).To(Succeed())
		d.Pause()
		time.Sleep(8 * time.Second)
		d.Resume()
		d.Undrain()
		waitSettled(t, c, 8*time.Second)
		time.Sleep(5 * time.Second)
		g.Expect(c.Unsettled()).To(BeEmpty())
		g.Expect(heldTokens(c, d)).To(HaveLen(len(held)))
		expectDistinctTokens(g, c)
	})
}

// Guards against a daemon that is paused during its handover, is undrained when it resumes, and
// then serves resources that other daemons recovered during the pause.
func TestPauseDuringHandover(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		d := daemons[1]
		held := heldTokens(c, d)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
		defer cancel()
		_ = d.Drain(ctx) // Returns an error, since ctx ends before the handover is complete.
		d.Pause()
		time.Sleep(6 * time.Second)
		d.Resume()
		d.Undrain()
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			expectDistinctTokens(g, c)
		}
		g.Expect(c.Unsettled()).To(BeEmpty())
		g.Expect(heldTokens(c, d)).To(HaveLen(len(held)))
	})
}
