package platform

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Faults are the faults in force. The zero value means none.
type Faults struct {
	// Outage refuses every call before it takes effect.
	Outage bool `json:"outage"`
	// Delay is added to every call, half before and half after its effect, in nanoseconds
	// in JSON. A write takes effect also when its caller has given up.
	Delay time.Duration `json:"delay_ns"`
	// LoseNext is the number of writes whose answers are lost after they take effect.
	LoseNext int `json:"lose_next"`
	// LoseShare is the share of writes, 0 to 1, whose answers are lost.
	LoseShare float64 `json:"lose_share"`
	// Cut are the source prefixes that the platform does not answer.
	Cut []netip.Prefix `json:"cut"`
	// JoinLag is how late a new VM or a changed state appears in the VM list, and LeaveLag
	// how long a removed VM stays in it; nanoseconds in JSON.
	JoinLag  time.Duration `json:"join_lag_ns"`
	LeaveLag time.Duration `json:"leave_lag_ns"`
}

// refusal returns the error of a call from source, or nil.
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

// loseAnswer decides whether the answer of a write that took effect is lost.
func (f *Faults) loseAnswer() bool {
	if f.LoseNext > 0 {
		f.LoseNext--
		return true
	}
	return f.LoseShare > 0 && rand.Float64() < f.LoseShare
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	f.Cut = append([]netip.Prefix(nil), f.Cut...)
	return f
}

// SetFaults replaces all faults and makes waiting watches notice.
func (p *Platform) SetFaults(f Faults) { p.change(func(now *Faults) { *now = f }) }

// SetOutage begins or ends an outage.
func (p *Platform) SetOutage(on bool) { p.change(func(f *Faults) { f.Outage = on }) }

// SetDelay sets the time added to every call.
func (p *Platform) SetDelay(d time.Duration) { p.change(func(f *Faults) { f.Delay = d }) }

// LoseAnswers loses the answers of the next n writes after they take effect.
func (p *Platform) LoseAnswers(n int) { p.change(func(f *Faults) { f.LoseNext = n }) }

// LoseAnswerShare loses a share of the answers of writes, 0 to 1.
func (p *Platform) LoseAnswerShare(share float64) { p.change(func(f *Faults) { f.LoseShare = share }) }

// SetCut replaces the source prefixes that get no answer; none ends all cuts.
func (p *Platform) SetCut(prefixes ...netip.Prefix) { p.change(func(f *Faults) { f.Cut = prefixes }) }

// SetVMLag sets how late the VM list shows new and removed VMs.
func (p *Platform) SetVMLag(join, leave time.Duration) {
	p.change(func(f *Faults) { f.JoinLag, f.LeaveLag = join, leave })
}

func (p *Platform) change(f func(*Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.faults)
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}
