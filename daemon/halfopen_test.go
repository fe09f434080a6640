package daemon_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
)

// countFlowRecords returns the number of records that flow owners have of the flow's caller.
func (c fixture) countFlowRecords(f *caller.Flow) (n int) {
	c.t.Helper()
	for _, d := range c.Live() {
		r, err := d.Node.PeerService().Status(context.Background(), connect.NewRequest(&pb.StatusRequest{Caller: f.Key().Caller().String()}))
		c.Expect(err).NotTo(HaveOccurred())
		n += len(r.Msg.GetFlows())
	}
	return n
}

// Guards against a flow owner that keeps the record of a flow until the idle limit after the admission
// has reset the flow as half-open, and against an owner that sends the upstream a second RESET.
func TestOwnerForgetsHalfOpenFlow(t *testing.T) {
	runWithCluster(t, testcluster.Options{}, func(c fixture) {
		var flows []*caller.Flow
		for range 30 {
			f, err := c.Open(context.Background(), "galerij")
			c.Expect(err).NotTo(HaveOccurred())
			flows = append(flows, f)
		}
		halfOpen := flows[0]
		_, err := halfOpen.Request(context.Background(), caller.Request{Payload: []byte("x"), Deadline: time.Second})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(c.countFlowRecords(halfOpen)).To(Equal(1))
		resets := 0
		c.Tamper(dropToUpstreams(halfOpen.Key(), &resets))
		for range 100 {
			for _, f := range flows[1:] {
				_, err := f.Request(context.Background(), caller.Request{Payload: []byte("x"), Deadline: time.Second})
				c.Expect(err).NotTo(HaveOccurred())
			}
			if broken, _ := halfOpen.Broken(); broken {
				break
			}
			go func() {
				_, _ = halfOpen.Request(context.Background(), caller.Request{Payload: []byte("y"), Deadline: time.Second})
			}()
		}
		broken, reason := halfOpen.Broken()
		c.Expect(broken).To(BeTrue())
		c.Expect(reason).To(Equal(pb.Reason_REASON_HALF_OPEN))
		time.Sleep(100 * time.Millisecond)
		c.Expect(c.countFlowRecords(halfOpen)).To(BeZero())
		c.Expect(resets).To(Equal(1))
		c.Expect(c.countFlowRecords(flows[1])).To(Equal(1))
	})
}
