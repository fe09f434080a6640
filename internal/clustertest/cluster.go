// Package clustertest runs daemons that consist of membership, ownership and peer messaging only,
// over an in-memory network, for tests in virtual time. It owns the daemons and the faults that a
// test injects: kills, pauses, cuts and loss.
package clustertest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

// Latency is the one-way latency between daemons.
const Latency = 500 * time.Microsecond

// ErrUnreachable reports a call across a cut or to a daemon that is not running.
var ErrUnreachable = errors.New("daemon is unreachable")

// Key is the cluster key of all daemons.
var Key = []byte("cluster key of the tests")

// Cluster is a group of daemons. It must be created inside a synctest bubble.
type Cluster struct {
	Network *memnet.Network
	Logger  zerolog.Logger
	// Resources are the resources of the configuration; set before Start.
	Resources []ownership.Resource
	// Zone returns the preferred zone of a resource; set before Start.
	Zone func(ownership.Resource) string
	// Seeds returns the daemons of the VM list; nil lists all daemons that were ever started.
	Seeds func() []membership.Member
	// BeforeClaim is called before each claim is delivered and may kill daemons.
	BeforeClaim func(from, to *Daemon)

	mu         sync.Mutex
	daemons    map[membership.DaemonID]*Daemon
	vmList     []membership.Member
	cut        func(a, b *Daemon) bool
	loss       func() bool
	answerLoss float64
	rand       *rand.Rand
	tokens     uint64
}

// New returns a cluster without daemons. All its random choices derive from seed.
func New(seed uint64) *Cluster {
	c := &Cluster{
		Logger:  zerolog.Nop(),
		daemons: map[membership.DaemonID]*Daemon{},
		rand:    rand.New(rand.NewPCG(seed, seed)),
	}
	c.Network = memnet.New(c.deliveryPolicy)
	return c
}

// DaemonID returns the ID of daemon number n in a zone.
func DaemonID(zone string, n int) membership.DaemonID {
	return membership.DaemonID(fmt.Sprintf("%s-%02d", zone, n))
}

// SetCut makes the pairs of daemons for which cut returns true unreachable for each other; nil
// ends all cuts.
func (c *Cluster) SetCut(cut func(a, b *Daemon) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// SetLoss drops the given share of all datagrams.
func (c *Cluster) SetLoss(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = func() bool { return c.rand.Float64() < share }
}

// SetAnswerLoss drops the given share of the responses of calls, after the calls took effect.
func (c *Cluster) SetAnswerLoss(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerLoss = share
}

func (c *Cluster) shouldLoseAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answerLoss > 0 && c.rand.Float64() < c.answerLoss
}

// Daemon returns the running daemon with an ID, or nil.
func (c *Cluster) Daemon(id membership.DaemonID) *Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[id]
}

// Daemons returns all running daemons, paused ones included.
func (c *Cluster) Daemons() []*Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*Daemon, 0, len(c.daemons))
	for _, d := range c.daemons {
		list = append(list, d)
	}
	return list
}

// StopAll ends all daemons, paused ones included.
func (c *Cluster) StopAll() {
	for _, d := range c.Daemons() {
		d.Resume()
		d.Kill()
	}
}

// deliveryPolicy delivers a datagram after Latency unless the path is cut or the datagram is lost.
func (c *Cluster) deliveryPolicy(from, to netip.AddrPort, _ []byte) []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, b := c.daemonAt(from), c.daemonAt(to)
	if a != nil && b != nil && c.cut != nil && c.cut(a, b) {
		return nil
	}
	if c.loss != nil && c.loss() {
		return nil
	}
	return []time.Duration{Latency}
}

func (c *Cluster) daemonAt(addr netip.AddrPort) *Daemon {
	for _, d := range c.daemons {
		if d.Self.PeerAddress == addr {
			return d
		}
	}
	return nil
}

// call runs f at another daemon with the behaviour of a connect call: the call takes twice Latency,
// fails if the path is cut, and waits while either daemon is paused.
func (c *Cluster) call(ctx context.Context, from *Daemon, control netip.AddrPort, f func(to *Daemon) error) error {
	from.waitWhilePaused()
	if err := wait.For(ctx, Latency); err != nil {
		return err
	}
	c.mu.Lock()
	var to *Daemon
	for _, d := range c.daemons {
		if d.Self.ControlAddress == control {
			to = d
		}
	}
	blocked := to == nil || !c.isRunning(from) || c.cut != nil && c.cut(from, to)
	c.mu.Unlock()
	if blocked {
		return ErrUnreachable
	}
	if err := to.waitWhilePausedUntil(ctx); err != nil {
		return err
	}
	if err := f(to); err != nil {
		return err
	}
	if c.shouldLoseAnswer() {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := wait.For(ctx, Latency); err != nil {
		return err
	}
	c.mu.Lock()
	blocked = c.cut != nil && c.cut(from, to) || !c.isRunning(from) || !c.isRunning(to)
	c.mu.Unlock()
	if blocked {
		return ErrUnreachable // The response is lost after the call took effect.
	}
	return nil
}

// isRunning reports whether the daemon has not ended. The caller holds c.mu.
func (c *Cluster) isRunning(d *Daemon) bool { return c.daemons[d.Self.ID] == d }

func (c *Cluster) seeds() []membership.Member {
	if c.Seeds != nil {
		return c.Seeds()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]membership.Member(nil), c.vmList...)
}

func (c *Cluster) nextToken() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens++
	return c.tokens
}

// ActiveHolders returns the running daemons that serve r, paused ones included.
func (c *Cluster) ActiveHolders(r ownership.Resource) []*Daemon {
	var active []*Daemon
	for _, d := range c.Daemons() {
		if d.Handler.Serves(r) {
			active = append(active, d)
		}
	}
	return active
}

// IsSettled reports whether each resource is served by exactly one daemon.
func (c *Cluster) IsSettled() bool {
	daemons := c.Daemons()
	for _, r := range c.Resources {
		holders := 0
		for _, d := range daemons {
			if d.Handler.Serves(r) {
				holders++
			}
		}
		if holders != 1 {
			return false
		}
	}
	return true
}

// Unsettled returns the resources that are not served by exactly one daemon.
func (c *Cluster) Unsettled() []ownership.Resource {
	var list []ownership.Resource
	for _, r := range c.Resources {
		if len(c.ActiveHolders(r)) != 1 {
			list = append(list, r)
		}
	}
	return list
}

// PartitionsAndAdmissions returns the flow partitions of the services from 1 to services, and the
// admissions of the upstreams of service 1 from 1 to upstreams.
func PartitionsAndAdmissions(services, upstreams int) []ownership.Resource {
	var list []ownership.Resource
	for s := 1; s <= services; s++ {
		for p := range ownership.PartitionCount {
			list = append(list, ownership.Resource{
				Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: uint32(s), Index: uint32(p),
			})
		}
	}
	for u := 1; u <= upstreams; u++ {
		list = append(list, ownership.Admission(1, uint32(u)))
	}
	return list
}

// StartAll starts n daemons in three zones at the same time.
func (c *Cluster) StartAll(n int) []*Daemon {
	var daemons []*Daemon
	for i := range n {
		daemons = append(daemons, c.Start(fmt.Sprintf("z%d", i%3), i+1))
	}
	return daemons
}
