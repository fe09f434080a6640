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

// costKeeper hands over records without work of its own.
type costKeeper struct{ records *pb.ResourceRecords }

func (costKeeper) Activate(ownership.Resource, *pb.ResourceRecords, ownership.Provenance) {}
func (k costKeeper) Release(ownership.Resource) *pb.ResourceRecords                       { return k.records }
func (costKeeper) Merge(ownership.Resource, *pb.ResourceRecords)                          {}

// costView holds "self" and others, of which one may be dropped.
func costView(members, droppedMember int) *membership.View {
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

func partitionsOf(services int) []ownership.Resource {
	var list []ownership.Resource
	for s := range services {
		for i := range uint32(ownership.PartitionCount) {
			list = append(list, ownership.Resource{Kind: pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION, Service: uint32(s + 1), Index: i})
		}
	}
	return list
}

func newCost(view func() *membership.View, resources []ownership.Resource, keeper ownership.Keeper) *ownership.Ownership {
	return ownership.New(ownership.Options{Self: "self", Viewer: membership.ViewerFunc(view), Counters: telemetry.NewCounters(),
		Keepers:   map[pb.ResourceKind]ownership.Keeper{pb.ResourceKind_RESOURCE_KIND_FLOW_PARTITION: keeper},
		Resources: func() []ownership.Resource { return resources }})
}

// Reports the processor time of a daemon that computes the holders of all resources after a
// change of the view, by members and services.
func BenchmarkViewChange(b *testing.B) {
	for _, size := range []struct{ members, services int }{{6, 2}, {96, 2}, {1000, 2}, {6, 11}, {96, 11}, {6, 100}, {96, 100}} {
		b.Run(fmt.Sprintf("members=%d/services=%d", size.members, size.services), func(b *testing.B) {
			views := []*membership.View{costView(size.members, 0), costView(size.members, 3)}
			current := 0
			o := newCost(func() *membership.View { return views[current] }, partitionsOf(size.services), costKeeper{})
			b.ReportAllocs()
			for b.Loop() {
				current = 1 - current
				o.OnViewChange(nil, nil)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size.services*ownership.PartitionCount), "ns/resource")
		})
	}
}

// Reports the memory of a resource that a daemon knows.
func BenchmarkResourceMemory(b *testing.B) {
	for _, services := range []int{2, 100, 400} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			view := costView(6, 0)
			resources := partitionsOf(services)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				o := newCost(func() *membership.View { return view }, resources, costKeeper{})
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(o)
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(len(resources)), "B/resource")
			}
		})
	}
}

// Reports the processor time of the protocol for one resource that another daemon claims and
// offers back, without its records.
func BenchmarkClaim(b *testing.B) {
	view := costView(1, 0)
	resources := partitionsOf(1)[:1]
	o := newCost(func() *membership.View { return view }, resources, costKeeper{&pb.ResourceRecords{}})
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
