package ownership_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// benchmarkHandler is a resource handler that always releases the same records and does no work.
type benchmarkHandler struct{ records *pb.ResourceRecords }

func (benchmarkHandler) Activate(ownership.Resource, *pb.ResourceRecords, ownership.Provenance) {}
func (h benchmarkHandler) Release(ownership.Resource) *pb.ResourceRecords                       { return h.records }
func (benchmarkHandler) Merge(ownership.Resource, *pb.ResourceRecords)                          {}

// newBenchmarkView returns a view of "self" and other members. The member with the number
// droppedMember is dropped; 0 drops none.
func newBenchmarkView(members, droppedMember int) *membership.View {
	v := &membership.View{Members: []membership.Member{{ID: "self", Incarnation: 5, State: alive}}}
	for i := 1; i < members; i++ {
		m := membership.Member{ID: membership.DaemonID(fmt.Sprintf("m%04d", i)), Incarnation: 5, State: alive}
		if i == droppedMember {
			m.State = dropped
		}
		v.Members = append(v.Members, m)
	}
	slices.SortFunc(v.Members, func(a, b membership.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return v
}

func flowPartitions(services int) []ownership.Resource {
	var list []ownership.Resource
	for s := range services {
		for i := range uint32(ownership.PartitionCount) {
			list = append(list, ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: uint32(s + 1), Index: i})
		}
	}
	return list
}

func newBenchmarkOwnership(view func() *membership.View, resources []ownership.Resource, handler ownership.ResourceHandler) *ownership.Ownership {
	return ownership.New(ownership.Options{Self: "self", Viewer: membership.ViewerFunc(view), Counters: telemetry.NewCounters(),
		Handlers:  map[pb.ResourceKind]ownership.ResourceHandler{pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION: handler},
		Resources: func() []ownership.Resource { return resources }})
}

// Reports the processor time that a daemon needs to recompute the desired holders of all
// resources after a change of the view, for different numbers of members and services.
func BenchmarkViewChange(b *testing.B) {
	for _, size := range []struct{ members, services int }{{6, 2}, {96, 2}, {1000, 2}, {6, 11}, {96, 11}, {6, 100}, {96, 100}} {
		b.Run(fmt.Sprintf("members=%d/services=%d", size.members, size.services), func(b *testing.B) {
			views := []*membership.View{newBenchmarkView(size.members, 0), newBenchmarkView(size.members, 3)}
			current := 0
			o := newBenchmarkOwnership(func() *membership.View { return views[current] }, flowPartitions(size.services), benchmarkHandler{})
			b.ReportAllocs()
			for b.Loop() {
				current = 1 - current
				o.OnViewChange(nil, nil)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size.services*ownership.PartitionCount), "ns/resource")
		})
	}
}

// Reports the memory that a daemon needs for the state of one resource.
func BenchmarkResourceMemory(b *testing.B) {
	for _, services := range []int{2, 100, 400} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			view := newBenchmarkView(6, 0)
			resources := flowPartitions(services)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				o := newBenchmarkOwnership(func() *membership.View { return view }, resources, benchmarkHandler{})
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(o)
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(len(resources)), "B/resource")
			}
		})
	}
}

// Reports the processor time of the protocol when another daemon claims one resource and offers
// it back, without records.
func BenchmarkClaim(b *testing.B) {
	view := newBenchmarkView(1, 0)
	resources := flowPartitions(1)[:1]
	o := newBenchmarkOwnership(func() *membership.View { return view }, resources, benchmarkHandler{&pb.ResourceRecords{}})
	view.Members = append(view.Members, membership.Member{ID: "z", Incarnation: 5, State: alive})
	claim := &pb.ClaimRequest{Claimer: "z", Incarnation: 5, Resources: []*pb.Resource{resources[0].Proto()}}
	offer := &pb.OfferRequest{Records: []*pb.ResourceRecords{{Resource: resources[0].Proto()}}}
	b.ReportAllocs()
	for b.Loop() {
		o.HandleOffer(offer)
		response, err := o.HandleClaim(claim)
		if err != nil || response.GetResults()[0].GetOutcome() != transferred {
			b.Fatalf("not transferred: %v %v", response, err)
		}
	}
}
