package daemon

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/platform"
)

// seedLister names daemons that may exist: those of the settings and of the platform's VM
// list. Without the platform the settings alone are used.
type seedLister struct {
	self  membership.DaemonID
	peers []netip.AddrPort
	vms   platform.VMLister
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
		if vm.Kind != platform.KindDaemon || id == l.self || !vm.ControlAddress.IsValid() {
			continue
		}
		members = append(members, membership.Member{
			ID: id, Zone: vm.Zone, PeerAddress: vm.PeerAddress, ControlAddress: vm.ControlAddress,
		})
	}
	return members, nil
}

// addressClients gives a connect client for an address that need not be in the view.
type addressClients interface {
	ClientAt(addr netip.AddrPort) fulmarfieldv1connect.PeerServiceClient
}

// fetchView asks a seed for its view.
func fetchView(clients addressClients) func(context.Context, membership.Member, *pb.GetViewRequest) (*pb.GetViewResponse, error) {
	return func(ctx context.Context, from membership.Member, request *pb.GetViewRequest) (*pb.GetViewResponse, error) {
		response, err := clients.ClientAt(from.ControlAddress).GetView(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	}
}
