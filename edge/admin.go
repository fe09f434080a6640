package edge

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/fleet"
	"github.com/fulmarfield/fulmarfield/platform"
)

// readyHandler tells routers whether to send packets here. A daemon without routes or upstreams
// would lose the opening packets that it attracts.
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

// adminHandler serves counters, distributions and the age of the state as text, one NAME VALUE a line.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleet.NewHandler(d.follower))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		values := d.counters.Snapshot()
		maps.Copy(values, d.counters.Distributions())
		snapshot := d.catalog.Current()
		values["upstreams"] = int64(snapshot.Upstreams())
		for _, kind := range discovery.Kinds() {
			values[string(kind)+".age_ms"] = age(d.follower.ValidatedAt(kind))
		}
		values["daemons"] = int64(d.fleet.DaemonCount())
		if snapshot.Config != nil {
			values["generation"] = snapshot.Config.Version
		}
		out := bufio.NewWriter(w)
		for _, name := range slices.Sorted(maps.Keys(values)) {
			_, _ = fmt.Fprintf(out, "%s %d\n", strings.ReplaceAll(name, ".", "_"), values[name])
		}
		// A reader that went away needs no error.
		_ = out.Flush()
	})
	return mux
}

// age returns milliseconds since a time, -1 for one that never was.
func age(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}
