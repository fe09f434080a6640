package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/config/relay"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// newDeclaration returns a declaration of service-0, service-1 and so on, whose upstreams have the given
// numbers of slots; 0 leaves a service out.
func newDeclaration(g Gomega, slots []int) *declaration.Declaration {
	services, upstreams := strings.Builder{}, strings.Builder{}
	for i, n := range slots {
		if n == 0 {
			continue
		}
		fmt.Fprintf(&services, "  - {name: service-%d, address: \"127.2.%d.%d:8001\", aim: connections}\n", i, i/200+1, i%200+1)
		for u := range 3 {
			fmt.Fprintf(&upstreams, "  - {name: u%d-%d, service: service-%d, zone: zone-1, address: \"127.1.%d.%d:%d\", slots: %d}\n",
				i, u, i, i/200+1, i%200+1, 9000+u, n)
		}
	}
	text := fmt.Sprintf("deployment: test\nzones: [zone-1, zone-2, zone-3]\nservices:\n%supstreams:\n%s", services.String(), upstreams.String())
	d, errs := declaration.Parse("test.yaml", []byte(text))
	g.Expect(errs).To(BeEmpty())
	return d
}

// newRelay returns a relay whose Run is not called, and its counters.
func newRelay() (*relay.Relay, *telemetry.Counters) {
	counters := telemetry.NewCounters()
	return relay.New(relay.Options{Self: "a", Counters: counters, Logger: zerolog.Nop()}), counters
}

// Guards against a delta that yields another configuration than the whole one would. Services are added,
// removed and changed at random, which also reorders them, and the receiver misses some generations.
func TestDeltasYieldTheSameConfiguration(t *testing.T) {
	g := NewWithT(t)
	deltas := int64(0)
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		sender, counters := newRelay()
		receiver, _ := newRelay()
		slots := make([]int, 8)
		current := &pb.Configuration{}
		for step := range 30 {
			for range 1 + rng.IntN(3) {
				slots[rng.IntN(len(slots))] = rng.IntN(4)
			}
			slots[0] = 1 // A declaration has at least one service.
			next, _ := declaration.Build(current, newDeclaration(g, slots), fmt.Sprint("change-", step), "operator", time.Unix(int64(step), 0))
			next.Generation = current.GetGeneration() + 1
			current = next
			sender.HandlePush(&pb.PushConfigurationRequest{Configuration: proto.CloneOf(next)})
			if rng.IntN(3) == 0 {
				continue // The receiver misses this generation.
			}
			response := sender.HandleGet(&pb.GetConfigurationRequest{HaveGeneration: receiver.Current().Generation()})
			receiver.HandlePush(&pb.PushConfigurationRequest{Configuration: response.GetConfiguration(), Delta: response.GetDelta()})
			want := proto.CloneOf(next)
			want.History = want.GetHistory()[:min(4, len(want.GetHistory()))]
			g.Expect(proto.Equal(receiver.Current().Proto, want)).To(BeTrue(), "seed %d, generation %d: %v is not %v", seed, next.GetGeneration(), receiver.Current().Proto, want)
		}
		deltas += counters.Get("config.relayed_deltas")
	}
	g.Expect(deltas).To(BeNumerically(">", 100), "too few responses are deltas")
}

// Guards against a delta that is applied to a generation other than its base.
func TestDeltaToAnotherBaseIsRefused(t *testing.T) {
	g := NewWithT(t)
	receiver, counters := newRelay()
	receiver.HandlePush(&pb.PushConfigurationRequest{Configuration: &pb.Configuration{Generation: 5, ChangeId: "five"}})
	for _, base := range []uint64{4, 6} {
		response := receiver.HandlePush(&pb.PushConfigurationRequest{Delta: &pb.ConfigurationDelta{
			BaseGeneration: base, Changed: &pb.Configuration{Generation: 8},
		}})
		g.Expect(response.GetGeneration()).To(Equal(uint64(5)))
	}
	g.Expect(counters.Get("refusal.config_delta_base")).To(Equal(int64(2)))
	receiver.HandlePush(&pb.PushConfigurationRequest{Delta: &pb.ConfigurationDelta{
		BaseGeneration: 5, Changed: &pb.Configuration{Generation: 4},
	}})
	g.Expect(receiver.Current().Generation()).To(Equal(uint64(5)), "the delta results in an older generation")
}

// Guards against relayed bytes that grow with the number of services. A change of one service must send
// about the same number of bytes per daemon whether the configuration has 20 services or 200.
func TestRelayedBytesDoNotGrowWithTheServices(t *testing.T) {
	perDaemon := map[int]float64{}
	for _, services := range []int{20, 200} {
		runWithFleet(t, 24, func(g Gomega, f *fleet) {
			slots := make([]int, services)
			for i := range slots {
				slots[i] = 2
			}
			f.commitDeclaration("change-2", newDeclaration(g, slots))
			f.waitForGeneration(2, 10*time.Second)
			time.Sleep(5 * time.Second)
			before := f.sum("config.relayed_bytes")
			const changes = 10
			for i := range changes {
				slots[i] = 3
				f.commitDeclaration(fmt.Sprint("change-", i+3), newDeclaration(g, slots))
				f.waitForGeneration(uint64(i+3), 10*time.Second)
				time.Sleep(3 * time.Second)
			}
			perDaemon[services] = float64(f.sum("config.relayed_bytes")-before) / 24 / changes
			t.Logf("%d services: %.0f bytes per daemon and change", services, perDaemon[services])
		})
	}
	g := NewWithT(t)
	g.Expect(perDaemon[200]).To(BeNumerically("<", 1.5*perDaemon[20]))
}

// commitDeclaration commits a declaration to the store.
func (f *fleet) commitDeclaration(id string, d *declaration.Declaration) {
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	result := commit.Commit(ctx, f.operator, id, 0, func(previous *pb.Configuration) (*pb.Configuration, error) {
		next, _ := declaration.Build(previous, d, id, "operator", time.Now())
		return next, nil
	})
	f.g.Expect(result.Outcome).To(Equal(pb.Outcome_OUTCOME_COMMITTED))
}
