package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// remoteLimit bounds how long a request in progress at a former holder occupies a slot;
	// its deadline is not in the records.
	remoteLimit = 10 * time.Second
	// settleTime is how long a former holder waits for answers that were on their way to it
	// at the release. Later ones reach the new holder, which passes them on.
	settleTime = 2 * time.Second
)

// Activate starts to admit requests to the upstream of r.
func (e *Engine) Activate(r ownership.Resource, records *pb.ResourceRecords, p ownership.Provenance) {
	e.mu.Lock()
	a := e.admissions[r.Index]
	if a == nil {
		a = newAdmission(e, r)
		e.admissions[r.Index] = a
		go a.run()
	}
	a.claimed = true
	e.mu.Unlock()
	a.locked(func() { a.activate(records.GetAdmission(), p) })
}

func (a *admission) activate(records *pb.AdmissionRecords, p ownership.Provenance) {
	a.active = true
	if t, ok := a.currentTarget(); ok {
		a.tracker.Configure(int(t.upstream.GetSlots()), isDraining(t.upstream))
	}
	a.merge(records)
	isKept := p == ownership.Transferred && records.GetGuardToken() != 0
	if isKept {
		a.token = records.GetGuardToken()
	} else {
		a.token = a.engine.newToken()
	}
	// Requests queued at an earlier release come back through the guard.
	for _, r := range a.handback {
		a.out = append(a.out, effect{kind: toAdmission, target: a.resource.Index, packet: r.packet})
	}
	a.handback = nil
	a.unconfirmed = p == ownership.Recovered
	a.notify(!isKept && p == ownership.Transferred)
}

// confirm notes that the upstream is reachable from here, and has flow owners pass on the
// guard token that the loss of the previous holder made new.
func (a *admission) confirm() {
	if a.unconfirmed {
		a.unconfirmed = false
		a.notify(true)
	}
}

// tokenRandomBits leaves 42 bits for milliseconds, which last until the year 2109.
const tokenRandomBits = 22

// newToken returns a token of the time in ms and random bits. A later token is larger, so that
// callers do not go back to the token of a paused holder when its late answers arrive.
func (e *Engine) newToken() uint64 {
	return uint64(time.Now().UnixMilli())<<tokenRandomBits | e.random()>>(64-tokenRandomBits)
}

// Release stops admitting requests to the upstream of r. Requests in progress are finished
// here; queued ones go to the new holder once the Router knows it.
func (e *Engine) Release(r ownership.Resource) *pb.ResourceRecords {
	records := &pb.ResourceRecords{Resource: &pb.Resource{Kind: r.Kind, Service: r.Service, Index: r.Index}}
	a := e.admission(r.Index)
	if a == nil {
		return records
	}
	a.locked(func() { records.Admission = a.release() })
	e.mu.Lock()
	a.claimed = false
	e.mu.Unlock()
	e.options.Load.Remove(r.Index)
	return records
}

func (a *admission) release() *pb.AdmissionRecords {
	if !a.active {
		return nil
	}
	a.active, a.released = false, time.Now()
	a.handback, a.queue = a.queue, nil
	for _, r := range a.handback {
		delete(a.guard.records, r.key)
	}
	clear(a.watches)
	return a.export(a.released)
}

func (a *admission) export(now time.Time) *pb.AdmissionRecords {
	records := &pb.AdmissionRecords{GuardToken: a.token}
	for _, r := range a.guard.records {
		out := &pb.RequestRecord{
			Flow:      r.key.flow.Proto(),
			RequestId: r.key.id,
			Finished:  r.state == finished,
			Status:    r.status,
			Reason:    r.reason,
			AgeMs:     uint32(now.Sub(r.since).Milliseconds()),
		}
		switch r.state {
		case running, remote:
			out.Finishing = string(a.engine.options.Self)
		case moved:
			out.Status = pb.Status_STATUS_NOT_RUN
		}
		records.Requests = append(records.Requests, out)
	}
	for k, id := range a.guard.marks {
		records.Watermarks = append(records.Watermarks, &pb.FlowWatermark{Flow: k.Proto(), RequestId: id})
	}
	return records
}

// Merge adds the records of another former holder. The guard token stays: requests stamped
// with the other one run nowhere any more.
func (e *Engine) Merge(r ownership.Resource, records *pb.ResourceRecords) {
	if a := e.admission(r.Index); a != nil {
		a.locked(func() { a.merge(records.GetAdmission()) })
	}
}

func (a *admission) merge(records *pb.AdmissionRecords) {
	now := time.Now()
	for _, in := range records.GetRequests() {
		k := requestKey{flow: wire.FlowKeyFromProto(in.GetFlow()), id: in.GetRequestId()}
		if known := a.guard.records[k]; known != nil {
			a.mergeKnown(known, in, now)
			continue
		}
		a.adopt(k, in, now)
	}
	for _, in := range records.GetWatermarks() {
		k := wire.FlowKeyFromProto(in.GetFlow())
		a.guard.marks[k] = max(a.guard.marks[k], in.GetRequestId())
	}
}

// adopt takes over the record of a request that is not known here.
func (a *admission) adopt(k requestKey, in *pb.RequestRecord, now time.Time) {
	since := now.Add(-time.Duration(in.GetAgeMs()) * time.Millisecond)
	r := &record{key: k, since: since, status: in.GetStatus(), reason: in.GetReason(), attempt: 1}
	a.guard.records[k] = r
	if in.GetFinished() {
		a.guard.finish(r, since)
		return
	}
	r.state, r.status = remote, pb.Status_STATUS_UNSPECIFIED
	r.sent, r.deadline = now, now.Add(remoteLimit)
	if in.GetFinishing() == "" {
		// Handed to another upstream's admission: it occupies no slot here.
		r.state, r.ended = moved, now
		a.guard.ended = append(a.guard.ended, r)
		return
	}
	r.slot = true
	a.busy[k] = r
	a.tracker.RecordStart(now)
}

// mergeKnown ends a request in progress that another holder has finished.
func (a *admission) mergeKnown(r *record, in *pb.RequestRecord, now time.Time) {
	if !in.GetFinished() || (r.state != running && r.state != remote) {
		return
	}
	r.status, r.reason = in.GetStatus(), in.GetReason()
	a.free(r)
	a.guard.finish(r, now)
}

// remove takes an ended admission out of the Engine.
func (e *Engine) remove(a *admission) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claimed || len(a.busy) > 0 || time.Since(a.released) < recordLife {
		return false
	}
	delete(e.admissions, a.resource.Index)
	return true
}
