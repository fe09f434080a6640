package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

// Admin paths of the stand-in. Faults do not affect their calls, and Calls does not count them.
const (
	PathFaults = "/admin/faults"
	PathCalls  = "/admin/calls"
	PathVM     = "/admin/vms/"
)

// maxWatchWait limits the duration of a watch, whatever the request's Prefer header says.
const maxWatchWait = 60 * time.Second

// Handler returns the HTTP interface: /v1/objects/KEY with conditional requests,
// /v1/objects?prefix=, /v1/vms, and the admin paths.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.PathObjects+"/{key...}", p.serveGet)
	mux.HandleFunc("PUT "+store.PathObjects+"/{key...}", p.servePut)
	mux.HandleFunc("DELETE "+store.PathObjects+"/{key...}", p.serveDelete)
	mux.HandleFunc("GET "+store.PathObjects, p.serveList)
	mux.HandleFunc("GET "+store.PathVMs, p.serveVMs)
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("PUT "+PathFaults, p.serveSetFaults)
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	mux.HandleFunc("DELETE "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		p.ResetCalls()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT "+PathVM+"{name}", p.servePutVM)
	mux.HandleFunc("DELETE "+PathVM+"{name}", func(w http.ResponseWriter, r *http.Request) {
		p.RemoveVM(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	tag := r.Header.Get("If-None-Match")
	wait := waitPreference(r.Header.Get("Prefer"))
	if tag == "" || wait == 0 {
		o, err := p.get(r.Context(), sourceAddress(r), key)
		if err == nil && tag != "" && store.ParseETag(tag) == o.Version {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		writeObject(w, o, err)
		return
	}
	o, changed, err := p.watch(r.Context(), sourceAddress(r), key, store.ParseETag(tag), wait)
	if err == nil && !changed {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeObject(w, o, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		respondError(w, store.ErrTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "body is incomplete", http.StatusBadRequest)
		return
	}
	c, err := parseCondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := p.put(r.Context(), sourceAddress(r), r.PathValue("key"), value, c)
	if err != nil {
		respondError(w, err)
		return
	}
	w.Header().Set("ETag", store.FormatETag(version))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	c, err := parseCondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.remove(r.Context(), sourceAddress(r), r.PathValue("key"), c); err != nil {
		respondError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	entries, err := p.list(r.Context(), sourceAddress(r), r.URL.Query().Get("prefix"))
	if err != nil {
		respondError(w, err)
		return
	}
	writeJSON(w, entries)
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := p.listVMs(r.Context(), sourceAddress(r))
	if err != nil {
		respondError(w, err)
		return
	}
	writeJSON(w, vms)
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) servePutVM(w http.ResponseWriter, r *http.Request) {
	var vm store.VM
	if !readJSON(w, r, &vm) {
		return
	}
	vm.Name = r.PathValue("name")
	p.PutVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeObject(w http.ResponseWriter, o store.Object, err error) {
	if err != nil {
		respondError(w, err)
		return
	}
	w.Header().Set("ETag", store.FormatETag(o.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

// respondError translates an error of the core into a response. For a lost response and a cut
// source it closes the connection without a response.
func respondError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errAnswerLost), errors.Is(err, errCut):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, store.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func parseCondition(r *http.Request) (store.Condition, error) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match != "" && none != "":
		return store.Condition{}, errors.New("both If-Match and If-None-Match are given")
	case none == "*":
		return store.IfAbsent(), nil
	case none != "":
		return store.Condition{}, errors.New("If-None-Match of a write must be *")
	case match == "":
		return store.Always(), nil
	}
	version := store.ParseETag(match)
	if version == 0 {
		return store.Condition{}, errors.New("If-Match is not one entity tag of this store")
	}
	return store.IfVersion(version), nil
}

// waitPreference returns the duration of the long poll that a Prefer header requests, 0 for none.
func waitPreference(header string) time.Duration {
	for preference := range strings.SplitSeq(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(preference), "wait="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return min(time.Duration(seconds)*time.Second, maxWatchWait)
			}
		}
	}
	return 0
}

func sourceAddress(r *http.Request) netip.Addr {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	addr, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}
	}
	return addr.Unmap()
}
