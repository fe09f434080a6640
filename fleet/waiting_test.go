package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

// Guards against records that count as fresher than they are because a datagram waited (review/7): a daemon that stood
// still took what it read then for sent just now, and told the others, which reset flows on a route that had been added.
// A daemon without a change must never count its records as validated after that change, however long datagrams
// waited, wherever they did, and however many daemons passed the time on.
func TestWaitingDatagramsMakeNoRecordsFresher(t *testing.T) {
	for name, longest := range map[string]time.Duration{"short": 40 * time.Millisecond, "freeze": 1500 * time.Millisecond, "long": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newChangingStore(6)
				s.maxWatchLag = 4 * time.Second
				syncers, _ := startFleetOn(t, 6, s, memnet.New(func(_, to netip.AddrPort, _ []byte) []time.Duration {
					// Two daemons stand still again and again.
					if to.Addr() == address(1) || to.Addr() == address(4) {
						step := 2 * longest
						return []time.Duration{time.Millisecond + max(longest-time.Since(time.Now().Truncate(step)), 0)}
					}
					return []time.Duration{time.Millisecond + rand.N(5*time.Millisecond)}
				}))
				time.Sleep(10 * time.Second)
				for range 20 {
					changedAt := time.Now()
					s.write(0)
					version := s.version
					for range 60 {
						time.Sleep(50 * time.Millisecond)
						for n, syncer := range syncers {
							validatedAt := syncer.UpstreamsValidatedAt()
							rs, err := syncer.Records(platform.KindUpstreams, nil)
							g.Expect(err).NotTo(HaveOccurred())
							changed := slices.IndexFunc(rs.Records, func(r store.Record) bool { return r.Name == s.records[0].Name })
							if rs.Records[changed].Version < version {
								g.Expect(validatedAt).To(BeTemporally("<=", changedAt), "daemon %d", n)
							}
						}
					}
				}
			})
		})
	}
}
