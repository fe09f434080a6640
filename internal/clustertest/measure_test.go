package clustertest_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/internal/clustertest"
)

// controlBudget is the limit of control traffic of one daemon in bytes per second.
const controlBudget = 2000

func controlBytes(d *clustertest.Daemon) (sent, received int64) {
	for name, n := range d.Counters.Snapshot() {
		if strings.HasPrefix(name, "control.sent.") {
			sent += n
		}
		if strings.HasPrefix(name, "control.received.") {
			received += n
		}
	}
	return sent, received
}

// Guards against control traffic that grows with the number of daemons or exceeds the budget.
func TestControlTraffic(t *testing.T) {
	for _, n := range []int{6, 12, 24} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			inCluster(t, n, func(g *WithT, c *clustertest.Cluster, daemons []*clustertest.Daemon) {
				waitSettled(t, c, 2*time.Second)
				time.Sleep(10 * time.Second)
				before := make([]int64, n)
				beforeSent := int64(0)
				for i, d := range daemons {
					s, r := controlBytes(d)
					before[i] = s + r
					beforeSent += s
				}
				const period = 60
				time.Sleep(period * time.Second)
				most, sent := int64(0), -beforeSent
				for i, d := range daemons {
					s, r := controlBytes(d)
					most = max(most, (s+r-before[i])/period)
					sent += s
				}
				t.Logf("%d daemons: %d bytes/s sent by one on average, %d bytes/s sent and received by the busiest", n, sent/int64(n)/period, most)
				g.Expect(most).To(BeNumerically("<", controlBudget))
			})
		})
	}
}

// Guards against a recovery that takes longer than the 2.5 s of the design by half.
func TestTimeFromKillToRecovery(t *testing.T) {
	for _, n := range []int{6, 12, 24} {
		var times []time.Duration
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				c := clustertest.New(seed)
				c.Resources = clustertest.Partitions(1, 15)
				defer c.StopAll()
				daemons := start(c, n)
				waitSettled(t, c, 2*time.Second)
				time.Sleep(3*time.Second + time.Duration(seed)*13*time.Millisecond)
				daemons[int(seed)%n].Kill()
				times = append(times, waitSettled(t, c, 5*time.Second))
			})
		}
		slices.Sort(times)
		t.Logf("%d daemons, 20 kills: median %v, longest %v", n, times[len(times)/2], times[len(times)-1])
		NewWithT(t).Expect(times[len(times)-1]).To(BeNumerically("<", 3750*time.Millisecond))
	}
}
