package daemon

import (
	"context"
	"net/netip"

	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/store"
)

// SeedsFrom returns a function that lists daemons to join: those at the given control addresses and
// those in the platform's VM list except self.
func SeedsFrom(self membership.DaemonID, peers []netip.AddrPort, vms store.VMLister) func(context.Context) ([]membership.Member, error) {
	return seedLister{self: self, peers: peers, vms: vms}.list
}

// seedLister lists daemons that may exist: those that the settings name and those in the platform's VM
// list. If the platform is unreachable, it lists only those that the settings name.
type seedLister struct {
	self  membership.DaemonID
	peers []netip.AddrPort
	vms   store.VMLister
}

func (l seedLister) list(ctx context.Context) ([]membership.Member, error) {
	var members []membership.Member
	for _, address := range l.peers {
		members = append(members, membership.Member{ControlAddress: address})
	}
	vms, err := l.vms.ListVMs(ctx)
	if err != nil && len(members) > 0 {
		return members, nil
	}
	if err != nil {
		return nil, err
	}
	for _, vm := range vms {
		id := membership.DaemonID(vm.Name)
		if vm.Kind != store.KindDaemon || id == l.self || !vm.ControlAddress.IsValid() {
			continue
		}
		members = append(members, membership.Member{
			ID: id, Zone: vm.Zone, PeerAddress: vm.PeerAddress, ControlAddress: vm.ControlAddress,
		})
	}
	return members, nil
}
