package fleet

import (
	"context"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/outlier"
)

const (
	// reportBatchInterval is how long reports wait for others, so that one datagram carries them.
	reportBatchInterval = 50 * time.Millisecond
	// maxReportsPerDatagram keeps a datagram of reports within one packet.
	maxReportsPerDatagram = 32
	// reportBytesPerSecond and reportBurstBytes limit what this daemon sends for reports. The burst
	// covers the first reports after several upstreams have become slow at once.
	reportBytesPerSecond = 1000
	reportBurstBytes     = 20_000
	// maxQueuedReports bounds the reports that wait to be sent, or to be read by the daemon.
	maxQueuedReports = 512
	// maxReportAge is the age from which on a report is not passed on.
	maxReportAge = 2 * time.Second
	// serialRetention is how long the serial of an origin's last report is kept. An origin that
	// restarted begins with another serial.
	serialRetention = 10 * time.Second
	// maxReportedCount bounds the weight of one report.
	maxReportedCount = 100
	// maxSources bounds the memory that forged origins can take up.
	maxSources = 16_384
	// udpOverheadBytes is the length of the IP and UDP headers of a datagram.
	udpOverheadBytes = 28
)

// reportSource identifies the reports of one daemon on one upstream.
type reportSource struct {
	origin   netip.Addr
	upstream uint64
}

// lastReport is the last report from a source.
type lastReport struct {
	serial     uint32
	receivedAt time.Time
}

// reportRelay passes the reports of this daemon and of others on to other daemons. Its methods may be
// called concurrently.
type reportRelay struct {
	// received are the reports of other daemons that this daemon has not read yet.
	received chan outlier.Report
	// queued wakes the sender when there are reports in the queue.
	queued chan struct{}
	budget *rate.Limiter

	mu sync.Mutex
	// queue holds the reports that were not sent yet, oldest first.
	queue []outlier.Report
	last  map[reportSource]lastReport
}

func newReportRelay() *reportRelay {
	return &reportRelay{
		received: make(chan outlier.Report, maxQueuedReports), queued: make(chan struct{}, 1),
		last: map[reportSource]lastReport{}, budget: rate.NewLimiter(reportBytesPerSecond, reportBurstBytes),
	}
}

// enqueue adds reports to those that will be sent, and returns how many older ones it dropped.
func (r *reportRelay) enqueue(reports ...outlier.Report) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append(r.queue, reports...)
	dropped := max(len(r.queue)-maxQueuedReports, 0)
	r.queue = r.queue[dropped:]
	r.wakeLocked()
	return dropped
}

// wakeLocked wakes the sender if there are reports in the queue. The caller holds r.mu.
func (r *reportRelay) wakeLocked() {
	if len(r.queue) == 0 {
		return
	}
	select {
	case r.queued <- struct{}{}:
	default: // The sender will wake already.
	}
}

// dequeue removes the reports that the next datagram carries. Of a long queue it takes the latest ones.
func (r *reportRelay) dequeue(now time.Time) []outlier.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) > 0 && now.Sub(r.queue[0].ObservedAt) > maxReportAge {
		r.queue = r.queue[1:]
	}
	first := max(len(r.queue)-maxReportsPerDatagram, 0)
	batch := r.queue[first:]
	r.queue = r.queue[:first:first]
	r.wakeLocked()
	return batch
}

// isNew reports whether a report is later than all earlier ones from its source, and records it. It returns
// false for a new source if there are too many.
func (r *reportRelay) isNew(report outlier.Report, now time.Time) bool {
	source := reportSource{report.Origin, report.Upstream}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.last[source]
	if known && now.Sub(last.receivedAt) < serialRetention && int32(report.Serial-last.serial) <= 0 {
		return false
	}
	if !known && len(r.last) >= maxSources {
		return false
	}
	r.last[source] = lastReport{report.Serial, now}
	return true
}

// expire drops the serials of sources without recent reports.
func (r *reportRelay) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for source, last := range r.last {
		if now.Sub(last.receivedAt) > serialRetention {
			delete(r.last, source)
		}
	}
}

// PublishReports sends reports of this daemon to other daemons. It does not wait.
func (f *Fleet) PublishReports(reports []outlier.Report) {
	for i := range reports {
		reports[i].Origin = f.members.self
	}
	f.countDroppedReports(f.reports.enqueue(reports...))
}

// Reports returns the channel from which this daemon reads the reports of other daemons.
func (f *Fleet) Reports() <-chan outlier.Report { return f.reports.received }

// countDroppedReports counts reports that are not sent, since newer ones replace them soon.
func (f *Fleet) countDroppedReports(n int) { f.options.Counters.Add("fleet.reports_dropped", int64(n)) }

// relayReports sends the queued reports until the context is cancelled.
func (f *Fleet) relayReports(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.reports.queued:
		}
		if err := wait.For(ctx, reportBatchInterval); err != nil {
			return err
		}
		now := time.Now()
		if batch := f.reports.dequeue(now); len(batch) > 0 {
			f.sendReports(batch, now)
		}
	}
}

// sendReports sends reports to several other daemons, unless the budget is exhausted.
func (f *Fleet) sendReports(batch []outlier.Report, now time.Time) {
	m := &pb.FleetDatagram{Zone: f.options.Zone}
	for _, r := range batch {
		origin := r.Origin.As4()
		m.Reports = append(m.Reports, &pb.ResponseReport{
			Upstream: r.Upstream, Origin: binary.BigEndian.Uint32(origin[:]), Serial: r.Serial,
			AgeMs: ageMilliseconds(now.Sub(r.ObservedAt)), Slow: uint32(r.Slow), Fast: uint32(r.Fast),
		})
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		f.options.Logger.Error().Str("event", "fleet_encode_failed").Err(err).Send()
		return
	}
	f.mu.Lock()
	to := f.members.pick(gossipFanout)
	f.mu.Unlock()
	bytes := len(to) * (len(raw) + udpOverheadBytes)
	if !f.reports.budget.AllowN(now, bytes) || !f.traffic.allows(bytes, now) {
		f.countDroppedReports(len(batch))
		return
	}
	f.sendDatagram(to, raw)
}

// handleReports accepts the reports in a datagram that this daemon has not received before, and passes
// them on.
func (f *Fleet) handleReports(m *pb.FleetDatagram, now time.Time) {
	for _, r := range m.GetReports() {
		var origin [4]byte
		binary.BigEndian.PutUint32(origin[:], r.GetOrigin())
		report := outlier.Report{
			Upstream: r.GetUpstream(), Origin: netip.AddrFrom4(origin), Serial: r.GetSerial(),
			ObservedAt: now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
			Slow:       int(min(r.GetSlow(), maxReportedCount)), Fast: int(min(r.GetFast(), maxReportedCount)),
		}
		if report.Origin == f.members.self || now.Sub(report.ObservedAt) > maxReportAge || !f.reports.isNew(report, now) {
			continue
		}
		f.countDroppedReports(f.reports.enqueue(report))
		select {
		case f.reports.received <- report:
		default:
			f.countDroppedReports(1)
		}
	}
}
