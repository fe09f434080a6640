package clustertest_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/internal/clustertest"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// drainTime is longer than a hand-over without faults.
const drainTime = 3 * time.Second

// heldBy returns the guard tokens of the resources that a daemon serves.
func heldBy(c *clustertest.Cluster, d *clustertest.Daemon) map[ownership.Resource]uint64 {
	held := map[ownership.Resource]uint64{}
	for _, r := range c.Resources {
		if d.Keeper.Serves(r) {
			held[r] = d.Keeper.Token(r)
		}
	}
	return held
}

// undrainAfter drains and undrains a daemon three times and returns the guard tokens of what it
// held before and what it holds after it.
func undrainAfter(t *testing.T, wait time.Duration) (before, after map[ownership.Resource]uint64) {
	inCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		d := daemons[1]
		incarnation := d.Membership.SelfIncarnation()
		before = heldBy(c, d)
		g.Expect(before).NotTo(BeEmpty())
		for r := range before {
			d.Keeper.AddFlow(r, 7)
		}
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			_ = d.Drain(ctx) // Ends early with an error when the wait is short.
			<-ctx.Done()
			cancel()
			d.Undrain()
			time.Sleep(3 * time.Second)
		}
		waitSettled(t, c, 12*time.Second)
		after = heldBy(c, d)
		for r := range after {
			g.Expect(d.Keeper.HasFlow(r, 7)).To(BeTrue())
		}
		g.Expect(d.Membership.SelfIncarnation()).To(BeNumerically(">", incarnation))
	})
	return before, after
}

// Guards against an undrain that loses records, changes a guard token or leaves the daemon
// without its share.
func TestUndrainTakesTheShareBack(t *testing.T) {
	for _, wait := range []time.Duration{100 * time.Millisecond, drainTime, 12 * time.Second} {
		before, after := undrainAfter(t, wait)
		NewWithT(t).Expect(after).To(Equal(before), "after drains of %v", wait)
	}
}

// Guards against an undrain in the middle of a transfer that loses records or leaves the daemon
// without its share. Guard tokens may change here.
func TestUndrainDuringATransfer(t *testing.T) {
	for _, wait := range []time.Duration{0, 500 * time.Microsecond, time.Millisecond, 1500 * time.Microsecond, 3 * time.Millisecond} {
		before, after := undrainAfter(t, wait)
		for r := range before {
			NewWithT(t).Expect(after).To(HaveKey(r), "after drains of %v", wait)
		}
	}
}

// Guards against a drained daemon that was paused, so that the others took it for gone, and
// that does not find its way back or brings old guard tokens with it.
func TestUndrainAfterAPause(t *testing.T) {
	inCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		d := daemons[1]
		held := heldBy(c, d)
		g.Expect(d.Drain(context.Background())).To(Succeed())
		d.Pause()
		time.Sleep(8 * time.Second)
		d.Resume()
		d.Undrain()
		waitSettled(t, c, 8*time.Second)
		time.Sleep(5 * time.Second)
		g.Expect(c.Unsettled()).To(BeEmpty())
		g.Expect(heldBy(c, d)).To(HaveLen(len(held)))
		expectDistinctTokens(g, c)
	})
}

// Guards against a daemon that is paused in the middle of its hand-over and, undrained when it
// wakes, serves what the others recovered meanwhile.
func TestPauseDuringTheHandOver(t *testing.T) {
	inCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		d := daemons[1]
		held := heldBy(c, d)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
		defer cancel()
		_ = d.Drain(ctx) // Ends early with an error.
		d.Pause()
		time.Sleep(6 * time.Second)
		d.Resume()
		d.Undrain()
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			expectDistinctTokens(g, c)
		}
		g.Expect(c.Unsettled()).To(BeEmpty())
		g.Expect(heldBy(c, d)).To(HaveLen(len(held)))
	})
}
