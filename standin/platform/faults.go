package platform

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Faults are the injected faults. The zero value means none.
type Faults struct {
	// Outage refuses every call before it takes effect.
	Outage bool `json:"outage"`
	// Delay is added to every call, half before and half after its effect; nanoseconds in JSON. A
	// write takes effect even if its caller has cancelled it meanwhile.
	Delay time.Duration `json:"delay_ns"`
	// LoseNext is the number of writes from now on whose responses are lost after they take effect.
	LoseNext int `json:"lose_next"`
	// LoseShare is the share of writes, 0 to 1, whose responses are lost.
	LoseShare float64 `json:"lose_share"`
	// Cut are the source prefixes whose calls get no response.
	Cut []netip.Prefix `json:"cut"`
	// JoinLag is the delay until a new VM or a changed state appears in the VM list, and LeaveLag
	// the time for which a removed VM stays in it; nanoseconds in JSON.
	JoinLag  time.Duration `json:"join_lag_ns"`
	LeaveLag time.Duration `json:"leave_lag_ns"`
}

// refusal returns the error for a call from source, nil if no fault affects it.
func (f *Faults) refusal(source netip.Addr) error {
	for _, prefix := range f.Cut {
		if prefix.Contains(source) {
			return errCut
		}
	}
	if f.Outage {
		return errOutage
	}
	return nil
}

// loseAnswer decides whether the response of a write that took effect is lost.
func (f *Faults) loseAnswer() bool {
	if f.LoseNext > 0 {
		f.LoseNext--
		return true
	}
	return f.LoseShare > 0 && rand.Float64() < f.LoseShare
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	f.Cut = append([]netip.Prefix(nil), f.Cut...)
	return f
}

// SetFaults replaces all faults, also for watches that are waiting.
func (p *Platform) SetFaults(f Faults) { p.updateFaults(func(now *Faults) { *now = f }) }

// SetOutage starts or ends an outage.
func (p *Platform) SetOutage(on bool) { p.updateFaults(func(f *Faults) { f.Outage = on }) }

// SetDelay sets the time added to every call.
func (p *Platform) SetDelay(d time.Duration) { p.updateFaults(func(f *Faults) { f.Delay = d }) }

// LoseAnswers drops the responses of the next n writes after they take effect.
func (p *Platform) LoseAnswers(n int) { p.updateFaults(func(f *Faults) { f.LoseNext = n }) }

// LoseAnswerShare drops a share of the responses of writes, 0 to 1.
func (p *Platform) LoseAnswerShare(share float64) {
	p.updateFaults(func(f *Faults) { f.LoseShare = share })
}

// SetCut replaces the source prefixes whose calls get no response; none ends all cuts.
func (p *Platform) SetCut(prefixes ...netip.Prefix) {
	p.updateFaults(func(f *Faults) { f.Cut = prefixes })
}

// SetVMLag sets the delay with which the VM list shows new and removed VMs.
func (p *Platform) SetVMLag(join, leave time.Duration) {
	p.updateFaults(func(f *Faults) { f.JoinLag, f.LeaveLag = join, leave })
}

func (p *Platform) updateFaults(f func(*Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.faults)
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}
