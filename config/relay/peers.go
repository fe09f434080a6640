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
	// maxPushes bounds the pushes of one watcher for one change. Daemons beyond it learn of
	// the generation from probes, which reach a shard in a few rounds of 250 ms.
	maxPushes       = 32
	pushConcurrency = 8
	// peerTimeout bounds one call to a peer. It is far above the latency between daemons, so
	// that only a lost or overloaded peer runs into it.
	peerTimeout = time.Second
	// firstPeers are asked at the start.
	firstPeers = 3
	// Pause between rounds of pulls when no peer could give the newer generation.
	firstPullBackoff = 100 * time.Millisecond
	maxPullBackoff   = 5 * time.Second
	// startInterval is how often a daemon without configuration looks for peers to ask.
	startInterval = 250 * time.Millisecond
)

// HandleGet answers a peer that asks for a configuration newer than its own.
func (r *Relay) HandleGet(request *pb.GetConfigurationRequest) *pb.GetConfigurationResponse {
	response := &pb.GetConfigurationResponse{Generation: r.Current().Generation()}
	if response.GetGeneration() > request.GetHaveGeneration() {
		response.Configuration, response.Delta = r.updateFrom(request.GetHaveGeneration())
		r.countRelayed(response)
	}
	return response
}

// HandlePush puts a pushed configuration in force if it is newer and returns the generation
// in force afterwards. It is the old one when the push was a delta to another generation.
func (r *Relay) HandlePush(request *pb.PushConfigurationRequest) *pb.PushConfigurationResponse {
	r.installUpdate(request, "push")
	return &pb.PushConfigurationResponse{Generation: r.Current().Generation()}
}

// OnPeerGeneration takes note of the generation that a peer's probe carried, and has a newer
// one pulled from that peer. It does not block.
func (r *Relay) OnPeerGeneration(id membership.DaemonID, generation uint64) {
	if generation <= r.Current().Generation() || id == r.options.Self {
		return
	}
	r.mu.Lock()
	r.newest = max(r.newest, generation)
	known := r.newer[id]
	if generation > known {
		r.newer[id] = generation
	}
	r.mu.Unlock()
	if generation > known {
		r.pull.notify()
	}
}

// keepPulling asks peers at the start and then pulls newer generations that were told of.
func (r *Relay) keepPulling(ctx context.Context) error {
	if err := r.askFirstPeers(ctx); err != nil {
		return err
	}
	for {
		if err := r.pull.wait(ctx); err != nil {
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

// askFirstPeers asks a few peers for their configuration until one answers or one is in force.
func (r *Relay) askFirstPeers(ctx context.Context) error {
	for r.Current().Generation() == 0 {
		heard := false
		for _, id := range r.somePeers(firstPeers) {
			heard = r.pullFrom(ctx, id) || heard
		}
		if heard {
			return nil
		}
		if err := wait.For(ctx, startInterval); err != nil {
			return err
		}
	}
	return nil
}

// somePeers returns up to n reachable members in random order.
func (r *Relay) somePeers(n int) []membership.DaemonID {
	var ids []membership.DaemonID
	for _, m := range r.options.Viewer.View().Members {
		if m.ID != r.options.Self && m.IsReachable() {
			ids = append(ids, m.ID)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// newestPeer returns the peer with the highest generation that was told of and is newer than
// the one in force.
func (r *Relay) newestPeer() (membership.DaemonID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best membership.DaemonID
	var highest uint64
	for id, generation := range r.newer {
		if generation > highest || generation == highest && id < best {
			best, highest = id, generation
		}
	}
	return best, highest > 0
}

// pullFrom asks one peer for its configuration and reports whether it answered. A peer that
// does not, or has nothing newer any more, is forgotten until its next probe.
func (r *Relay) pullFrom(ctx context.Context, id membership.DaemonID) bool {
	response, err := r.get(ctx, id)
	if err == nil {
		r.installUpdate(response, "peer")
	}
	r.mu.Lock()
	delete(r.newer, id)
	r.mu.Unlock()
	return err == nil
}

func (r *Relay) get(ctx context.Context, id membership.DaemonID) (*pb.GetConfigurationResponse, error) {
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

// keepPushing pushes each change that came from the store to daemons of the zone.
func (r *Relay) keepPushing(ctx context.Context) error {
	for {
		if err := r.push.wait(ctx); err != nil {
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

// pushTo pushes to one peer, which is taken to have the base generation. One that has another
// says so and gets what it lacks. A lost push is not repeated, since probes carry the
// generation.
func (r *Relay) pushTo(ctx context.Context, id membership.DaemonID, base uint64) {
	has, ok := r.pushOnce(ctx, id, base)
	if ok && has < r.Current().Generation() && has != base {
		r.options.Counters.Count("retry.config_push_base")
		has, ok = r.pushOnce(ctx, id, has)
	}
	if ok {
		r.options.Counters.Count("config.pushed")
		r.OnPeerGeneration(id, has)
	}
}

// pushOnce returns the generation that the peer has in force afterwards.
func (r *Relay) pushOnce(ctx context.Context, id membership.DaemonID, base uint64) (has uint64, ok bool) {
	client, err := r.options.Clients.Client(id)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &pb.PushConfigurationRequest{}
	request.Configuration, request.Delta = r.updateFrom(base)
	r.countRelayed(request)
	response, err := client.PushConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		r.options.Counters.Drop("config_push_lost")
		return 0, false
	}
	return response.Msg.GetGeneration(), true
}
