package signals

import "time"

// holdPoll is how often held data is looked at.
const holdPoll = 5 * time.Millisecond

// exceedsLongFlows reports whether a daemon has as many long-lived flows as the case allows.
func (o *overload) exceedsLongFlows(a *attempt) bool {
	class := a.request.class
	if o.c.LongFlowShare == 0 || !class.HasLongFlows || !o.isPeak() {
		return false
	}
	busy := o.c.Slow * class.Work.Seconds()
	slots := float64(2*o.c.Upstreams) / float64(o.c.Daemons)
	return float64(o.longOpen[a.daemon]) >= o.c.LongFlowShare*slots*(meanPause.Seconds()+2*busy)/busy
}

// afterHold calls do at once, or when the data of a request on a long-lived flow has been held.
func (o *overload) afterHold(a *attempt, r *overloadRequest, do func()) {
	if o.c.HoldsData && r.long != nil && a.counted != r {
		o.hold(a, r, do, o.now+r.class.Objective/4)
		return
	}
	a.enter(r)
	do()
}

func (o *overload) hold(a *attempt, r *overloadRequest, do func(), until time.Duration) {
	limit := o.steerers[a.daemon].AdmissionGauges()["s"].Limit
	if a.isOver || r.isOver || a.counted == r {
		return
	}
	if limit == 0 || float64(o.inProgress[a.daemon]) < limit || o.now >= until {
		a.enter(r)
		do()
		return
	}
	o.scheduleAfter(holdPoll, func() { o.hold(a, r, do, until) })
}

// enter counts a request as in progress at its daemon, and leave ends that.
func (a *attempt) enter(r *overloadRequest) {
	if a.counted == nil && !a.isOver {
		a.sim.inProgress[a.daemon]++
	}
	a.counted = r
}

func (a *attempt) leave() {
	if a.counted != nil {
		a.sim.inProgress[a.daemon]--
		a.counted = nil
	}
}
