package orders_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// baseLoss is the share of datagrams that is lost at any time, and lossyLoss while links are lossy.
	baseLoss  = 0.0005
	lossyLoss = 0.025
	// duplicates is the share of datagrams that arrives twice, and maxJitter the largest additional delay.
	duplicates = 0.002
	maxJitter  = 2 * time.Millisecond
	// warmUp is the time before the first flow.
	warmUp = 3 * time.Second
)

// route is a route of the operator's configuration.
type route struct {
	service string
	// changedAt is when the store acknowledged the last change of the route. isPending is set until then.
	changedAt time.Time
	isPending bool
	// isLost is set from the loss of the last change in the store until it was written again.
	isLost    bool
	isRemoved bool
	// ever holds the services that any configuration allowed.
	ever map[string]bool
}

// world holds everything in one run. mu protects it, except the store.
type world struct {
	ctx       context.Context
	store     *metadataStore
	judge     *judge
	mu        sync.Mutex
	random    *rand.Rand
	daemons   []*daemon
	upstreams []*upstream
	byAddress map[netip.AddrPort]*upstream
	flows     map[wire.FlowKey]*callerFlow
	routes    []*route
	// padding is the number of further routes without traffic.
	padding int
	version int
	// written is the latest configuration that the store has acknowledged.
	written    string
	nextPort   uint32
	nextID     int
	lossyUntil time.Time
	// answersWaitUntil is when packets to callers arrive again that wait on the way back.
	answersWaitUntil time.Time
	// longestThink bounds the pause between two requests on a flow.
	longestThink time.Duration
	evacuations  evacuations
}

func newWorld(ctx context.Context, s scenario) *world {
	w := &world{
		ctx: ctx, store: newMetadataStore(), random: rand.New(rand.NewPCG(s.Seed, 2)), byAddress: map[netip.AddrPort]*upstream{},
		flows: map[wire.FlowKey]*callerFlow{}, longestThink: time.Duration(s.ThinkMS) * time.Millisecond,
	}
	w.judge = newJudge(w)
	w.evacuations = evacuations{areRead: s.has(evacuateZone), wanted: map[string]bool{}}
	go w.store.run(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range s.Upstreams {
		w.addUpstream([]string{"bindery", "galerij"}[n%2], w.newAddress()).start(0)
	}
	for range 2 {
		w.routes = append(w.routes, newRoute("bindery"), newRoute("galerij"))
	}
	w.writeConfiguration(func() {})
	for n := range s.Daemons {
		d := &daemon{world: w, number: n, address: netip.AddrFrom4([4]byte{10, 1, 0, byte(n + 1)})}
		w.daemons = append(w.daemons, d)
		d.start()
	}
	return w
}

func newRoute(service string) *route {
	return &route{service: service, ever: map[string]bool{service: true}}
}

// serviceAddress is the address of a route.
func serviceAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(number >> 8), byte(number)}), 8443)
}

// route returns the route of a service address, or nil.
func (w *world) route(at netip.AddrPort) *route {
	ip := at.Addr().As4()
	if number := int(ip[2])<<8 | int(ip[3]); number < len(w.routes) {
		return w.routes[number]
	}
	return nil
}

func (w *world) newAddress() netip.AddrPort {
	w.nextID++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(w.nextID >> 8), byte(w.nextID)}), 9000)
}

// addUpstream adds an upstream that does not run yet.
func (w *world) addUpstream(service string, at netip.AddrPort) *upstream {
	w.nextID++
	u := &upstream{world: w, id: fmt.Sprintf("i-%06x", w.nextID*7919), service: service, zone: w.zoneOf(len(w.upstreams)), address: at}
	w.upstreams = append(w.upstreams, u)
	w.byAddress[at] = u
	return u
}

// operatorRetry is how long the operator waits after a write that the store did not acknowledge.
const operatorRetry = 300 * time.Millisecond

// writeConfiguration writes the next version of the configuration, again and again until the store has
// acknowledged it, and calls acknowledged then.
func (w *world) writeConfiguration(acknowledged func()) {
	if !w.putConfiguration() {
		w.after(operatorRetry, func() { w.writeConfiguration(acknowledged) })
		return
	}
	for _, r := range w.routes {
		if r.isPending {
			r.isPending, r.changedAt = false, time.Now()
		}
	}
	acknowledged()
}

// rewriteConfiguration writes the latest configuration again, until the store has it, if the store lost it.
func (w *world) rewriteConfiguration() {
	if !w.store.holds(platform.KindConfiguration, platform.ConfigurationName, w.written) &&
		!w.store.put(platform.KindConfiguration, platform.ConfigurationName, w.written) {
		w.after(operatorRetry, w.rewriteConfiguration)
		return
	}
	for _, r := range w.routes {
		if r.isLost {
			r.isLost, r.changedAt = false, time.Now()
		}
	}
}

func (w *world) putConfiguration() bool {
	w.version += 1 + w.random.IntN(3)
	var routes []string
	add := func(number int, service string) {
		kind := []string{"safe", "unsafe"}[number/2%2]
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":%q,"path_prefix":"/8443/","kind":%q,"service":%q}`,
			number, serviceAddress(number).Addr(), kind, service))
	}
	for number, r := range w.routes {
		if !r.isRemoved {
			add(number, r.service)
		}
	}
	for n := range w.padding {
		add(20_000+n, "bindery")
	}
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"limits":{"idle_timeout_ms":15000}}`, w.version, strings.Join(routes, ","))
	if !w.store.put(platform.KindConfiguration, platform.ConfigurationName, body) {
		return false
	}
	w.written = body
	return true
}

// after runs a function with the lock held after a time.
func (w *world) after(d time.Duration, run func()) {
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() == nil {
			run()
		}
	})
}

// transfer runs a function when a datagram arrives: once, never or twice.
func (w *world) transfer(delay time.Duration, arrive func()) {
	loss := baseLoss
	if time.Now().Before(w.lossyUntil) {
		loss = lossyLoss
	}
	copies := 1
	if w.random.Float64() < duplicates {
		copies = 2
	}
	for range copies {
		if w.random.Float64() >= loss {
			w.after(delay+time.Duration(w.random.Int64N(int64(maxJitter))), arrive)
		}
	}
}

// toDaemon sends a caller's packet to the daemon that the routers select.
func (w *world) toDaemon(p platform.Packet) {
	w.transfer(callerDelay, func() {
		var inRotation []*daemon
		for _, d := range w.daemons {
			if d.inRotation {
				inRotation = append(inRotation, d)
			}
		}
		if 2*len(inRotation) < len(w.daemons) {
			inRotation = w.daemons
		}
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, p.Flow)
		inRotation[h.Sum32()%uint32(len(inRotation))].receive(p)
	})
}

// toCaller sends a packet to the caller of a flow.
func (w *world) toCaller(key wire.FlowKey, a answer) {
	w.transfer(callerDelay+max(0, time.Until(w.answersWaitUntil)), func() {
		if f := w.flows[key]; f != nil && !f.isClosed {
			f.receive(a)
		}
	})
}

// thinkTime returns the pause before the next request on a flow: most are short, some long.
func (w *world) thinkTime() time.Duration {
	share := w.random.Float64()
	return 20*time.Millisecond + time.Duration(share*share*float64(w.longestThink))
}

const (
	// callerTries is how often a caller repeats a request, and newRouteTries how often one that waits for a
	// route that was just added does.
	callerTries   = 2
	newRouteTries = 40
)

// openFlow opens a flow to a route.
func (w *world) openFlow(number, tries int) {
	w.nextPort++
	key, err := wire.NewFlowKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(w.nextPort >> 14), byte(w.nextPort % 7)}),
		uint16(1024+w.nextPort%60_000)), serviceAddress(number))
	if err != nil {
		panic(err)
	}
	f := &callerFlow{world: w, key: key, requests: 1 + w.random.IntN(12), number: number, tries: tries}
	f.open()
}

// openFlows opens flows to random routes that exist.
func (w *world) openFlows(perSecond int, until time.Time) {
	if time.Now().After(until) {
		return
	}
	if number := w.random.IntN(len(w.routes)); !w.routes[number].isRemoved {
		w.openFlow(number, callerTries)
	}
	w.after(time.Duration(w.random.ExpFloat64()*float64(time.Second)/float64(perSecond)), func() { w.openFlows(perSecond, until) })
}
