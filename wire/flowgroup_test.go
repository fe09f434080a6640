package wire_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against a flow that is decoded from its compact encoding with another key, upstream or
// service, and against a truncated group that is decoded without an error.
func TestPackFlowsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	newFlowKey := func(caller, service uint32) *pb.FlowKey {
		return &pb.FlowKey{CallerIp: caller, CallerPort: caller%65535 + 1, ServiceIp: service, ServicePort: 8000 + service}
	}
	var records []*pb.FlowRecord
	var ended []*pb.FlowKey
	for service := range uint32(3) {
		for i := range uint32(40) {
			records = append(records, &pb.FlowRecord{
				Flow: newFlowKey(i*0x01030507, service+1), Service: service + 1, Upstream: i * 100_003,
				Established: i%2 == 0, Exception: i%3 == 0, IdleMs: i * i * 60_000,
			})
			ended = append(ended, newFlowKey(i+1000, service+1))
		}
	}
	groups := wire.PackFlows(records, ended)
	g.Expect(groups).To(HaveLen(3))
	gotRecords, gotEnded, err := wire.UnpackFlows(groups)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gotRecords).To(HaveLen(len(records)))
	for i := range records {
		g.Expect(proto.Equal(gotRecords[i], records[i])).To(BeTrue(), "%v %v", gotRecords[i], records[i])
	}
	g.Expect(gotEnded).To(HaveLen(len(ended)))
	for i := range ended {
		g.Expect(proto.Equal(gotEnded[i], ended[i])).To(BeTrue())
	}

	complete := groups[0].Flows
	groups[0].Flows = complete[:len(complete)-1]
	_, _, err = wire.UnpackFlows(groups)
	g.Expect(err).To(MatchError(wire.ErrMalformed))
	groups[0].Flows, groups[0].Ended = complete, groups[0].Ended[:5]
	_, _, err = wire.UnpackFlows(groups)
	g.Expect(err).To(MatchError(wire.ErrMalformed))
}
