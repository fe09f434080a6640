package fleet

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/store"
)

const (
	// deflateThreshold is the size from which a body is compressed. A configuration of 1,600 routes
	// is 250 KB, which takes 200 ms over a link of 10 Mbit/s; compression reduces it to a tenth.
	// The entry of an upstream is 200 B.
	deflateThreshold = 4 << 10
	// maxBodyBytes bounds the size of a decompressed body: four times the largest object of the
	// store.
	maxBodyBytes = 4 << 20
)

// errBodyTooLarge means that a decompressed body is larger than any object of the store.
var errBodyTooLarge = errors.New("deflated body is too large")

// deflateCache compresses each large body once for all daemons that request it. Its methods may be
// called concurrently.
type deflateCache struct {
	mu       sync.Mutex
	deflated map[bodyName]deflatedBody
}

// bodyName names a compressed body. A record that is kept from an earlier era of the store has the same name as the
// listed one, and both are sent together.
type bodyName struct {
	name   string
	isKept bool
}

type deflatedBody struct {
	position store.Position
	data     []byte
}

func newDeflateCache() *deflateCache { return &deflateCache{deflated: map[bodyName]deflatedBody{}} }

// encodeRecord returns the message for a record, with a large body compressed.
func (b *deflateCache) encodeRecord(r store.Record, isKept bool) (*pb.StoredRecord, error) {
	encoded := &pb.StoredRecord{Name: r.Name, Version: uint64(r.Version), Era: uint64(r.Era)}
	if len(r.Body) < deflateThreshold {
		encoded.Body = r.Body
		return encoded, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	cached, isCached := b.deflated[bodyName{r.Name, isKept}]
	if !isCached || cached.position.Compare(r.Position()) != 0 {
		data, err := deflate(r.Body)
		if err != nil {
			return nil, fmt.Errorf("deflate %s: %w", r.Name, err)
		}
		cached = deflatedBody{r.Position(), data}
		b.deflated[bodyName{r.Name, isKept}] = cached
	}
	encoded.DeflatedBody = cached.data
	return encoded, nil
}

func deflate(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decodeRecord returns the record in a message of another daemon.
func decodeRecord(r *pb.StoredRecord) (store.Record, error) {
	record := store.Record{Name: r.GetName(), Version: store.Version(r.GetVersion()), Era: store.Era(r.GetEra()), Body: r.GetBody()}
	if len(r.GetDeflatedBody()) == 0 {
		return record, nil
	}
	reader := flate.NewReader(bytes.NewReader(r.GetDeflatedBody()))
	body, err := io.ReadAll(io.LimitReader(reader, maxBodyBytes+1))
	if err != nil {
		return store.Record{}, fmt.Errorf("inflate %s: %w", record.Name, err)
	}
	if len(body) > maxBodyBytes {
		return store.Record{}, fmt.Errorf("%s: %w", record.Name, errBodyTooLarge)
	}
	record.Body = body
	return record, nil
}

// encodeRecordSet returns the message for a record set.
func (b *deflateCache) encodeRecordSet(rs discovery.RecordSet, now time.Time) (*pb.ListRecordsResponse, error) {
	m := &pb.ListRecordsResponse{AsOf: uint64(rs.AsOf), AgeMs: ageMilliseconds(now.Sub(rs.ValidatedAt)), Era: uint64(rs.Era)}
	if !rs.EraSince.IsZero() {
		m.EraAgeMs = proto.Uint32(ageMilliseconds(now.Sub(rs.EraSince)))
	}
	for _, bucket := range rs.Buckets {
		m.Buckets = append(m.Buckets, uint32(bucket))
	}
	for _, record := range rs.Records {
		encoded, err := b.encodeRecord(record, false)
		if err != nil {
			return nil, err
		}
		m.Records = append(m.Records, encoded)
	}
	for _, record := range rs.Kept {
		encoded, err := b.encodeRecord(record, true)
		if err != nil {
			return nil, err
		}
		m.Kept = append(m.Kept, encoded)
	}
	return m, nil
}

// decodeRecordSet returns the record set in a message of another daemon. The ages in it were computed between the request
// and the receipt of the message. The records count as validated as early as may be, and the era as begun as late as
// may be.
func decodeRecordSet(m *pb.ListRecordsResponse, requestedAt, receivedAt time.Time) (discovery.RecordSet, error) {
	rs := discovery.RecordSet{
		AsOf: store.Version(m.GetAsOf()), Era: store.Era(m.GetEra()),
		ValidatedAt: requestedAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
	if m.EraAgeMs != nil {
		rs.EraSince = receivedAt.Add(-time.Duration(m.GetEraAgeMs()) * time.Millisecond)
	}
	for _, bucket := range m.GetBuckets() {
		rs.Buckets = append(rs.Buckets, int(bucket))
	}
	for _, r := range m.GetRecords() {
		record, err := decodeRecord(r)
		if err != nil {
			return discovery.RecordSet{}, err
		}
		rs.Records = append(rs.Records, record)
	}
	for _, r := range m.GetKept() {
		record, err := decodeRecord(r)
		if err != nil {
			return discovery.RecordSet{}, err
		}
		rs.Kept = append(rs.Kept, record)
	}
	return rs, nil
}
