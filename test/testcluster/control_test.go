package testcluster

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// controlLimit is the limit of the control traffic that one daemon sends in bytes a second.
const controlLimit = 2000

// Guards against a daemon, not only the mean of them, that sends 2,000 bytes of control traffic a
// second or more in any minute of steady state and of planned and unplanned changes. Few flows on
// each upstream make the bound divert as many a second as in a deployment with several times the
// new flows. With the race detector, where a minute of 24 daemons takes minutes, there are 6
// daemons and the changes follow one another within one minute.
func TestControlTrafficLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := controlLoad{daemons: 24, opens: 20, meanLife: 20 * time.Second, serviceTime: 3 * time.Second}
		if raceEnabled {
			l.daemons = 6
		}
		r := startControlRun(t, l)
		defer r.cluster.Close()
		check := func(phase string, busiest float64) {
			if busiest >= controlLimit {
				t.Errorf("%s: a daemon sent %.0f bytes of control traffic a second, the limit is %d", phase, busiest, controlLimit)
			}
		}
		if !raceEnabled {
			r.phases(check)
			return
		}
		check("all changes", r.phase("all changes", 20*time.Second, func() {
			for _, change := range []func(){r.addUpstream, r.drainUpstream, r.killDaemon, r.joinDaemon} {
				r.load(10*time.Second, l.opens)
				change()
			}
		}))
	})
}

// TestMeasureControlTraffic prints the control bytes that whole daemons send, by kind. It runs
// only when asked for, since it takes minutes: FULMAR_MEASURE=1.
func TestMeasureControlTraffic(t *testing.T) {
	if os.Getenv("FULMAR_MEASURE") == "" {
		t.Skip("a measurement; set FULMAR_MEASURE=1")
	}
	for _, n := range []int{6, 12, 24} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startControlRun(t, controlLoad{daemons: n, opens: 42, meanLife: time.Minute, serviceTime: time.Second})
				defer r.cluster.Close()
				r.load(90*time.Second, r.opens) // What the start of all daemons has cost is paid.
				r.samples = map[string][]int64{}
				r.phases(func(string, float64) {})
			})
		})
	}
}
