package wire_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against a request record that changes in its compact encoding: a new holder that receives
// it at a hand-over would run the request again or return another status for it.
func TestPackRequestsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	var requests []*pb.RequestRecord
	var watermarks []*pb.FlowWatermark
	for service := range uint32(2) {
		for i := range uint32(60) {
			flow := &pb.FlowKey{CallerIp: i * 0x01030507, CallerPort: 65535 - i, ServiceIp: service + 9, ServicePort: 8001}
			requests = append(requests, &pb.RequestRecord{
				Flow: flow, RequestId: uint64(60-i) << (i / 2 * 2 % 60), Finished: i%2 == 0, Status: pb.Status(i % 5),
				Reason: pb.Reason(i % 20), AgeMs: i * i * 1_000_000, Finishing: []string{"", "a", "daemon-b"}[i%3], RedirectedHere: i%4 > 1,
			})
			watermarks = append(watermarks, &pb.FlowWatermark{Flow: flow, RequestId: uint64(i) << 40})
		}
	}
	groups := wire.PackRequests(requests, watermarks)
	g.Expect(groups).To(HaveLen(2))
	gotRequests, gotWatermarks, err := wire.UnpackRequests(groups)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gotRequests).To(HaveLen(len(requests)))
	for i := range requests {
		g.Expect(proto.Equal(gotRequests[i], requests[i])).To(BeTrue(), "%v %v", gotRequests[i], requests[i])
	}
	g.Expect(gotWatermarks).To(HaveLen(len(watermarks)))
	for i := range watermarks {
		g.Expect(proto.Equal(gotWatermarks[i], watermarks[i])).To(BeTrue())
	}

	for _, corrupt := range []func(g *pb.RequestGroup){
		func(g *pb.RequestGroup) { g.Requests = g.Requests[:len(g.Requests)-1] },
		func(g *pb.RequestGroup) { g.Watermarks = g.Watermarks[:len(g.Watermarks)-1] },
		func(g *pb.RequestGroup) { g.Finishing = nil },
	} {
		corrupted := proto.CloneOf(groups[1])
		corrupt(corrupted)
		_, _, err = wire.UnpackRequests([]*pb.RequestGroup{corrupted})
		g.Expect(err).To(MatchError(wire.ErrMalformed))
	}
}
