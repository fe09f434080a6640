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

// statusCollector collects the statuses of the daemons and of the platform for one operator's call. It
// calls the platform only once, since a waiting command polls the daemons many times.
type statusCollector struct {
	operatorService
	platformOnce      sync.Once
	platformReachable bool
	// mu guards listed.
	mu sync.Mutex
	// listed caches for each unreachable daemon whether the platform lists its VM.
	listed map[string]bool
	// confirmed names the daemons that waitUntilInForce does not poll again.
	confirmed map[string]bool
}

func (s operatorService) newStatusCollector() *statusCollector {
	return &statusCollector{operatorService: s, listed: map[string]bool{}}
}

// collectFreshness returns the freshness metadata of a response without a table, such as that to an
// invalid line.
func (s operatorService) collectFreshness(ctx context.Context) *pb.Basis {
	freshness, _ := s.newStatusCollector().collect(ctx, &pb.StatusRequest{})
	return freshness
}

// collect requests the status of every reachable daemon and returns the statuses with the freshness
// metadata of the response. The metadata names a daemon that did not respond as missing if the daemon
// may still serve.
func (c *statusCollector) collect(ctx context.Context, r *pb.StatusRequest) (*pb.Basis, []*pb.StatusResponse) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	freshness := c.freshness()
	statuses := []*pb.StatusResponse{c.node.statusWithRoute(r)}
	reachable, unreachable := c.knownDaemons()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range reachable {
		if c.confirmed[string(m.ID)] {
			continue
		}
		wg.Go(func() {
			status, err := c.fetchStatus(ctx, m, r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				freshness.Missing = append(freshness.Missing, string(m.ID))
				return
			}
			statuses = append(statuses, status)
		})
	}
	var mayServe []string
	wg.Go(func() { mayServe = c.filterListed(ctx, unreachable) })
	wg.Go(func() { c.platformOnce.Do(func() { c.platformReachable = c.reachesPlatform(ctx) }) })
	wg.Wait()
	freshness.PlatformReachable = c.platformReachable
	freshness.Missing = append(freshness.Missing, mayServe...)
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].GetDaemon() < statuses[j].GetDaemon() })
	sort.Strings(freshness.Missing)
	freshness.Heard = nil
	for _, status := range statuses {
		freshness.Heard = append(freshness.Heard, status.GetDaemon())
	}
	return freshness, statuses
}

// reachesPlatform reports whether a call to the store succeeds. The relay's last call may be long ago,
// since most daemons do not watch the store.
func (c *statusCollector) reachesPlatform(ctx context.Context) bool {
	_, err := c.node.store.Get(ctx, commit.HeadKey)
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrRateLimited)
}

// knownDaemons returns the reachable members, and the names of unreachable daemons that may still
// serve: members that were dropped, which may be on the other side of a network partition, and
// declared daemons that are not in the view. It omits a member that left, which has handed over all
// resources and ended.
func (s operatorService) knownDaemons() (reachable []membership.Member, unreachable []string) {
	view := s.node.membership.View()
	for _, m := range view.Members {
		switch {
		case m.ID == s.node.self.ID || m.State == pb.MemberState_MEMBER_STATE_LEFT:
		case m.IsReachable():
			reachable = append(reachable, m)
		default:
			unreachable = append(unreachable, string(m.ID))
		}
	}
	for _, d := range s.node.relay.Current().Proto.GetDaemons() {
		if _, known := view.Member(membership.DaemonID(d.GetName())); !known {
			unreachable = append(unreachable, d.GetName())
		}
	}
	return reachable, unreachable
}

// filterListed returns the names whose VM the platform still lists, or all names if the list cannot be
// read: a VM that may still run may serve on its side of a network partition.
func (c *statusCollector) filterListed(ctx context.Context, names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.listVMs(ctx, names); err != nil {
		return names
	}
	var mayServe []string
	for _, name := range names {
		if c.listed[name] {
			mayServe = append(mayServe, name)
		}
	}
	return mayServe
}

// listVMs reads the VM list unless listed has all names. The caller holds c.mu.
func (c *statusCollector) listVMs(ctx context.Context, names []string) error {
	isCached := true
	for _, name := range names {
		_, ok := c.listed[name]
		isCached = isCached && ok
	}
	if isCached {
		return nil
	}
	lister, ok := c.node.store.(store.VMLister)
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

// errNoVMList reports a store that provides no VM list, as in some tests.
var errNoVMList = errors.New("platform gives no VM list")

// fetchStatus requests the status of another daemon.
func (s operatorService) fetchStatus(ctx context.Context, m membership.Member, r *pb.StatusRequest) (*pb.StatusResponse, error) {
	client, err := s.node.clients.Client(m.ID)
	if err != nil {
		return nil, err
	}
	response, err := client.Status(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
