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

// recordService serves the copies of this daemon to others.
type recordService struct {
	follower *discovery.Syncer
	bodies   *bodies
}

// NewHandler returns the path and handler of the records that other daemons may ask for.
func NewHandler(f *discovery.Syncer) (string, http.Handler) {
	return fulmarfieldv1connect.NewRecordServiceHandler(recordService{f, newBodies()})
}

// ListRecords implements the service; it fails with UNAVAILABLE while the kind is not known.
func (s recordService) ListRecords(_ context.Context, r *connect.Request[pb.ListRecordsRequest]) (*connect.Response[pb.ListRecordsResponse], error) {
	p, err := s.follower.Records(store.Kind(r.Msg.GetKind()), r.Msg.GetDigests())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &pb.ListRecordsResponse{AsOf: uint64(p.AsOf), AgeMs: milliseconds(time.Since(p.ValidatedAt))}
	for _, b := range p.Buckets {
		response.Buckets = append(response.Buckets, uint32(b))
	}
	for _, record := range p.Records {
		encoded, err := s.bodies.encode(record)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		response.Records = append(response.Records, encoded)
	}
	return connect.NewResponse(response), nil
}
