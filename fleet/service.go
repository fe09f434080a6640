package fleet

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/api/fulmarfield/v1/fulmarfieldv1connect"
	"github.com/fulmarfield/fulmarfield/discovery"
	"github.com/fulmarfield/fulmarfield/store"
)

// recordService serves this daemon's cached records to other daemons.
type recordService struct {
	syncer       *discovery.Syncer
	deflateCache *deflateCache
}

// NewHandler returns the path and the handler of the service from which other daemons read records.
func NewHandler(s *discovery.Syncer) (string, http.Handler) {
	return fulmarfieldv1connect.NewRecordServiceHandler(recordService{s, newDeflateCache()})
}

// ListRecords implements the service. It returns the code Unavailable until the records of the kind
// are validated.
func (s recordService) ListRecords(_ context.Context, r *connect.Request[pb.ListRecordsRequest]) (*connect.Response[pb.ListRecordsResponse], error) {
	rs, err := s.syncer.Records(store.Kind(r.Msg.GetKind()), r.Msg.GetDigests())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &pb.ListRecordsResponse{AsOf: uint64(rs.AsOf), AgeMs: ageMilliseconds(time.Since(rs.ValidatedAt))}
	for _, b := range rs.Buckets {
		response.Buckets = append(response.Buckets, uint32(b))
	}
	for _, record := range rs.Records {
		encoded, err := s.deflateCache.encodeRecord(record)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		response.Records = append(response.Records, encoded)
	}
	return connect.NewResponse(response), nil
}
