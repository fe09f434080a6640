package daemon

import (
	"context"
	"errors"
	"sort"
	"sync"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/store"
)

// census asks the daemons and the platform for one operator's call. What it learns of the
// platform it asks for only once, since a waiting command asks the daemons many times.
type census struct {
	operatorService
	once      sync.Once
	reachable bool
	mu        sync.Mutex
	// listed tells of each daemon that cannot be asked whether the platform lists its VM.
	listed map[string]bool
	// confirmed names daemons that a waiting command need not ask again.
	confirmed map[string]bool
}

func (s operatorService) newCensus() *census {
	return &census{operatorService: s, listed: map[string]bool{}}
}

// askAll returns what an answer without figures rests on: a faulty line is answered like others.
func (s operatorService) askAll(ctx context.Context) *pb.Basis {
	basis, _ := s.newCensus().gather(ctx, &pb.StatusRequest{})
	return basis
}

// gather asks every daemon of the view for its status and says which answered. A daemon that
// did not is named as missing while it may still serve.
func (c *census) gather(ctx context.Context, r *pb.StatusRequest) (*pb.Basis, []*pb.StatusResponse) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	basis := c.basis()
	statuses := []*pb.StatusResponse{c.n.answerStatus(r)}
	ask, gone := c.roster()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range ask {
		if c.confirmed[string(m.ID)] {
			continue
		}
		wg.Go(func() {
			status, err := c.statusOf(ctx, m, r)
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
	wg.Go(func() { lost = c.stillListed(ctx, gone) })
	wg.Go(func() { c.once.Do(func() { c.reachable = c.reachesPlatform(ctx) }) })
	wg.Wait()
	basis.PlatformReachable = c.reachable
	basis.Missing = append(basis.Missing, lost...)
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].GetDaemon() < statuses[j].GetDaemon() })
	sort.Strings(basis.Missing)
	basis.Heard = nil
	for _, status := range statuses {
		basis.Heard = append(basis.Heard, status.GetDaemon())
	}
	return basis, statuses
}

// reachesPlatform makes one call to the store. The relay's last call may be long ago, since
// most daemons do not watch the store.
func (c *census) reachesPlatform(ctx context.Context) bool {
	_, err := c.n.store.Get(ctx, commit.HeadKey)
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrRateLimited)
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
func (c *census) stillListed(ctx context.Context, names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.list(ctx, names); err != nil {
		return names
	}
	var still []string
	for _, name := range names {
		if c.listed[name] {
			still = append(still, name)
		}
	}
	return still
}

// list reads the VM list when it has not been asked for one of the names. c.mu is held.
func (c *census) list(ctx context.Context, names []string) error {
	known := true
	for _, name := range names {
		_, ok := c.listed[name]
		known = known && ok
	}
	if known {
		return nil
	}
	lister, ok := c.n.store.(store.VMLister)
	if !ok {
		return errNoVMList
	}
	vms, err := lister.ListVMs(ctx)
	if err != nil {
		return err
	}
	for _, name := range names {
		c.listed[name] = false
	}
	for _, vm := range vms {
		if vm.Kind == store.KindDaemon {
			c.listed[vm.Name] = true
		}
	}
	return nil
}

// errNoVMList means that the store of a test has no VM list.
var errNoVMList = errors.New("platform gives no VM list")

func (s operatorService) statusOf(ctx context.Context, m membership.Member, r *pb.StatusRequest) (*pb.StatusResponse, error) {
	client, err := s.n.clients.Client(m.ID)
	if err != nil {
		return nil, err
	}
	response, err := client.Status(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
