package store_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/fulmarfield/fulmarfield/standin/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// serve starts the stand-in and returns it with a client that calls it over HTTP.
func serve(o standin.Options, c store.ClientOptions) (*standin.Platform, *store.Client) {
	p := standin.New(o)
	server := httptest.NewServer(p.Handler())
	c.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	client := store.NewClient(c)
	DeferCleanup(func() {
		p.SetOutage(true) // Ends pending watches.
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return p, client
}

type storeAndVMs interface {
	store.Store
	store.VMLister
}

// The HTTP client and the in-memory store must return the same results and errors. Otherwise tests
// in virtual time, which use the in-memory store, would not show the behaviour of the product.
var _ = DescribeTableSubtree("store", func(open func(standin.Options) (*standin.Platform, storeAndVMs)) {
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
	})

	It("applies writes only if their condition holds", func() {
		_, s := open(standin.Options{})
		_, err := s.Get(ctx, "a/b c")
		Expect(err).To(MatchError(store.ErrNotFound))
		_, err = s.Put(ctx, "a/b c", nil, store.IfVersion(7))
		Expect(err).To(MatchError(store.ErrConflict))
		v1, err := s.Put(ctx, "a/b c", []byte("one"), store.IfAbsent())
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Put(ctx, "a/b c", []byte("two"), store.IfAbsent())
		Expect(err).To(MatchError(store.ErrConflict))
		v2, err := s.Put(ctx, "a/b c", []byte("two"), store.IfVersion(v1))
		Expect(err).NotTo(HaveOccurred())
		Expect(v2).To(BeNumerically(">", v1))
		Expect(s.Delete(ctx, "a/b c", store.IfVersion(v1))).To(MatchError(store.ErrConflict))
		Expect(s.Get(ctx, "a/b c")).To(Equal(store.Object{Key: "a/b c", Value: []byte("two"), Version: v2}))
		Expect(s.List(ctx, "a/")).To(Equal([]store.Entry{{Key: "a/b c", Version: v2}}))
		Expect(s.Delete(ctx, "a/b c", store.IfVersion(v2))).To(Succeed())
		Expect(s.Delete(ctx, "a/b c", store.Always())).To(MatchError(store.ErrNotFound))
		v3, err := s.Put(ctx, "a/b c", []byte("new"), store.IfAbsent())
		Expect(err).NotTo(HaveOccurred())
		Expect(v3).To(BeNumerically(">", v2), "no version is used twice")
	})

	It("limits values and rates", func() {
		_, s := open(standin.Options{WriteRate: 5, ReadRate: 5})
		_, err := s.Put(ctx, "big", make([]byte, store.MaxValueBytes+1), store.Always())
		Expect(err).To(MatchError(store.ErrTooLarge))
		Expect(s.Put(ctx, "big", make([]byte, store.MaxValueBytes), store.Always())).NotTo(BeZero())
		var readErr, writeErr error
		for range 10 {
			if _, err := s.Get(ctx, "big"); err != nil {
				readErr = err
			}
			if _, err := s.Put(ctx, "small", nil, store.Always()); err != nil {
				writeErr = err
			}
		}
		Expect(readErr).To(MatchError(store.ErrRateLimited))
		Expect(writeErr).To(MatchError(store.ErrRateLimited))
	})

	It("distinguishes a lost response from a write that was not applied", func() {
		p, s := open(standin.Options{})
		p.LoseAnswers(1)
		_, err := s.Put(ctx, "key", []byte("x"), store.IfAbsent())
		Expect(err).To(MatchError(store.ErrOutcomeUnknown))
		Expect(s.Get(ctx, "key")).To(HaveField("Value", []byte("x")))
		p.LoseAnswers(1)
		Expect(s.Delete(ctx, "key", store.Always())).To(MatchError(store.ErrOutcomeUnknown))
		_, err = s.Get(ctx, "key")
		Expect(err).To(MatchError(store.ErrNotFound))
	})

	It("fails reads during an outage and from sources that are cut off", func() {
		p, s := open(standin.Options{})
		p.SetOutage(true)
		_, err := s.Get(ctx, "key")
		Expect(err).To(MatchError(store.ErrUnavailable))
		_, err = s.ListVMs(ctx)
		Expect(err).To(MatchError(store.ErrUnavailable))
		p.SetOutage(false)
		p.SetCut(netip.MustParsePrefix("127.0.2.0/24"))
		_, err = s.Get(ctx, "key")
		Expect(err).To(MatchError(store.ErrNotFound), "another zone is not cut off")
		p.SetCut(netip.MustParsePrefix("127.0.0.0/24"))
		_, err = s.Get(ctx, "key")
		Expect(err).To(MatchError(store.ErrUnavailable))
	})

	It("ends a watch at a change and at an outage", func() {
		p, s := open(standin.Options{})
		v, err := s.Put(ctx, "key", []byte("one"), store.IfAbsent())
		Expect(err).NotTo(HaveOccurred())
		o, changed, err := s.Watch(ctx, "key", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(o.Version).To(Equal(v))
		time.AfterFunc(50*time.Millisecond, func() { _, _ = s.Put(ctx, "key", []byte("two"), store.Always()) })
		o, changed, err = s.Watch(ctx, "key", v)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeTrue())
		Expect(o.Value).To(Equal([]byte("two")))
		time.AfterFunc(50*time.Millisecond, func() { p.SetOutage(true) })
		_, _, err = s.Watch(ctx, "key", o.Version)
		Expect(err).To(MatchError(store.ErrUnavailable))
		Expect(p.Calls()).To(HaveKeyWithValue("watch", int64(3)))
	})

	It("lists new and removed VMs with a delay", func() {
		p, s := open(standin.Options{})
		vm := store.VM{
			Name: "schuur-1", Kind: store.KindDaemon, Zone: "schuur", State: store.StateLive,
			PeerAddress: netip.MustParseAddrPort("127.1.1.1:7001"),
		}
		p.PutVM(vm)
		Expect(s.ListVMs(ctx)).To(Equal([]store.VM{vm}))
		p.SetVMLag(time.Hour, time.Hour)
		Expect(s.ListVMs(ctx)).To(BeEmpty(), "a new VM is not shown yet")
		p.SetVMLag(0, time.Hour)
		p.RemoveVM(vm.Name)
		Expect(s.ListVMs(ctx)).To(Equal([]store.VM{vm}), "a removed VM is still shown")
		p.SetVMLag(0, 0)
		Expect(s.ListVMs(ctx)).To(BeEmpty())
	})
},
	Entry("over HTTP", func(o standin.Options) (*standin.Platform, storeAndVMs) {
		return serve(o, store.ClientOptions{LocalAddress: netip.MustParseAddr("127.0.0.1")})
	}),
	Entry("in memory", func(o standin.Options) (*standin.Platform, storeAndVMs) {
		p := standin.New(o)
		return p, p.Store(netip.MustParseAddr("127.0.0.1"))
	}),
)

var _ = Describe("HTTP client", func() {
	ctx := context.Background()

	It("reports that a write to a closed port was not applied", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := netip.MustParseAddrPort(listener.Addr().String())
		Expect(listener.Close()).To(Succeed())
		_, err = store.NewClient(store.ClientOptions{Address: address}).Put(ctx, "key", nil, store.Always())
		Expect(err).To(MatchError(store.ErrUnavailable))
		Expect(err).NotTo(MatchError(store.ErrOutcomeUnknown))
	})

	It("reports an unknown outcome for a write that timed out and was applied later", func() {
		p, client := serve(standin.Options{}, store.ClientOptions{CallTimeout: 50 * time.Millisecond})
		p.SetDelay(200 * time.Millisecond)
		_, err := client.Put(ctx, "key", nil, store.IfAbsent())
		Expect(err).To(MatchError(store.ErrOutcomeUnknown))
		p.SetDelay(0)
		Eventually(func() error {
			_, err := client.Get(ctx, "key")
			return err
		}).Should(Succeed())
	})

	It("reports an unknown outcome for a write that failed with a server error", func() {
		p, client := serve(standin.Options{}, store.ClientOptions{})
		p.SetOutage(true)
		_, err := client.Put(ctx, "key", nil, store.IfAbsent())
		Expect(err).To(MatchError(store.ErrOutcomeUnknown))
	})

	It("ends a long poll without a change", func() {
		_, client := serve(standin.Options{}, store.ClientOptions{WatchWait: time.Second})
		_, changed, err := client.Watch(ctx, "key", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
	})

	It("counts its calls and errors", func() {
		counters := telemetry.NewCounters()
		_, client := serve(standin.Options{}, store.ClientOptions{Counters: counters})
		_, err := client.Get(ctx, "key")
		Expect(err).To(HaveOccurred())
		Expect(counters.Snapshot()).To(Equal(map[string]int64{"platform.call.get": 1, "platform.error.not_found": 1}))
	})

	It("refuses malformed conditions", func() {
		p := standin.New(standin.Options{})
		for name, value := range map[string]string{"If-Match": `W/"1"`, "If-None-Match": `"1"`} {
			r := httptest.NewRequest(http.MethodPut, store.PathObjects+"/key", http.NoBody)
			r.Header.Set(name, value)
			w := httptest.NewRecorder()
			p.Handler().ServeHTTP(w, r)
			Expect(w.Code).To(Equal(http.StatusBadRequest))
		}
	})
})
