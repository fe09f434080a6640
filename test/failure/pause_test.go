package failure

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

const (
	// pauseLength is long enough for the other daemons to drop a paused daemon and take over its
	// resources.
	pauseLength = 8 * time.Second
	// rejoinTime is the time after a pause in which the daemon claims its resources again.
	rejoinTime = 3 * time.Second
	// dataPort is the port at which daemons receive packets, and arrivalTime bounds their way there.
	dataPort    = 7000
	arrivalTime = 20 * time.Millisecond
)

// Guards against a daemon that resumes from a pause and handles queued packets before it detects the
// pause. By its stale table it steers flows that another owner placed during the pause to other
// upstreams. The admission holders of those upstreams send their guard tokens to the callers, whose
// next requests carry them and are reset by an upstream that does not know the flow. The route to the
// daemon is not withdrawn here, so that many packets queue.
func TestResumedDaemonBreaksNoFlow(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				runFaults(t, kelpiestone, seed, func(c *testcluster.Cluster, before *workload) {
					name := c.Declaration.Daemons[seed].Name
					c.Pause(name)
					time.Sleep(pauseLength / 2)
					during := startWorkload(t, c, 3*flowsPerTest, seed+100)
					time.Sleep(pauseLength / 2)
					c.Resume(name)
					time.Sleep(rejoinTime)
					failed := before.failedRequests() + during.failedRequests()
					time.Sleep(pauseLength)
					if n := before.failedRequests() + during.failedRequests() - failed; n > 0 {
						t.Errorf("%d requests failed later than %s after the pause", n, rejoinTime)
					}
					during.finish()
					if broken := slices.Concat(before.broken, during.broken); len(broken) > 0 {
						t.Errorf("%d flows broke: %v", len(broken), broken)
					}
				})
			})
		})
	}
}

// failedRequests returns the number of requests so far that were not answered OK.
func (w *workload) failedRequests() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, count := range w.statuses {
		if !strings.HasSuffix(name, " OK") {
			n += count
		}
	}
	return n
}

// Guards against daemons that handle packets which waited in the socket while their VM was suspended, as if
// they still held what other daemons took over meanwhile.
func TestPacketsOfSuspensionAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		c := testcluster.Start(t, testcluster.Options{Declaration: kelpiestone, Seed: 1,
			Suspended: func() time.Duration { return time.Duration(suspended.Load()) }})
		defer c.Close()
		g := NewWithT(t)
		time.Sleep(settleTime)
		d := c.Daemon(c.Declaration.Daemons[0].Name)
		dropped := func() int64 { return d.Node.Counters().Get("drop.paused") }
		send := func() {
			to := netip.AddrPortFrom(d.Member.ControlAddress.Addr(), dataPort)
			g.Expect(c.Send(to, []byte("packet"))).To(Succeed())
			time.Sleep(arrivalTime)
		}
		send()
		g.Expect(dropped()).To(BeZero())
		suspended.Store(int64(pauseLength))
		send()
		g.Expect(dropped()).To(BeNumerically(">=", 1))
	})
}
