package failure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

const (
	hopkrans     = "../../deployments/hopkrans-hoeve.yaml"
	kelpiestone  = "../../deployments/kelpiestone-engraving.yaml"
	flowsPerTest = 60
	settleTime   = 4 * time.Second
	recoveryTime = 15 * time.Second
)

// runFaults starts a deployment under load, injects faults and returns the workload after it has
// ended and its invariants were checked.
func runFaults(t *testing.T, declaration string, seed uint64, inject func(c *testcluster.Cluster, w *workload)) *workload {
	c := testcluster.Start(t, testcluster.Options{Declaration: declaration, Seed: seed})
	defer c.Close()
	r, err := c.Apply(context.Background(), c.Declaration.Daemons[0].Name, "apply-1", "test")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(r.GetInForce()).To(HaveLen(6), "%v", r)
	w := startWorkload(t, c, flowsPerTest, seed)
	time.Sleep(settleTime)
	inject(c, w)
	time.Sleep(recoveryTime)
	w.finish()
	if t.Failed() || testing.Verbose() {
		w.report()
	}
	return w
}

func runCommand(t *testing.T, c *testcluster.Cluster, at, line string) {
	r, err := c.Run(context.Background(), at, line, "change-"+fmt.Sprint(time.Now().UnixNano()), "test")
	if err != nil || len(r.GetErrors()) > 0 {
		t.Errorf("%s: %v %v", line, err, r)
	}
}

// plannedChanges are the planned changes of a deployment. None may break a connection or interrupt a
// request.
var plannedChanges = map[string]func(t *testing.T, c *testcluster.Cluster){
	"drain an upstream": func(t *testing.T, c *testcluster.Cluster) {
		runCommand(t, c, c.Declaration.Daemons[0].Name, "drain upstream "+c.Declaration.Upstreams[2].Name)
	},
	"drain and undrain": func(t *testing.T, c *testcluster.Cluster) {
		runCommand(t, c, c.Declaration.Daemons[0].Name, "drain upstream "+c.Declaration.Upstreams[2].Name)
		time.Sleep(3 * time.Second)
		runCommand(t, c, c.Declaration.Daemons[1].Name, "undrain upstream "+c.Declaration.Upstreams[2].Name)
	},
	"change a limit": func(t *testing.T, c *testcluster.Cluster) {
		runCommand(t, c, c.Declaration.Daemons[2].Name, "set limit of "+c.Declaration.Services[0].Name+" queue-length 40")
	},
	"a daemon leaves": func(t *testing.T, c *testcluster.Cluster) { leave(t, c, c.Declaration.Daemons[3].Name) },
	"drain and undrain a daemon": func(t *testing.T, c *testcluster.Cluster) {
		drainFor(t, c, 5*time.Second)
	},
	"undrain a daemon during its hand-over": func(t *testing.T, c *testcluster.Cluster) {
		for _, pause := range []time.Duration{900 * time.Millisecond, 1100 * time.Millisecond, 1300 * time.Millisecond} {
			drainFor(t, c, pause)
			time.Sleep(2 * time.Second)
		}
	},
	"drain a daemon again at once": func(t *testing.T, c *testcluster.Cluster) {
		for range 2 {
			drainFor(t, c, 3*time.Second)
			time.Sleep(1200 * time.Millisecond)
		}
		runCommand(t, c, c.Declaration.Daemons[0].Name, "drain daemon "+c.Declaration.Daemons[3].Name)
	},
	"drain a daemon while another one leaves": func(t *testing.T, c *testcluster.Cluster) {
		runCommand(t, c, c.Declaration.Daemons[0].Name, "drain daemon "+c.Declaration.Daemons[3].Name)
		time.Sleep(time.Second)
		leave(t, c, c.Declaration.Daemons[1].Name)
		runCommand(t, c, c.Declaration.Daemons[0].Name, "undrain daemon "+c.Declaration.Daemons[3].Name)
	},
	"a daemon joins": func(_ *testing.T, c *testcluster.Cluster) { join(c) },
	"a daemon joins while another one leaves": func(t *testing.T, c *testcluster.Cluster) {
		join(c)
		leave(t, c, c.Declaration.Daemons[1].Name)
	},
	"drain an upstream while a daemon leaves": func(t *testing.T, c *testcluster.Cluster) {
		runCommand(t, c, c.Declaration.Daemons[0].Name, "drain upstream "+c.Declaration.Upstreams[4].Name)
		leave(t, c, c.Declaration.Daemons[4].Name)
	},
	"all daemons are replaced": func(t *testing.T, c *testcluster.Cluster) {
		join(c)
		time.Sleep(2 * time.Second)
		for _, d := range c.Declaration.Daemons {
			leave(t, c, d.Name)
			time.Sleep(2 * time.Second)
			c.StartDaemon(d.Name, d.Zone, d.Address)
			time.Sleep(3 * time.Second)
		}
	},
}

// drainFor drains a daemon, undrains it after a time and checks that it serves again.
func drainFor(t *testing.T, c *testcluster.Cluster, wait time.Duration) {
	name := c.Declaration.Daemons[3].Name
	runCommand(t, c, c.Declaration.Daemons[0].Name, "drain daemon "+name)
	time.Sleep(wait)
	runCommand(t, c, c.Declaration.Daemons[1].Name, "undrain daemon "+name)
	time.Sleep(5 * time.Second)
	if s := c.Daemon(name).Node.Status(""); s.GetLeaving() || s.GetResourcesHeld() == 0 {
		t.Errorf("%s after an undrain: leaving %t, %d resources", name, s.GetLeaving(), s.GetResourcesHeld())
	}
}

func join(c *testcluster.Cluster) {
	zone := c.Declaration.Zones[0]
	c.StartDaemon(zone+"-3", zone, netip.MustParseAddr("127.1.1.3"))
}

func leave(t *testing.T, c *testcluster.Cluster, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.Stop(ctx, name); err != nil {
		t.Errorf("leave of %s: %v", name, err)
	}
}

// Guards against a planned change that breaks an established flow or interrupts a request.
func TestPlannedChangesBreakNothing(t *testing.T) {
	for _, declaration := range []string{hopkrans, kelpiestone} {
		for name, change := range plannedChanges {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					w := runFaults(t, declaration, 1, func(c *testcluster.Cluster, _ *workload) { change(t, c) })
					if len(w.broken) > 0 || w.statuses["non-idempotent OUTCOME_UNKNOWN stale_guard"] > 0 {
						t.Errorf("%d flows broke", len(w.broken))
						w.report()
					}
				})
			})
		}
	}
}

// faults are the faults that may happen at any time. The invariants must hold under each fault and under
// each pair of faults.
var faults = map[string]func(c *testcluster.Cluster, seed uint64){
	"kill": func(c *testcluster.Cluster, seed uint64) {
		live := c.Live()
		c.Kill(string(live[seed%uint64(len(live))].Member.ID))
	},
	"cut zones": func(c *testcluster.Cluster, _ uint64) {
		c.Cut(1, 2)
		time.Sleep(6 * time.Second)
		c.Heal(1, 2)
	},
	"cut a zone off": func(c *testcluster.Cluster, _ uint64) {
		for _, other := range []int{1, 3, 4, testcluster.PlatformZone} {
			c.Cut(2, other)
		}
		time.Sleep(6 * time.Second)
		for _, other := range []int{1, 3, 4, testcluster.PlatformZone} {
			c.Heal(2, other)
		}
	},
	"platform outage": func(c *testcluster.Cluster, _ uint64) {
		c.Platform.SetOutage(true)
		time.Sleep(6 * time.Second)
		c.Platform.SetOutage(false)
	},
	"lossy network": func(c *testcluster.Cluster, seed uint64) {
		c.Tamper(lossyNetwork(seed))
		time.Sleep(6 * time.Second)
		c.Tamper(nil)
	},
	"silent flows": func(c *testcluster.Cluster, _ uint64) {
		_, _ = c.Upstreams[c.Declaration.Upstreams[1].Name].MuteFlows(0.5)
	},
	"shedding upstream": func(c *testcluster.Cluster, _ uint64) {
		_ = c.Upstreams[c.Declaration.Upstreams[0].Name].Shed(0.5)
	},
	"silent upstream": func(c *testcluster.Cluster, _ uint64) {
		u := c.Upstreams[c.Declaration.Upstreams[3].Name]
		u.SuppressReplies(true)
		time.Sleep(6 * time.Second)
		u.SuppressReplies(false)
	},
}

// lossyNetwork drops 3 % of datagrams, duplicates 3 % and delays 10 % by up to 20 ms.
func lossyNetwork(seed uint64) func(_, _ netip.AddrPort, _ []byte, delay time.Duration) []time.Duration {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(_, _ netip.AddrPort, _ []byte, delay time.Duration) []time.Duration {
		mu.Lock()
		defer mu.Unlock()
		switch n := rng.IntN(100); {
		case n < 3:
			return nil
		case n < 6:
			return []time.Duration{delay, delay + time.Duration(rng.IntN(20))*time.Millisecond}
		case n < 16:
			return []time.Duration{delay + time.Duration(rng.IntN(20))*time.Millisecond}
		}
		return []time.Duration{delay}
	}
}

// Guards against a single fault that violates an invariant: a non-idempotent request that runs twice
// or runs although it was answered not run, a wrong answer, or a packet at a wrong service.
func TestInvariantsUnderEachFault(t *testing.T) {
	for name, fault := range faults {
		for seed := uint64(1); seed <= 2; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					runFaults(t, hopkrans, seed, func(c *testcluster.Cluster, _ *workload) { fault(c, seed) })
				})
			})
		}
	}
}

// Guards against two overlapping faults, of different kinds or the same, that violate an invariant
// which holds under each of them alone.
func TestInvariantsUnderPairsOfFaults(t *testing.T) {
	for first, a := range faults {
		for second, b := range faults {
			if second < first {
				continue
			}
			t.Run(first+" and "+second, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					runFaults(t, kelpiestone, 5, func(c *testcluster.Cluster, _ *workload) {
						var wg sync.WaitGroup
						wg.Go(func() { a(c, 1) })
						time.Sleep(time.Second)
						wg.Go(func() { b(c, 2) })
						wg.Wait()
					})
				})
			})
		}
	}
}
