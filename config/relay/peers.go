package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/membership"
)

const (
	// maxPushes limits the pushes of one watcher for one change. Daemons beyond the limit receive
	// the generation number by probes, which spread it in a few rounds of 250 ms.
	maxPushes = 32
	// pushConcurrency limits the concurrent pushes of one watcher.
	pushConcurrency = 8
	// peerTimeout limits one call to a peer. It is far above the latency between daemons, so that
	// only a call to an unreachable or overloaded peer times out.
	peerTimeout = time.Second
	// bootstrapPeers is the number of peers that a starting daemon requests the configuration from
	// in one round.
	bootstrapPeers = 3
	// Back-off between pulls that fail.
	firstPullBackoff = 100 * time.Millisecond
	maxPullBackoff   = 5 * time.Second
	// bootstrapInterval is the pause between the rounds of a starting daemon.
	bootstrapInterval = 250 * time.Millisecond
)

// HandleGet responds to a peer's request for a configuration newer than the peer's own.
func (r *Relay) HandleGet(request *pb.GetConfigurationRequest) *pb.GetConfigurationResponse {
	response := &pb.GetConfigurationResponse{Generation: r.Current().Generation()}
	if response.GetGeneration() > request.GetHaveGeneration() {
		response.Configuration, response.Delta = r.updateSince(request.GetHaveGeneration())
		r.countRelayed(response)
	}
	return response
}

// HandlePush puts a pushed configuration in force if it is newer, and returns the generation in force
// afterwards. A delta whose base is not the generation in force is refused.
func (r *Relay) HandlePush(request *pb.PushConfigurationRequest) *pb.PushConfigurationResponse {
	r.installUpdate(request, "push")
	return &pb.PushConfigurationResponse{Generation: r.Current().Generation()}
}

// OnPeerGeneration records the generation that a probe of a peer carried. If it is newer than the one
// in force, the relay pulls it from that peer. OnPeerGeneration does not block.
func (r *Relay) OnPeerGeneration(id membership.DaemonID, generation uint64) {
	if generation <= r.Current().Generation() || id == r.options.Self {
		return
	}
	r.mu.Lock()
	r.newestAdvertised = max(r.newestAdvertised, generation)
	known := r.advertised[id]
	if generation > known {
		r.advertised[id] = generation
	}
	r.mu.Unlock()
	if generation > known {
		r.pullSignal.notify()
	}
}

// pullLoop first requests the configuration from some peers, and then pulls each newer generation that
// a peer advertises.
func (r *Relay) pullLoop(ctx context.Context) error {
	if err := r.bootstrapFromPeers(ctx); err != nil {
		return err
	}
	for {
		if err := r.pullSignal.wait(ctx); err != nil {
			return err
		}
		for pause := firstPullBackoff; ; pause = min(2*pause, maxPullBackoff) {
			id, ok := r.newestPeer()
			if !ok {
				break
			}
			if r.pullFrom(ctx, id) {
				pause = firstPullBackoff
				continue
			}
			r.options.Counters.Count("retry.config_pull")
			jittered := pause/2 + rand.N(pause)
			if err := wait.For(ctx, jittered); err != nil {
				return err
			}
		}
	}
}

// bootstrapFromPeers requests the configuration from randomly chosen peers until a peer has responded
// or a configuration is in force.
func (r *Relay) bootstrapFromPeers(ctx context.Context) error {
	for r.Current().Generation() == 0 {
		responded := false
		for _, id := range r.randomPeers(bootstrapPeers) {
			responded = r.pullFrom(ctx, id) || responded
		}
		if responded {
			return nil
		}
		if err := wait.For(ctx, bootstrapInterval); err != nil {
			return err
		}
	}
	return nil
}

// randomPeers returns up to n reachable members in random order.
func (r *Relay) randomPeers(n int) []membership.DaemonID {
	var ids []membership.DaemonID
	for _, m := range r.options.Viewer.View().Members {
		if m.ID != r.options.Self && m.IsReachable() {
			ids = append(ids, m.ID)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// newestPeer returns the peer that advertised the highest generation above the one in force, and
// false if there is none.
func (r *Relay) newestPeer() (membership.DaemonID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best membership.DaemonID
	var highest uint64
	for id, generation := range r.advertised {
		if generation > highest || generation == highest && id < best {
			best, highest = id, generation
		}
	}
	return best, highest > 0
}

// pullFrom requests the configuration from one peer and reports whether the peer responded. The peer's
// advertised generation is deleted in either case; its next probe advertises it again.
func (r *Relay) pullFrom(ctx context.Context, id membership.DaemonID) bool {
	response, err := r.requestConfiguration(ctx, id)
	if err == nil {
		r.installUpdate(response, "peer")
	}
	r.mu.Lock()
	delete(r.advertised, id)
	r.mu.Unlock()
	return err == nil
}

// requestConfiguration sends one request to a peer, with the generation in force on this daemon.
func (r *Relay) requestConfiguration(ctx context.Context, id membership.DaemonID) (*pb.GetConfigurationResponse, error) {
	client, err := r.options.Clients.Client(id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &pb.GetConfigurationRequest{HaveGeneration: r.Current().Generation()}
	response, err := client.GetConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// pushLoop pushes each change that was read from the store to daemons of the zone.
func (r *Relay) pushLoop(ctx context.Context) error {
	for {
		if err := r.pushSignal.wait(ctx); err != nil {
			return err
		}
		base := r.previousGeneration()
		group := errgroup.Group{}
		group.SetLimit(pushConcurrency)
		for _, id := range pushTargets(r.options.Viewer.View(), r.options.Zone, r.options.Self) {
			group.Go(func() error {
				r.pushTo(ctx, id, base)
				return nil
			})
		}
		_ = group.Wait()
	}
}

// pushTo pushes the configuration to one peer, on the assumption that the peer has the base generation.
// If the peer responds with another, older generation, pushTo pushes once more, with an update from that
// generation. A push that fails is not repeated, since the peer receives the generation number by probes.
func (r *Relay) pushTo(ctx context.Context, id membership.DaemonID, base uint64) {
	peerGeneration, ok := r.pushOnce(ctx, id, base)
	if ok && peerGeneration < r.Current().Generation() && peerGeneration != base {
		r.options.Counters.Count("retry.config_push_base")
		peerGeneration, ok = r.pushOnce(ctx, id, peerGeneration)
	}
	if ok {
		r.options.Counters.Count("config.pushed")
		r.OnPeerGeneration(id, peerGeneration)
	}
}

// pushOnce sends one push and returns the generation that is then in force on the peer.
func (r *Relay) pushOnce(ctx context.Context, id membership.DaemonID, base uint64) (peerGeneration uint64, ok bool) {
	client, err := r.options.Clients.Client(id)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &pb.PushConfigurationRequest{}
	request.Configuration, request.Delta = r.updateSince(base)
	r.countRelayed(request)
	response, err := client.PushConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		r.options.Counters.CountDrop("config_push_lost")
		return 0, false
	}
	return response.Msg.GetGeneration(), true
}
