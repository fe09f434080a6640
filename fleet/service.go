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
	response, err := s.deflateCache.encodeRecordSet(rs, time.Now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(response), nil
}
