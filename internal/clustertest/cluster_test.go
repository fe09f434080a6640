package clustertest_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/internal/clustertest"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// waitSettled waits until each resource has exactly one active holder and returns the time that
// this took.
func waitSettled(t *testing.T, c *clustertest.Cluster, limit time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for !c.IsSettled() {
		if time.Since(began) > limit {
			r := c.Unsettled()[0]
			t.Fatalf("%d resources unsettled after %v, for example %+v with %d holders",
				len(c.Unsettled()), limit, r, len(c.ActiveHolders(r)))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// runInCluster runs f in virtual time with a cluster of n daemons. It then checks that ownership called
// the resource handlers as their contract demands.
func runInCluster(t *testing.T, n int, f func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := clustertest.New(1)
		c.Resources = clustertest.PartitionsAndAdmissions(2, 15)
		defer c.StopAll()
		daemons := c.StartAll(n)
		f(NewWithT(t), c, daemons)
		for _, d := range daemons {
			if len(d.Handler.ContractViolations) > 0 {
				t.Errorf("%s: %v", d.Self.ID, d.Handler.ContractViolations)
			}
		}
	})
}

// Guards against resources without a holder, or with several, after all daemons start at the same
// time.
func TestSimultaneousStart(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, _ []*clustertest.Daemon) {
		took := waitSettled(t, c, time.Second)
		t.Logf("all resources active after %v", took)
		time.Sleep(10 * time.Second)
		g.Expect(c.Unsettled()).To(BeEmpty())
		for _, r := range c.Resources {
			g.Expect(c.ActiveHolders(r)[0].Handler.Provenance(r)).To(Equal(ownership.Fresh))
		}
	})
}

// Guards against resources that have no holder, or have one only after 3 s, after a daemon was killed.
func TestRecoveryAfterKill(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		time.Sleep(5 * time.Second)
		daemons[2].Kill()
		took := waitSettled(t, c, 4*time.Second)
		t.Logf("all resources active %v after the kill", took)
		g.Expect(took).To(BeNumerically("<", 3*time.Second))
	})
}

// Guards against records that are lost, or guard tokens that change, when a daemon shuts down
// gracefully.
func TestLeaveTransfersEverything(t *testing.T) {
	runInCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		tokens := map[ownership.Resource]uint64{}
		for i, r := range c.Resources {
			holder := c.ActiveHolders(r)[0].Handler
			holder.AddFlow(r, uint32(i))
			tokens[r] = holder.Token(r)
		}
		began := time.Now()
		g.Expect(daemons[0].Leave()).To(Succeed())
		t.Logf("left after %v", time.Since(began))
		waitSettled(t, c, time.Second)
		for i, r := range c.Resources {
			holder := c.ActiveHolders(r)[0].Handler
			g.Expect(holder.HasFlow(r, uint32(i))).To(BeTrue())
			g.Expect(holder.Token(r)).To(Equal(tokens[r]), "the guard token must be transferred")
		}
	})
}

// Guards against a joining daemon that interrupts the service of a resource or loses its records.
func TestJoinKeepsServiceAndRecords(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *clustertest.Cluster, _ []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		for i, r := range c.Resources {
			c.ActiveHolders(r)[0].Handler.AddFlow(r, uint32(i))
		}
		joined := c.Start("z0", 40)
		time.Sleep(2 * time.Second)
		g.Expect(joined.Ownership.NumHeld()).To(BeNumerically(">", 0))
		g.Expect(c.Unsettled()).To(BeEmpty())
		for i, r := range c.Resources {
			g.Expect(c.ActiveHolders(r)[0].Handler.HasFlow(r, uint32(i))).To(BeTrue())
		}
	})
}
