package daemon

import (
	"context"
	"sort"
	"sync"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/platform"
)

// gather asks every daemon of the view for its status and says which answered. A daemon that
// did not is named as missing while it may still serve.
func (s operatorService) gather(ctx context.Context, caller string) (*pb.Basis, []*pb.StatusResponse) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	basis := s.basis()
	statuses := []*pb.StatusResponse{s.n.Status(caller)}
	ask, gone := s.roster()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range ask {
		wg.Go(func() {
			status, err := s.statusOf(ctx, m, caller)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				basis.Missing = append(basis.Missing, string(m.ID))
				return
			}
			statuses = append(statuses, status)
		})
	}
	var lost []string
	wg.Go(func() { lost = s.stillListed(ctx, gone) })
	wg.Wait()
	basis.Missing = append(basis.Missing, lost...)
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].GetDaemon() < statuses[j].GetDaemon() })
	sort.Strings(basis.Missing)
	basis.Heard = nil
	for _, status := range statuses {
		basis.Heard = append(basis.Heard, status.GetDaemon())
	}
	return basis, statuses
}

// roster returns the members to ask and the daemons that cannot be asked but may serve: those
// dropped from the view, which may be cut off, and declared ones that are not in the view. A
// member that left has handed over everything and ended.
func (s operatorService) roster() (ask []membership.Member, gone []string) {
	view := s.n.membership.View()
	for _, m := range view.Members {
		switch {
		case m.ID == s.n.self.ID || m.State == pb.MemberState_MEMBER_STATE_LEFT:
		case m.IsReachable():
			ask = append(ask, m)
		default:
			gone = append(gone, string(m.ID))
		}
	}
	for _, d := range s.n.relay.Current().Proto.GetDaemons() {
		if _, known := view.Member(membership.DaemonID(d.GetName())); !known {
			gone = append(gone, d.GetName())
		}
	}
	return ask, gone
}

// stillListed returns the names whose VM the platform still lists, or all of them when the
// list cannot be read: a VM that is not known to have ended may serve on its side of a cut.
func (s operatorService) stillListed(ctx context.Context, names []string) []string {
	if len(names) == 0 {
		return nil
	}
	lister, ok := s.n.store.(platform.VMLister)
	if !ok {
		return names
	}
	vms, err := lister.ListVMs(ctx)
	if err != nil {
		return names
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.Name] = vm.Kind == platform.KindDaemon
	}
	var still []string
	for _, name := range names {
		if listed[name] {
			still = append(still, name)
		}
	}
	return still
}

func (s operatorService) statusOf(ctx context.Context, m membership.Member, caller string) (*pb.StatusResponse, error) {
	client, err := s.n.clients.Client(m.ID)
	if err != nil {
		return nil, err
	}
	response, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{Caller: caller}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
