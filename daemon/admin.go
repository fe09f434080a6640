package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// adminHandler serves health checks and metrics. It calls neither the store nor other daemons.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.IsReady() {
			http.Error(w, n.notReadyReason(), http.StatusServiceUnavailable)
			return
		}
		writeLine(w, "ready")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.counters.Registry(), w)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		status := n.Status("")
		// A write error means that the client closed the connection.
		_ = json.NewEncoder(w).Encode(map[string]any{
			"daemon": status.GetDaemon(), "generation": status.GetGeneration(), "flows": status.GetFlowCount(),
			"resources": status.GetResourcesHeld(), "claiming": status.GetResourcesClaiming(), "counters": status.GetCounters(),
		})
	})
	return mux
}

// writeLine writes one line. It ignores errors, which mean that the client closed the connection.
func writeLine(w http.ResponseWriter, line string) { _, _ = fmt.Fprintln(w, line) }
