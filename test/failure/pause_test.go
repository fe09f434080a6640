package failure

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

const (
	// pauseLength is long enough that the others drop a paused daemon and take over.
	pauseLength = 8 * time.Second
	// rejoinTime is the time after a pause in which the daemon takes its resources back.
	rejoinTime = 3 * time.Second
)

// Guards against a daemon that wakes from a pause and, before it notices, handles packets that
// queued meanwhile: it steers flows that another owner placed during the pause by its own table,
// to other upstreams. Their admissions send their guard tokens to the callers, whose next requests
// carry them and are reset by an upstream that does not know the flow. Routes to the daemon are not
// withdrawn here, so that many packets queue.
func TestWokenDaemonHarmsNoFlow(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				run(t, kelpiestone, seed, func(c *testcluster.Cluster, before *workload) {
					name := c.Declaration.Daemons[seed].Name
					c.Pause(name)
					time.Sleep(pauseLength / 2)
					during := startWorkload(t, c, 3*flowsPerTest, seed+100)
					time.Sleep(pauseLength / 2)
					c.Resume(name)
					time.Sleep(rejoinTime)
					failed := before.notOK() + during.notOK()
					time.Sleep(pauseLength)
					if n := before.notOK() + during.notOK() - failed; n > 0 {
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

// notOK returns the number of requests so far that did not get their answer.
func (w *workload) notOK() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, count := range w.statuses {
		if !strings.HasSuffix(name, " OK") {
			n += count
		}
	}
	return n
}
