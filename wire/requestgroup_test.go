package wire_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against a request record that changes in its compact form: a holder that took it over
// would then run the request again or give it another status.
func TestPackedRequests(t *testing.T) {
	g := NewWithT(t)
	var requests []*pb.RequestRecord
	var marks []*pb.FlowWatermark
	for service := range uint32(2) {
		for i := range uint32(60) {
			flow := &pb.FlowKey{CallerIp: i * 0x01030507, CallerPort: 65535 - i, ServiceIp: service + 9, ServicePort: 8001}
			requests = append(requests, &pb.RequestRecord{
				Flow: flow, RequestId: uint64(60-i) << (i / 2 * 2 % 60), Finished: i%2 == 0, Status: pb.Status(i % 5),
				Reason: pb.Reason(i % 20), AgeMs: i * i * 1_000_000, Finishing: []string{"", "a", "daemon-b"}[i%3],
			})
			marks = append(marks, &pb.FlowWatermark{Flow: flow, RequestId: uint64(i) << 40})
		}
	}
	groups := wire.PackRequests(requests, marks)
	g.Expect(groups).To(HaveLen(2))
	gotRequests, gotMarks, err := wire.UnpackRequests(groups)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gotRequests).To(HaveLen(len(requests)))
	for i := range requests {
		g.Expect(proto.Equal(gotRequests[i], requests[i])).To(BeTrue(), "%v %v", gotRequests[i], requests[i])
	}
	g.Expect(gotMarks).To(HaveLen(len(marks)))
	for i := range marks {
		g.Expect(proto.Equal(gotMarks[i], marks[i])).To(BeTrue())
	}

	for _, spoil := range []func(g *pb.RequestGroup){
		func(g *pb.RequestGroup) { g.Requests = g.Requests[:len(g.Requests)-1] },
		func(g *pb.RequestGroup) { g.Watermarks = g.Watermarks[:len(g.Watermarks)-1] },
		func(g *pb.RequestGroup) { g.Finishing = nil },
	} {
		spoiled := proto.CloneOf(groups[1])
		spoil(spoiled)
		_, _, err = wire.UnpackRequests([]*pb.RequestGroup{spoiled})
		g.Expect(err).To(MatchError(wire.ErrMalformed))
	}
}
