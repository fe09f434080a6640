package edge

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/standin/echo"
)

// router sends packets to the first daemon in rotation. As on the platform, a daemon leaves the rotation after
// two failed checks, which are half a second apart.
type router struct {
	daemons  []string
	misses   atomic.Int64
	interval time.Duration
}

func (r *router) target() netip.AddrPort {
	i := 0
	if r.misses.Load() >= 2 {
		i = 1
	}
	return netip.AddrPortFrom(netip.MustParseAddr(r.daemons[i]), packetPort)
}

// check queries the first daemon until the channel is closed.
func (r *router) check(done <-chan struct{}) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if statusCode("http://"+r.daemons[0]+":7702/api/ready") == http.StatusOK {
				r.misses.Store(0)
			} else {
				r.misses.Add(1)
			}
		}
	}
}

// sendRequests opens flows with a few requests each until the channel is closed, and returns the errors.
func sendRequests(c *echo.Caller, name string, done <-chan struct{}) (sent int, errs []error) {
	for {
		f, err := c.Open(serviceAddress)
		for i := 0; err == nil && i < 5; i++ {
			select {
			case <-done:
				return sent, errs
			default:
			}
			sent++
			_, err = f.Request(fmt.Sprintf("%s %d", name, sent), testTimeout)
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			return sent, append(errs, err)
		}
		f.Close()
	}
}

// Guards against a planned stop under load that cuts off requests which were just accepted, or flows that
// were just opened: routers keep sending for a second, and the process exits while callers go on.
func TestPlannedStopUnderLoad(t *testing.T) {
	g := NewWithT(t)
	s, address := startStore(t)
	stopping, _ := startDaemon(t, 1, address)
	startDaemon(t, 2, address)
	u := startUpstream(t, 1)
	s.Put("servers", u.ID, upstreamEntry(u))
	s.Put("config", "main", configuration(3))
	r := &router{daemons: []string{"127.51.0.1", "127.51.0.2"}, interval: 500 * time.Millisecond}
	for _, ip := range r.daemons {
		waitUntilReady(g, ip)
	}
	c, err := echo.StartCaller(netip.MustParseAddrPort("127.51.1.1:7701"), r.target)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Stop)
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { r.check(done) })
	var mu sync.Mutex
	total, failures := 0, []error(nil)
	const callers = 20
	for i := range callers {
		tasks.Go(func() {
			sent, errs := sendRequests(c, fmt.Sprint("caller ", i), done)
			mu.Lock()
			defer mu.Unlock()
			total, failures = total+sent, append(failures, errs...)
		})
	}
	time.Sleep(500 * time.Millisecond)
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	g.Expect(stopping.handleSignals(signals, nil)).To(Equal(exitOK))
	g.Expect(r.misses.Load()).To(BeNumerically(">=", 2), "the daemon exits after the routers have stopped sending")
	g.Expect(stopping.conn.Close()).To(Succeed())
	time.Sleep(500 * time.Millisecond)
	close(done)
	tasks.Wait()
	g.Expect(failures).To(BeEmpty())
	g.Expect(total).To(BeNumerically(">", 10*callers))
	for request, runs := range u.Runs() {
		g.Expect(runs).To(Equal(1), request)
	}
}
