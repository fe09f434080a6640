package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// ErrBadParameter reports a missing or malformed parameter of an admin call.
var ErrBadParameter = errors.New("bad parameter")

// Handler returns the admin interface of the stand-ins of a process. GET /report returns their
// reports in JSON, with the record of all runs if runs=true. POST requests inject faults into all
// stand-ins, or into the one named by upstream=NAME. The response is 204, or 400 with the reason:
//
//	/fault/drain|lie|freeze|silence?on=true|false  /fault/cold|pause?for=DURATION
//	/fault/shed|forget|mute?share=
func Handler(upstreams []*Upstream) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		reports := []Report{}
		for _, u := range selectUpstreams(upstreams, r.URL.Query()) {
			reports = append(reports, u.Report(r.URL.Query().Get("runs") == "true"))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reports)
	})
	post := func(name string, act func(*Upstream, url.Values) error) {
		mux.HandleFunc("POST /fault/"+name, func(w http.ResponseWriter, r *http.Request) {
			q := r.URL.Query()
			for _, u := range selectUpstreams(upstreams, q) {
				if err := act(u, q); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				u.config.Log.Info().Str("event", "fault").Str("upstream", u.config.Name).Str("fault", name).Str("query", r.URL.RawQuery).Send()
			}
			w.WriteHeader(http.StatusNoContent)
		})
	}
	post("drain", switchFault((*Upstream).Drain))
	post("lie", switchFault((*Upstream).ReportIdle))
	post("freeze", switchFault((*Upstream).FreezeLoadReport))
	post("silence", switchFault((*Upstream).SuppressReplies))
	post("cold", durationFault((*Upstream).ColdStart))
	post("pause", durationFault((*Upstream).Pause))
	post("shed", shareFault((*Upstream).Shed))
	post("forget", shareFault(func(u *Upstream, share float64) error { _, err := u.ForgetFlows(share); return err }))
	post("mute", shareFault(func(u *Upstream, share float64) error { _, err := u.MuteFlows(share); return err }))
	return mux
}

func selectUpstreams(upstreams []*Upstream, q url.Values) []*Upstream {
	name := q.Get("upstream")
	if name == "" {
		return upstreams
	}
	for _, u := range upstreams {
		if u.config.Name == name {
			return []*Upstream{u}
		}
	}
	return nil
}

func switchFault(set func(*Upstream, bool)) func(*Upstream, url.Values) error {
	return func(u *Upstream, q url.Values) error {
		on, err := strconv.ParseBool(q.Get("on"))
		if err != nil {
			return fmt.Errorf("%w: on=%q, allowed: true or false", ErrBadParameter, q.Get("on"))
		}
		set(u, on)
		return nil
	}
}

func durationFault(set func(*Upstream, time.Duration)) func(*Upstream, url.Values) error {
	return func(u *Upstream, q url.Values) error {
		d, err := time.ParseDuration(q.Get("for"))
		if err != nil || d < 0 {
			return fmt.Errorf("%w: for=%q, allowed: a duration such as 5s", ErrBadParameter, q.Get("for"))
		}
		set(u, d)
		return nil
	}
}

func shareFault(set func(*Upstream, float64) error) func(*Upstream, url.Values) error {
	return func(u *Upstream, q url.Values) error {
		share, err := strconv.ParseFloat(q.Get("share"), 64)
		if err != nil {
			return fmt.Errorf("%w: share=%q, allowed: 0 to 1", ErrBadParameter, q.Get("share"))
		}
		return set(u, share)
	}
}
