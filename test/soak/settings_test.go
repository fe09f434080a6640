package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// settingsChanges is the number of changes of settings in a run.
	settingsChanges = 5
	// addressOverlap is for how long the store is served at its earlier address after the settings have changed.
	addressOverlap = 8 * time.Second
	// signalDelay is the time after a start from which a daemon handles signals.
	signalDelay = 300 * time.Millisecond
)

// statedFigures are bounds as the platform may state them. The bound for evacuations stays the same, so that
// daemons have to follow changes within it whatever the other bounds are.
var statedFigures = []string{"", "true", "false", "0", "10", "750.25", "2500.5", "3000.0", "2.9e3", "90000", "1e+21"}

// settingsText returns the content of a daemon's settings file. The caller holds d.mu, or is the only user of d.
func (c *cluster) settingsText(d *daemon) string {
	var b strings.Builder
	for _, line := range []string{
		fmt.Sprintf("name = daemon-%d", d.number), "zone = " + zoneName(d.number),
		fmt.Sprintf("packet-address = %s:%d", d.address, packetPort), fmt.Sprintf("ready-address = %s:%d", d.address, readyPort),
		fmt.Sprintf("admin-address = %s:%d", d.address, peerPort), fmt.Sprintf("store-address = %s", d.storeListener.Addr()),
		fmt.Sprintf("seeds = %s:1,%s:1", c.address(roleDaemons, 0, 1), c.address(roleDaemons, 1, 2)),
		fmt.Sprintf("evacuation-bound-ms = %d", evacuationBound.Milliseconds()),
	} {
		b.WriteString(line + "\n")
	}
	for name, figure := range d.figures {
		b.WriteString(name + " = " + figure + "\n")
	}
	return b.String()
}

// writeSettingsLocked replaces the settings file of a daemon. The caller holds d.mu, or is the only user of d.
func (c *cluster) writeSettingsLocked(d *daemon) {
	next := d.settings + ".next"
	err := os.WriteFile(next, []byte(c.settingsText(d)), 0o600)
	if err == nil {
		err = os.Rename(next, d.settings)
	}
	if err != nil {
		c.t.Errorf("write settings of daemon %d: %v", d.number, err)
	}
}

// injectSettingsChanges changes bounds and the address of the store in the settings of some daemons, with and without
// SIGHUP, at random times within the run. Their sequence is independent of that of the other faults.
func (r *soakRun) injectSettingsChanges(tasks *sync.WaitGroup, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	for range settingsChanges {
		at := time.Duration(random.Int64N(int64(*faultDuration)))
		figures := map[string]string{}
		for _, name := range []string{"configuration-bound-ms", "drain-bound-ms", "cold-overage", "cold-slack"} {
			figures[name] = statedFigures[random.IntN(len(statedFigures))]
		}
		figures["grace-seconds"] = []string{"", "true", "6", "6.5", "90000", "1e+21"}[random.IntN(6)]
		movesStore, signals, share := random.IntN(3) == 0, random.IntN(3), 0.2+0.8*random.Float64()
		var changed []*daemon
		for _, d := range r.daemons {
			if random.Float64() < share {
				changed = append(changed, d)
			}
		}
		tasks.Go(func() {
			time.Sleep(at)
			r.logEvent("settings of %d daemons change, %d SIGHUP, the store moves: %t, %v", len(changed), signals, movesStore, figures)
			for _, d := range changed {
				r.changeSettings(tasks, d, figures, movesStore, signals)
			}
		})
	}
}

// changeSettings changes the settings of a daemon and sends it SIGHUP a number of times.
func (r *soakRun) changeSettings(tasks *sync.WaitGroup, d *daemon, figures map[string]string, movesStore bool, signals int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.figures = figures
	if movesStore {
		r.moveStoreLocked(tasks, d)
	}
	r.writeSettingsLocked(d)
	if !d.isUp || time.Since(d.lastFaultLocked()) < signalDelay {
		return
	}
	for range signals {
		// The process may have been killed in the meantime.
		_ = d.process.Process.Signal(syscall.SIGHUP)
	}
}

// moveStoreLocked serves the store to a daemon at another address, and ends the service at the earlier one later. The
// caller holds d.mu.
func (r *soakRun) moveStoreLocked(tasks *sync.WaitGroup, d *daemon) {
	earlier := d.storeListener
	listener, err := net.Listen("tcp4", r.address(roleProxies, 0, 1).String()+":0")
	if err != nil {
		r.reportProblem("%v", err)
		return
	}
	d.storeListener = listener
	go d.storeProxy.serve(listener)
	tasks.Go(func() {
		time.Sleep(addressOverlap)
		d.storeProxy.closeListener(earlier)
	})
}
