package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/store"
)

// Guards against eras that are lost between daemons, and against the compressed body of an earlier era that is sent
// for a record with the same revision of the present one. Guards also against a configuration that is compressed again
// for each request because the listed and the kept one replace each other in the cache.
func TestRecordSetCarriesEras(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	large := func(fill byte, era store.Era) store.Record {
		body := make([]byte, 2*deflateThreshold)
		for i := range body {
			body[i] = fill
		}
		return store.Record{Name: "main", Version: 9, Body: body, Era: era}
	}
	sent := discovery.RecordSet{
		AsOf: 12, Era: 3, ValidatedAt: now.Add(-time.Second), EraSince: now.Add(-2 * time.Second),
		Records: []store.Record{large('n', 3)}, Kept: []store.Record{large('o', 2)},
	}
	cache := newDeflateCache()
	m, err := cache.encodeRecordSet(sent, now)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := cache.encodeRecordSet(sent, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(&again.Records[0].DeflatedBody[0]).To(BeIdenticalTo(&m.Records[0].DeflatedBody[0]), "compressed once")
	g.Expect(&again.Kept[0].DeflatedBody[0]).To(BeIdenticalTo(&m.Kept[0].DeflatedBody[0]), "compressed once")
	received, err := decodeRecordSet(m, now, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(Equal(sent))
}

// Guards against a grace period after a restoration of the store that ends too early, because the call to another daemon
// took long or this daemon stood still during it: the records must not count as validated later than they were, and
// the era not as having begun earlier.
func TestTimesOfSlowRecordCall(t *testing.T) {
	g := NewWithT(t)
	requestedAt := time.Unix(1_700_000_000, 0)
	for _, answeredAt := range []time.Time{requestedAt, requestedAt.Add(time.Second), requestedAt.Add(3 * time.Second)} {
		sent := discovery.RecordSet{ValidatedAt: answeredAt.Add(-time.Second), EraSince: answeredAt.Add(-2 * time.Second)}
		m, err := newDeflateCache().encodeRecordSet(sent, answeredAt)
		g.Expect(err).NotTo(HaveOccurred())
		received, err := decodeRecordSet(m, requestedAt, requestedAt.Add(3*time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(received.ValidatedAt).To(BeTemporally("<=", sent.ValidatedAt))
		g.Expect(received.EraSince).To(BeTemporally(">=", sent.EraSince))
	}
}
