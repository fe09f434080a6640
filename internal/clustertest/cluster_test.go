package clustertest_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/internal/clustertest"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// waitSettled returns the time until each resource has exactly one active holder.
func waitSettled(t *testing.T, c *clustertest.Cluster, limit time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for !c.IsSettled() {
		if time.Since(began) > limit {
			r := c.Unsettled()[0]
			t.Fatalf("%d resources unsettled after %v, for example %+v with %d holders",
				len(c.Unsettled()), limit, r, len(c.Active(r)))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func inCluster(t *testing.T, n int, f func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := clustertest.New(1)
		c.Resources = clustertest.Partitions(2, 15)
		defer c.StopAll()
		daemons := c.StartAll(n)
		f(NewWithT(t), c, daemons)
		for _, d := range daemons {
			if len(d.Keeper.Misuse) > 0 {
				t.Errorf("%s: %v", d.Self.ID, d.Keeper.Misuse)
			}
		}
	})
}

// Guards against a start at which nobody, or more than one daemon, serves a resource.
func TestSimultaneousStart(t *testing.T) {
	inCluster(t, 6, func(g *WithT, c *clustertest.Cluster, _ []*clustertest.Daemon) {
		took := waitSettled(t, c, time.Second)
		t.Logf("all resources active after %v", took)
		time.Sleep(10 * time.Second)
		g.Expect(c.Unsettled()).To(BeEmpty())
		for _, r := range c.Resources {
			g.Expect(c.Active(r)[0].Keeper.Provenance(r)).To(Equal(ownership.Fresh))
		}
	})
}

// Guards against resources that stay without a holder after a daemon died.
func TestKill(t *testing.T) {
	inCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		time.Sleep(5 * time.Second)
		daemons[2].Kill()
		took := waitSettled(t, c, 4*time.Second)
		t.Logf("all resources active %v after the kill", took)
		g.Expect(took).To(BeNumerically("<", 3*time.Second))
	})
}

// Guards against records that are lost when a daemon leaves as planned.
func TestLeaveTransfersEverything(t *testing.T) {
	inCluster(t, 6, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		tokens := map[ownership.Resource]uint64{}
		for i, r := range c.Resources {
			holder := c.Active(r)[0].Keeper
			holder.AddFlow(r, uint32(i))
			tokens[r] = holder.Token(r)
		}
		began := time.Now()
		g.Expect(daemons[0].Leave()).To(Succeed())
		t.Logf("left after %v", time.Since(began))
		waitSettled(t, c, time.Second)
		for i, r := range c.Resources {
			holder := c.Active(r)[0].Keeper
			g.Expect(holder.HasFlow(r, uint32(i))).To(BeTrue())
			g.Expect(holder.Token(r)).To(Equal(tokens[r]), "the guard token must move along")
		}
	})
}

// Guards against a join that interrupts service or loses records.
func TestJoin(t *testing.T) {
	inCluster(t, 5, func(g *WithT, c *clustertest.Cluster, _ []*clustertest.Daemon) {
		waitSettled(t, c, time.Second)
		for i, r := range c.Resources {
			c.Active(r)[0].Keeper.AddFlow(r, uint32(i))
		}
		joined := c.Start("z0", 40)
		time.Sleep(2 * time.Second)
		g.Expect(joined.Ownership.NumHeld()).To(BeNumerically(">", 0))
		g.Expect(c.Unsettled()).To(BeEmpty())
		for i, r := range c.Resources {
			g.Expect(c.Active(r)[0].Keeper.HasFlow(r, uint32(i))).To(BeTrue())
		}
	})
}
