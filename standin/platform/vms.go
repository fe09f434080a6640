package platform

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

// vmList holds each VM with the time of its last change, so that a listing can apply the lags that
// are set when it runs.
type vmList struct {
	entries map[string]*vmEntry
}

type vmEntry struct {
	// previous is the VM as a list shows it during the lag; its zero value means that it is absent.
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
	listedVM, _ := e.listedVM(time.Now(), p.faults.JoinLag, p.faults.LeaveLag)
	*e = vmEntry{previous: listedVM, current: vm, changedAt: time.Now()}
}

// RemoveVM removes a VM. It does nothing if there is no VM with that name.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.vms.entries[name]; ok && !e.removed {
		listedVM, _ := e.listedVM(time.Now(), p.faults.JoinLag, p.faults.LeaveLag)
		*e = vmEntry{previous: listedVM, removed: true, changedAt: time.Now()}
	}
}

// listedVM returns the VM as a list shows it at a time, and false if the list does not contain it.
func (e *vmEntry) listedVM(now time.Time, joinLag, leaveLag time.Duration) (store.VM, bool) {
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
	if err := p.beginCall(ctx, "vms", p.reads, source); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := []store.VM{}
	for _, e := range p.vms.entries {
		if vm, ok := e.listedVM(time.Now(), p.faults.JoinLag, p.faults.LeaveLag); ok {
			vms = append(vms, vm)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms, nil
}
