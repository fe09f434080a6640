package fleet

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

// Guards against datagrams that count as sent later than they were: when the clock's milliseconds wrap around, after a
// suspension, and when the stamp is that of another process or too old to be exact.
func TestStampsDateDatagrams(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		offset uint32
		// sentAt is the time of the stamp, and readAt that of the datagram which returns it after echoAge.
		sentAt, readAt, echoAge time.Duration
		// suspended is for how long this VM was suspended in between.
		suspended time.Duration
		// want is the result less the time of the stamp.
		want    time.Duration
		isDated bool
	}{
		"at once":                      {offset: 7, sentAt: time.Second, readAt: time.Second + 4*time.Millisecond, want: -time.Millisecond, isDated: true},
		"after some time there":        {offset: 7, sentAt: time.Second, readAt: 3 * time.Second, echoAge: 1900 * time.Millisecond, want: 1899 * time.Millisecond, isDated: true},
		"waited here":                  {offset: 7, sentAt: time.Second, readAt: 9 * time.Second, echoAge: time.Millisecond, want: 0, isDated: true},
		"part of a millisecond":        {offset: 7, sentAt: time.Second + 900*time.Microsecond, readAt: 2*time.Second + 100*time.Microsecond, want: -1800 * time.Microsecond, isDated: true},
		"wraps around":                 {offset: 1<<32 - 1500, sentAt: time.Second, readAt: 2 * time.Second, want: -time.Millisecond, isDated: true},
		"suspended in between":         {offset: 7, sentAt: time.Second, readAt: time.Second, suspended: 5 * time.Second, want: -5001 * time.Millisecond, isDated: true},
		"stamp of another process":     {offset: 1 << 30, sentAt: -time.Hour, readAt: time.Second},
		"stamp of the future":          {offset: 7, sentAt: 2 * time.Second, readAt: time.Second},
		"too old":                      {offset: 7, sentAt: time.Second, readAt: 17 * time.Second},
		"came back before it was sent": {offset: 7, sentAt: time.Second, readAt: 2 * time.Second, echoAge: 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock := stampClock{began: start, offset: c.offset}
			m := &pb.FleetDatagram{Echo: clock.stamp(start.Add(c.sentAt), 0), EchoAgeMs: uint32(c.echoAge / time.Millisecond)}
			after, isDated := clock.sentAfter(m, start.Add(c.readAt), c.suspended)
			g.Expect(isDated).To(Equal(c.isDated))
			if isDated {
				g.Expect(after.Sub(start.Add(c.sentAt))).To(Equal(c.want))
			}
		})
	}
}

// Guards against an advertisement that counts as sent later than its ages were computed: this process stood still in
// between, and a datagram of the receiver arrived meanwhile.
func TestEchoIsAsOldAsTheAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startDaemon(t, t.Context(), memnet.New(nil), 0, &atomic.Int64{}, false)
		receive := func() {
			raw, err := proto.Marshal(&pb.FleetDatagram{SentAt: 9})
			g.Expect(err).NotTo(HaveOccurred())
			f.handleDatagram(wire.Datagram{Addr: netip.AddrPortFrom(address(1), port), Data: raw}, time.Now())
		}
		receive()
		time.Sleep(300 * time.Millisecond)
		agesAt := time.Now()
		time.Sleep(1500 * time.Millisecond)
		g.Expect(f.echoTo(address(1), agesAt).GetEchoAgeMs()).To(BeEquivalentTo(300))
		receive()
		g.Expect(f.echoTo(address(1), agesAt).GetEcho()).To(BeZero())
		g.Expect(f.echoTo(address(1), time.Now()).GetEcho()).To(BeEquivalentTo(9))
	})
}
