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

// flowsOf counts the records that flow owners have of the flows of a caller.
func (c operators) flowsOf(f *caller.Flow) (n int) {
	c.t.Helper()
	for _, d := range c.Live() {
		r, err := d.Node.PeerService().Status(context.Background(), connect.NewRequest(&pb.StatusRequest{Caller: f.Key().Caller().String()}))
		c.Expect(err).NotTo(HaveOccurred())
		n += len(r.Msg.GetFlows())
	}
	return n
}

// Guards against the record of a flow that was reset as half-open and that its owner keeps until
// the idle limit, and against a second RESET to the upstream by way of the owner.
func TestOwnerForgetsHalfOpenFlow(t *testing.T) {
	withCluster(t, testcluster.Options{}, func(c operators) {
		var flows []*caller.Flow
		for range 30 {
			f, err := c.Open(context.Background(), "galerij")
			c.Expect(err).NotTo(HaveOccurred())
			flows = append(flows, f)
		}
		dead := flows[0]
		_, err := dead.Request(context.Background(), caller.Request{Payload: []byte("x"), Deadline: time.Second})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(c.flowsOf(dead)).To(Equal(1))
		toUpstream := 0
		c.Tamper(dropToUpstreams(dead.Key(), &toUpstream))
		for range 100 {
			for _, f := range flows[1:] {
				_, err := f.Request(context.Background(), caller.Request{Payload: []byte("x"), Deadline: time.Second})
				c.Expect(err).NotTo(HaveOccurred())
			}
			if broken, _ := dead.Broken(); broken {
				break
			}
			go func() {
				_, _ = dead.Request(context.Background(), caller.Request{Payload: []byte("y"), Deadline: time.Second})
			}()
		}
		broken, reason := dead.Broken()
		c.Expect(broken).To(BeTrue())
		c.Expect(reason).To(Equal(pb.Reason_REASON_HALF_OPEN))
		time.Sleep(100 * time.Millisecond)
		c.Expect(c.flowsOf(dead)).To(BeZero())
		c.Expect(toUpstream).To(Equal(1))
		c.Expect(c.flowsOf(flows[1])).To(Equal(1))
	})
}
