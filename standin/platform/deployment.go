package platform

import (
	"net/netip"

	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/store"
)

// Ports of a daemon in the published deployments.
const (
	DataPort    = 7000
	PeerPort    = 7001
	ControlPort = 7002
)

// PutDeployment adds the VMs of a declaration to the VM list, except daemons without an address.
func (p *Platform) PutDeployment(d *declaration.Declaration) {
	for _, daemon := range d.Daemons {
		if !daemon.Address.IsValid() {
			continue
		}
		p.PutVM(store.VM{
			Name: daemon.Name, Kind: store.KindDaemon, Zone: daemon.Zone, State: store.StateLive,
			PeerAddress:    netip.AddrPortFrom(daemon.Address, PeerPort),
			ControlAddress: netip.AddrPortFrom(daemon.Address, ControlPort),
			DataAddress:    netip.AddrPortFrom(daemon.Address, DataPort),
		})
	}
	for _, u := range d.Upstreams {
		p.PutVM(store.VM{
			Name: u.Name, Kind: store.KindUpstream, Zone: u.Zone, State: store.StateLive,
			DataAddress: u.Address,
		})
	}
}
