package edge

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fulmarfield/fulmarfield/fleet"
	"github.com/fulmarfield/fulmarfield/platform"
)

// readyHandler serves the readiness check, by which routers decide whether to send packets to this
// daemon. A daemon without routes or upstreams would lose the opening packets that it received.
func (d *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := d.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// notReadyReason returns why the daemon is not ready, or "" if it is ready.
func (d *Daemon) notReadyReason() string {
	switch {
	case d.isLeaving.Load():
		return "leaving"
	case !d.catalog.Current().IsComplete():
		return "routes or upstreams are not known yet"
	default:
		return ""
	}
}

// adminHandler serves the records for other daemons, and the metrics: counters, distributions and
// the age of the records as text, one NAME VALUE per line.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleet.NewHandler(d.syncer))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		values := d.counters.Snapshot()
		maps.Copy(values, d.counters.Distributions())
		snapshot := d.catalog.Current()
		values["upstreams"] = int64(snapshot.UpstreamCount())
		for _, kind := range d.syncer.Kinds() {
			values[string(kind)+".kept"] = int64(d.syncer.KeptRecords(kind))
			values[string(kind)+".age_ms"] = ageMilliseconds(d.syncer.ValidatedAt(kind))
		}
		for _, e := range snapshot.Evacuations() {
			values["evacuation."+e.Zone+".age_ms"] = ageMilliseconds(e.Since)
		}
		if flows := d.loop.evacuatedFlows.Load(); flows != nil {
			for zone, count := range *flows {
				values["evacuation."+zone+".flows"] = int64(count)
			}
		}
		d.loop.holding.addGauges(values)
		values["upstreams.slow"] = d.loop.costs.slowUpstreams.Load()
		values["store_era"] = int64(d.syncer.Era())
		values["daemons"] = int64(d.fleet.DaemonCount())
		if snapshot.Config != nil {
			values["generation"] = snapshot.Config.Version
		}
		out := bufio.NewWriter(w)
		for _, name := range slices.Sorted(maps.Keys(values)) {
			_, _ = fmt.Fprintf(out, "%s %d\n", strings.ReplaceAll(name, ".", "_"), values[name])
		}
		// A client that has disconnected needs no error.
		_ = out.Flush()
	})
	return mux
}

// ageMilliseconds returns the milliseconds since a time, or -1 for the zero time.
func ageMilliseconds(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}
