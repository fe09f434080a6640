package platform

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

// vmList keeps every VM with the times of its changes, so that a lag can be applied at the
// time of a listing.
type vmList struct {
	entries map[string]*vmEntry
}

type vmEntry struct {
	// previous is what a lagging list still shows; its zero value means nothing.
	previous, current store.VM
	removed           bool
	changedAt         time.Time
}

// PutVM adds or changes a VM.
func (p *Platform) PutVM(vm store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms.entries == nil {
		p.vms.entries = map[string]*vmEntry{}
	}
	if vm.State == "" {
		vm.State = store.StateLive
	}
	e, ok := p.vms.entries[vm.Name]
	if !ok {
		p.vms.entries[vm.Name] = &vmEntry{current: vm, changedAt: time.Now()}
		return
	}
	shown, _ := e.shown(time.Now(), p.faults.JoinLag, p.faults.LeaveLag)
	*e = vmEntry{previous: shown, current: vm, changedAt: time.Now()}
}

// RemoveVM removes a VM; it does nothing when there is none of that name.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.vms.entries[name]; ok && !e.removed {
		shown, _ := e.shown(time.Now(), p.faults.JoinLag, p.faults.LeaveLag)
		*e = vmEntry{previous: shown, removed: true, changedAt: time.Now()}
	}
}

func (e *vmEntry) shown(now time.Time, joinLag, leaveLag time.Duration) (store.VM, bool) {
	lag := joinLag
	if e.removed {
		lag = leaveLag
	}
	vm := e.current
	if now.Sub(e.changedAt) < lag {
		vm = e.previous
	}
	return vm, vm.Name != ""
}

func (p *Platform) listVMs(ctx context.Context, source netip.Addr) ([]store.VM, error) {
	if err := p.begin(ctx, "vms", p.reads, source); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := []store.VM{}
	for _, e := range p.vms.entries {
		if vm, ok := e.shown(time.Now(), p.faults.JoinLag, p.faults.LeaveLag); ok {
			vms = append(vms, vm)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms, nil
}
