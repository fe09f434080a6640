package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// adminHandler serves health checks and metrics; it needs neither the store nor peers.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.IsReady() {
			http.Error(w, n.notReadyReason(), http.StatusServiceUnavailable)
			return
		}
		reply(w, "ready")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.counters.Registry(), w)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		status := n.Status("")
		// The reader that went away needs no error.
		_ = json.NewEncoder(w).Encode(map[string]any{
			"daemon": status.GetDaemon(), "generation": status.GetGeneration(), "flows": status.GetFlowCount(),
			"resources": status.GetResourcesHeld(), "claiming": status.GetResourcesClaiming(), "counters": status.GetCounters(),
		})
	})
	return mux
}

// reply writes one line; a prober that went away needs no error.
func reply(w http.ResponseWriter, line string) { _, _ = fmt.Fprintln(w, line) }
