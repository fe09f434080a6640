package testcluster

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// controlTrafficLimit limits the control traffic that one daemon sends, in bytes per second.
const controlTrafficLimit = 2000

// Guards against any single daemon sending 2,000 bytes of control traffic per second or more on
// average over a minute, in steady state and during planned and unplanned changes; the mean of all
// daemons would hide a busy one. With few flows on each upstream, the load bound diverts as many
// flows per second as in a deployment with several times the rate of new flows. With the race
// detector a minute of 24 daemons takes several minutes, so 6 daemons run all changes in one minute.
func TestControlTrafficLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := controlLoad{daemons: 24, openRate: 20, meanFlowLife: 20 * time.Second, serviceTime: 3 * time.Second}
		if raceEnabled {
			l.daemons = 6
		}
		r := startControlRun(t, l)
		defer r.cluster.Close()
		check := func(phase string, busiest float64) {
			if busiest >= controlTrafficLimit {
				t.Errorf("%s: a daemon sent %.0f bytes of control traffic a second, the limit is %d", phase, busiest, controlTrafficLimit)
			}
		}
		if !raceEnabled {
			r.runPhases(check)
			return
		}
		check("all changes", r.runPhase("all changes", 20*time.Second, func() {
			for _, change := range []func(){r.addUpstream, r.drainUpstream, r.killDaemon, r.joinDaemon} {
				r.runLoad(10*time.Second, l.openRate)
				change()
			}
		}))
	})
}

// TestMeasureControlTraffic prints the control bytes that daemons send, by kind of message. It takes
// minutes and runs only with FULMAR_MEASURE=1.
func TestMeasureControlTraffic(t *testing.T) {
	if os.Getenv("FULMAR_MEASURE") == "" {
		t.Skip("a measurement; set FULMAR_MEASURE=1")
	}
	for _, n := range []int{6, 12, 24} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startControlRun(t, controlLoad{daemons: n, openRate: 42, meanFlowLife: time.Minute, serviceTime: time.Second})
				defer r.cluster.Close()
				r.runLoad(90*time.Second, r.openRate) // Excludes the traffic of the start of all daemons.
				r.samples = map[string][]int64{}
				r.runPhases(func(string, float64) {})
			})
		})
	}
}
