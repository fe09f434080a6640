package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// remoteTimeout limits how long a request in progress at a former holder occupies a slot. It
	// replaces the deadline, which the records do not contain.
	remoteTimeout = 10 * time.Second
	// lateAnswerWait is how long a former holder waits for answers that were in transit to it at
	// the release. Later answers arrive at the new holder, which forwards them to the callers.
	lateAnswerWait = 2 * time.Second
)

// Activate starts admitting requests to the upstream of r.
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
	a.withLock(func() { a.activate(records.GetAdmission(), p) })
}

func (a *admission) activate(records *pb.AdmissionRecords, p ownership.Provenance) {
	a.active = true
	if t, ok := a.currentTarget(); ok {
		a.tracker.Configure(int(t.upstream.GetSlots()), isDraining(t.upstream))
	}
	a.mergeRecords(records)
	isTokenKept := p == ownership.Transferred && records.GetGuardToken() != 0
	if isTokenKept {
		a.token = records.GetGuardToken()
	} else {
		a.token = a.engine.newToken()
	}
	// Requests that were queued at an earlier release pass the guard again.
	for _, r := range a.releasedQueue {
		a.out = append(a.out, outMessage{kind: toAdmission, target: a.resource.Index, packet: r.packet})
	}
	a.releasedQueue = nil
	a.unconfirmed = p == ownership.Recovered
	a.notifyOwners(!isTokenKept && p == ownership.Transferred)
}

// confirmHolder records that this daemon receives packets from the upstream. After the loss of the
// previous holder it notifies the flow owners of the new guard token, which they send to callers.
func (a *admission) confirmHolder() {
	if a.unconfirmed {
		a.unconfirmed = false
		a.notifyOwners(true)
	}
}

// tokenRandomBits is the number of random bits in a guard token. It leaves 42 bits for
// milliseconds, which last until the year 2109.
const tokenRandomBits = 22

// newToken returns a guard token made of the time in milliseconds and random bits. A later token is
// larger, so that callers do not revert to the token of a paused holder when its late answers
// arrive.
func (e *Engine) newToken() uint64 {
	return uint64(time.Now().UnixMilli())<<tokenRandomBits | e.randomUint64()>>(64-tokenRandomBits)
}

// Release stops admitting requests to the upstream of r and returns the admission's records. This
// daemon finishes the requests in progress, and forwards the queued ones to the new holder once
// the Router knows it.
func (e *Engine) Release(r ownership.Resource) *pb.ResourceRecords {
	records := &pb.ResourceRecords{Resource: &pb.Resource{Kind: r.Kind, Service: r.Service, Index: r.Index}}
	a := e.admission(r.Index)
	if a == nil {
		return records
	}
	a.withLock(func() { records.Admission = a.release() })
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
	a.active, a.releasedAt = false, time.Now()
	a.releasedQueue, a.queue = a.queue, nil
	for _, r := range a.releasedQueue {
		delete(a.guard.records, r.key)
	}
	clear(a.watches)
	return a.exportRecords(a.releasedAt)
}

func (a *admission) exportRecords(now time.Time) *pb.AdmissionRecords {
	records := &pb.AdmissionRecords{GuardToken: a.token}
	for _, r := range a.guard.records {
		out := &pb.RequestRecord{
			Flow:      r.key.flow.Proto(),
			RequestId: r.key.id,
			Finished:  r.state == finished,
			Status:    r.status,
			Reason:    r.reason,
			AgeMs:     uint32(now.Sub(r.recordedAt).Milliseconds()),

			RedirectedHere: r.fromRedirect,
		}
		switch r.state {
		case running, remote:
			out.Finishing = string(a.engine.options.Self)
		case redirected:
			out.Status = pb.Status_STATUS_NOT_RUN
		}
		records.Requests = append(records.Requests, out)
	}
	for k, id := range a.guard.watermarks {
		records.Watermarks = append(records.Watermarks, &pb.FlowWatermark{Flow: k.Proto(), RequestId: id})
	}
	return records
}

// Merge adds the records of another former holder. The guard token stays the same: requests with
// the token of the other holder no longer run at any holder.
func (e *Engine) Merge(r ownership.Resource, records *pb.ResourceRecords) {
	if a := e.admission(r.Index); a != nil {
		a.withLock(func() { a.mergeRecords(records.GetAdmission()) })
	}
}

func (a *admission) mergeRecords(records *pb.AdmissionRecords) {
	now := time.Now()
	for _, in := range records.GetRequests() {
		k := requestKey{flow: wire.FlowKeyFromProto(in.GetFlow()), id: in.GetRequestId()}
		if known := a.guard.records[k]; known != nil {
			a.mergeFinished(known, in, now)
			continue
		}
		a.importRecord(k, in, now)
	}
	for _, in := range records.GetWatermarks() {
		k := wire.FlowKeyFromProto(in.GetFlow())
		a.guard.watermarks[k] = max(a.guard.watermarks[k], in.GetRequestId())
	}
}

// importRecord adds a record from a former holder for a request that has no record yet.
func (a *admission) importRecord(k requestKey, in *pb.RequestRecord, now time.Time) {
	recordedAt := now.Add(-time.Duration(in.GetAgeMs()) * time.Millisecond)
	r := &record{key: k, recordedAt: recordedAt, status: in.GetStatus(), reason: in.GetReason(), attempt: 1, fromRedirect: in.GetRedirectedHere()}
	a.guard.records[k] = r
	if in.GetFinished() {
		a.guard.finish(r, recordedAt)
		return
	}
	r.state, r.status = remote, pb.Status_STATUS_UNSPECIFIED
	r.sentAt, r.deadline = now, now.Add(remoteTimeout)
	if in.GetFinishing() == "" {
		// The request was redirected to another upstream's admission and occupies no slot.
		r.state, r.endedAt = redirected, now
		a.guard.ended = append(a.guard.ended, r)
		return
	}
	r.occupiesSlot = true
	a.occupying[k] = r
	a.tracker.RecordStart(now)
}

// mergeFinished ends a request in progress that another holder has finished.
func (a *admission) mergeFinished(r *record, in *pb.RequestRecord, now time.Time) {
	if !in.GetFinished() || (r.state != running && r.state != remote) {
		return
	}
	r.status, r.reason = in.GetStatus(), in.GetReason()
	a.freeSlot(r)
	a.guard.finish(r, now)
}

// removeIfEnded removes an admission from the Engine if it was released, has no requests in
// progress and its records have expired. It reports whether it did.
func (e *Engine) removeIfEnded(a *admission) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claimed || len(a.occupying) > 0 || time.Since(a.releasedAt) < recordRetention {
		return false
	}
	delete(e.admissions, a.resource.Index)
	return true
}
