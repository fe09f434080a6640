package fabric

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sort"
	"strconv"
	"time"
)

// ErrBadParameter reports a missing or malformed parameter of an admin call.
var ErrBadParameter = errors.New("bad parameter")

const allDatagrams = 1.0

// Handler returns the admin interface of the fabric. GET /counters and GET /state respond with JSON.
// All other calls are POST with parameters in the query; the response is 204, or 400 with the reason:
//
//	/daemons/add?address=IP[:PORT]&weight=N  /daemons/remove?address=IP[:PORT]
//	/vms/add?vm=IP[-HOST]
//	/cut?a=ZONE&b=ZONE  /cut?vm=IP  /heal?a=&b=  /heal?vm=  /heal (everything)
//	/loss?share=  /duplicate?share=  /delay?share=&min=DURATION&max=DURATION
//	/blackhole?share=&seed=&hop=upstream|caller|all&service=IP:PORT
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.counters.Snapshot()) })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.State()) })
	post := func(path string, act func(url.Values) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if err := act(r.URL.Query()); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			f.config.Log.Info().Str("event", "admin_change").Str("path", path).Str("query", r.URL.RawQuery).Send()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	post("/daemons/add", f.adminAddDaemon)
	post("/daemons/remove", f.adminRemoveDaemon)
	post("/vms/add", f.adminAddVMs)
	post("/cut", func(q url.Values) error { return f.adminCut(q, f.CutVM, f.CutZones) })
	post("/heal", func(q url.Values) error {
		if len(q) == 0 {
			f.HealAll()
			return nil
		}
		return f.adminCut(q, f.HealVM, f.HealZones)
	})
	post("/loss", func(q url.Values) error { return applyShare(q, f.SetLoss) })
	post("/duplicate", func(q url.Values) error { return applyShare(q, f.SetDuplication) })
	post("/delay", f.adminDelay)
	post("/blackhole", f.adminBlackhole)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func badParameter(name string, q url.Values, allowed string) error {
	return fmt.Errorf("%w: %s=%q, allowed: %s", ErrBadParameter, name, q.Get(name), allowed)
}

// dataAddress parses a balancer's address; the default port is the data port of the plan.
func dataAddress(q url.Values) (netip.AddrPort, error) {
	if a, err := netip.ParseAddr(q.Get("address")); err == nil {
		return netip.AddrPortFrom(a, DataPort), nil
	}
	a, err := netip.ParseAddrPort(q.Get("address"))
	if err != nil {
		return a, badParameter("address", q, "IP or IP:PORT")
	}
	return a, nil
}

func (f *Fabric) adminAddDaemon(q url.Values) error {
	a, err := dataAddress(q)
	if err != nil {
		return err
	}
	weight := 1
	if q.Has("weight") {
		if weight, err = strconv.Atoi(q.Get("weight")); err != nil || weight < 0 {
			return badParameter("weight", q, "0 or more")
		}
	}
	f.AddDaemon(a, weight)
	return nil
}

func (f *Fabric) adminRemoveDaemon(q url.Values) error {
	a, err := dataAddress(q)
	if err != nil {
		return err
	}
	f.RemoveDaemon(a)
	return nil
}

func (f *Fabric) adminAddVMs(q url.Values) error {
	vms, err := ParseVMs(q.Get("vm"))
	if err != nil {
		return err
	}
	for _, vm := range vms {
		if err := f.RegisterVM(vm); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fabric) adminCut(q url.Values, onVM func(netip.Addr), onZones func(a, b uint8)) error {
	if q.Has("vm") {
		vms, err := ParseVMs(q.Get("vm"))
		if err != nil {
			return err
		}
		for _, vm := range vms {
			onVM(vm)
		}
		return nil
	}
	a, err := zoneParameter(q, "a")
	if err != nil {
		return err
	}
	b, err := zoneParameter(q, "b")
	if err != nil {
		return err
	}
	onZones(a, b)
	return nil
}

func zoneParameter(q url.Values, name string) (uint8, error) {
	n, err := strconv.ParseUint(q.Get(name), 10, 8)
	if err != nil || n == 0 {
		return 0, badParameter(name, q, "zone number 1 to 255")
	}
	return uint8(n), nil
}

func applyShare(q url.Values, set func(float64) error) error {
	share, err := strconv.ParseFloat(q.Get("share"), 64)
	if err != nil {
		return badParameter("share", q, "0 to 1")
	}
	return set(share)
}

func (f *Fabric) adminDelay(q url.Values) error {
	d := Delay{Share: allDatagrams}
	var err error
	if q.Has("share") {
		if d.Share, err = strconv.ParseFloat(q.Get("share"), 64); err != nil {
			return badParameter("share", q, "0 to 1")
		}
	}
	if d.Max, err = time.ParseDuration(q.Get("max")); err != nil {
		return badParameter("max", q, "a duration such as 5ms")
	}
	if q.Has("min") {
		if d.Min, err = time.ParseDuration(q.Get("min")); err != nil {
			return badParameter("min", q, "a duration such as 1ms")
		}
	}
	return f.SetDelay(d)
}

func (f *Fabric) adminBlackhole(q url.Values) error {
	hop := HopUpstream
	if q.Has("hop") {
		hop = Hop(q.Get("hop"))
	}
	var service netip.AddrPort
	var err error
	if q.Has("service") {
		if service, err = netip.ParseAddrPort(q.Get("service")); err != nil {
			return badParameter("service", q, "IP:PORT")
		}
	}
	seed := f.config.Seed
	if q.Has("seed") {
		if seed, err = strconv.ParseUint(q.Get("seed"), 10, 64); err != nil {
			return badParameter("seed", q, "a number")
		}
	}
	return applyShare(q, func(share float64) error {
		affected, err := f.Blackhole(share, hop, seed, service)
		f.counters.Add("blackholed_flows", int64(affected))
		return err
	})
}

// State holds the list of balancers and the injected faults.
type State struct {
	Daemons    map[string]int `json:"daemons"` // data address to weight
	CutZones   [][2]uint8     `json:"cut_zones"`
	CutVMs     []string       `json:"cut_vms"`
	Loss       float64        `json:"loss"`
	Duplicate  float64        `json:"duplicate"`
	Delay      Delay          `json:"delay"`
	Blackholed int64          `json:"blackholed_flows"`
}

// State returns the list of balancers and the injected faults.
func (f *Fabric) State() State {
	r := f.rules.Load()
	s := State{
		Daemons: map[string]int{}, CutZones: [][2]uint8{}, CutVMs: []string{},
		Loss: r.loss, Duplicate: r.duplicate, Delay: r.delay, Blackholed: f.flows.blackholedCount.Load(),
	}
	for _, t := range r.targets {
		s.Daemons[t.dataAddress.String()] = t.weight
	}
	for p := range r.cutZones {
		s.CutZones = append(s.CutZones, [2]uint8{p.low, p.high})
	}
	for vm := range r.cutVMs {
		s.CutVMs = append(s.CutVMs, vm.String())
	}
	sort.Slice(s.CutZones, func(i, j int) bool {
		a, b := s.CutZones[i], s.CutZones[j]
		return a[0] < b[0] || (a[0] == b[0] && a[1] < b[1])
	})
	sort.Strings(s.CutVMs)
	return s
}
