package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// requestTimeout is the deadline of an order-line (SYSTEM.md).
const requestTimeout = 2 * time.Second

// pool is a client's pooled flow, which it keeps open between requests.
type pool struct {
	client  *client
	service int
	flow    *flow
	count   int
	// name begins the IDs of the requests.
	name string
	// isBroken is set when a request failed on an open flow.
	isBroken bool
}

// send sends a request on the pooled flow, and opens one first if there is none.
func (p *pool) send(d *deployment) {
	if p.flow != nil && p.flow.isReset() {
		p.flow.client.forget(p.flow)
		p.flow = nil
	}
	if p.flow == nil {
		f, err := p.client.open(d.service(p.service))
		if err != nil {
			return
		}
		p.flow = f
	}
	p.count++
	if p.name == "" {
		p.name = fmt.Sprintf("%s-%d", p.client.name, p.service)
	}
	if err := p.flow.request(fmt.Sprintf("%s-%d", p.name, p.count), requestTimeout); err != nil {
		p.isBroken = true
		p.client.forget(p.flow)
		p.flow = nil
	}
}

// runRestart crashes endpoints that start again under their IDs, while clients send two requests once in six
// seconds on the flows that they keep open.
func runRestart(dir string, hasTrouble bool) (*deployment, error) {
	const (
		waves     = 9
		waveEvery = 6 * time.Second
		down      = 1400 * time.Millisecond
		upBefore  = 200 * time.Millisecond
		// newClients come in each zone with each wave.
		newClients = 3
	)
	d, err := newDeployment(dir, tenEndpoints, 800*time.Millisecond)
	if err != nil {
		return d, err
	}
	d.addRoute(0, "unsafe")
	if err := d.start(4); err != nil {
		return d, err
	}
	var pools []*pool
	for _, c := range d.clients {
		pools = append(pools, &pool{client: c})
	}
	next := time.Now().Add(3 * time.Second)
	for wave := range waves {
		crashes := hasTrouble && wave%2 == 1
		if crashes {
			e := d.endpoints[wave/2%len(tenEndpoints)*flapEndpointsPerZone]
			time.Sleep(time.Until(next.Add(-upBefore - down)))
			d.record.note("platform: endpoint %s crashes", e.id)
			e.kill()
			d.disturbed[e.id] = append(d.disturbed[e.id], time.Now())
			time.Sleep(time.Until(next.Add(-upBefore)))
			d.record.note("platform: endpoint %s starts again", e.id)
			if err := e.start(); err != nil {
				return d, err
			}
		}
		time.Sleep(time.Until(next))
		arrived, err := d.addClients(newClients)
		if err != nil {
			return d, err
		}
		for _, c := range arrived {
			pools = append(pools, &pool{client: c})
		}
		var group sync.WaitGroup
		for _, p := range pools {
			group.Go(func() {
				p.send(d)
				p.send(d)
			})
		}
		group.Wait()
		next = next.Add(waveEvery)
	}
	return d, nil
}

// runRoutes adds routes in quick succession while the daemons are restarted in turn, twice. Clients use each
// route as soon as the store has acknowledged it.
func runRoutes(dir string, hasTrouble bool) (*deployment, error) {
	const (
		stormGap    = 330 * time.Millisecond
		stormRoutes = 12
		stepGap     = 1300 * time.Millisecond
		restartWait = 500 * time.Millisecond
		requestGap  = 40 * time.Millisecond

		requestsPerFlow = 30
	)
	d, err := newDeployment(dir, twoZones, 0)
	if err != nil {
		return d, err
	}
	d.addRoute(0, "unsafe")
	if err := d.start(8); err != nil {
		return d, err
	}
	time.Sleep(time.Second)
	var group sync.WaitGroup
	routes := 0
	// use opens a flow to a route and sends requests on it, one after the other.
	use := func(c *client, route int) {
		var f *flow
		for end := time.Now().Add(2 * time.Second); f == nil && time.Now().Before(end); time.Sleep(requestGap) {
			f, _ = c.open(d.service(route))
		}
		if f == nil {
			return
		}
		for n := range requestsPerFlow {
			if f.request(fmt.Sprintf("%s-%d-%d", c.name, route, n), requestTimeout) != nil {
				return
			}
			time.Sleep(requestGap)
		}
		f.close()
	}
	storm := func() {
		for range stormRoutes {
			routes++
			route := routes
			if hasTrouble {
				d.addRoute(route, "unsafe")
			}
			for _, c := range d.clients {
				group.Go(func() { use(c, route) })
			}
			time.Sleep(stormGap)
		}
	}
	if !hasTrouble {
		for n := range (1 + 2*len(d.daemons)) * stormRoutes {
			d.addRoute(n+1, "unsafe")
		}
		time.Sleep(2 * time.Second)
	}
	storm()
	for _, x := range slices.Concat(d.daemons, d.daemons) {
		var storms sync.WaitGroup
		storms.Go(storm)
		if hasTrouble {
			d.record.note("platform: SIGTERM to %s", x.name)
			if err := x.stop(); err != nil {
				return d, err
			}
			time.Sleep(restartWait)
			d.record.note("platform: %s starts again", x.name)
			if err := x.start(); err != nil {
				return d, err
			}
		}
		storms.Wait()
		time.Sleep(stepGap)
	}
	group.Wait()
	return d, nil
}

// runForeign lets another writer write entries without the field born under the IDs of endpoints. The
// endpoints write their own entries again with their next heartbeats.
func runForeign(dir string, hasTrouble bool) (*deployment, error) {
	const (
		entries    = 4
		entryEvery = 6 * time.Second
		requestGap = 150 * time.Millisecond
	)
	d, err := newDeployment(dir, twoZones, 0)
	if err != nil {
		return d, err
	}
	d.addRoute(0, "unsafe")
	if err := d.start(8); err != nil {
		return d, err
	}
	end := time.Now().Add((entries + 1) * entryEvery)
	var group sync.WaitGroup
	for _, c := range d.clients {
		group.Go(func() {
			for p := (&pool{client: c}); time.Now().Before(end); time.Sleep(requestGap) {
				p.send(d)
			}
		})
	}
	for i := range entries {
		time.Sleep(entryEvery)
		if hasTrouble {
			e := d.endpoints[2*i]
			own, _ := d.store.get("servers", e.id)
			d.record.note("another writer: entry %s without born", e.id)
			d.store.put("servers", e.id, without(own.Spec, "born"))
		}
	}
	group.Wait()
	return d, nil
}

// runServices changes the service of all routes by one configuration, while clients in a zone with one
// daemon keep many flows open on the service that the routes had.
func runServices(dir string, hasTrouble bool) (*deployment, error) {
	const (
		routes         = 1160
		clients        = 50
		flowsPerClient = 200
		openingTime    = 20 * time.Second
		requestEvery   = 8 * time.Second
		calmTime       = 25 * time.Second
	)
	d, err := newDeployment(dir, []place{
		{"droogvloer", 1, map[string]int{"bindery": 6}},
		{"schuur", 3, map[string]int{"bindery": 4, "galerij": 2}},
		{"winkel", 2, map[string]int{"bindery": 4, "galerij": 2}},
	}, 0)
	if err != nil {
		return d, err
	}
	for n := range routes {
		d.appendRoute(n, "unsafe")
	}
	d.writeConfiguration()
	if err := d.start(0); err != nil {
		return d, err
	}
	layout := d.layout
	d.layout = layout[:1]
	all, err := d.addClients(clients)
	if err != nil {
		return d, err
	}
	time.Sleep(time.Second)
	began := time.Now()
	end := began.Add(openingTime + 2*requestEvery + calmTime)
	var group sync.WaitGroup
	for i, c := range all {
		for k := range flowsPerClient {
			group.Go(func() {
				number := k*clients + i
				time.Sleep(openingTime * time.Duration(number) / (clients * flowsPerClient))
				p := &pool{client: c, service: number % routes, name: fmt.Sprintf("%s-%d", c.name, k)}
				for time.Now().Before(end) {
					next := time.Now().Add(requestEvery)
					p.send(d)
					if p.isBroken {
						return
					}
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	time.Sleep(time.Until(began.Add(openingTime + 2*requestEvery)))
	if hasTrouble {
		for _, r := range d.routes {
			r["service"] = "galerij"
		}
		d.writeConfiguration()
		d.record.note("operator: version %d moves all routes to galerij", d.version)
	}
	group.Wait()
	return d, nil
}
