package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
)

const (
	// maxPages bounds a list at the design size: 65,000 upstreams with 50 per page.
	maxPages = 2000
	// initialRateLimitPause is the pause before a page is requested again that the store refused
	// because of its rate limit. Only that page is repeated, so that many daemons that start at once
	// do not all restart their lists at each refusal. The pause is about the time that the store
	// needs to serve the calls which a fleet makes in one second when all its daemons list. It
	// doubles with each refusal. maxRateLimitRetries bounds the retries of one page.
	initialRateLimitPause = 50 * time.Millisecond
	maxRateLimitRetries   = 5
)

// list reads all records of a kind from the store. When a whole fleet starts at once, only the
// seeds read the latest records. The other daemons begin with records that may be stale, which the
// advertisements of the seeds validate or supersede. So the rate limit of the store suffices for a
// fleet of any size. A seed that the store refuses because of its rate limit begins with stale
// records too. A list that may yield ends with errListSuperseded as soon as the records need no list any more: of the
// daemons whose lists become due while one of them lists, few read more than some pages.
func (s *Syncer) list(ctx context.Context, kind store.Kind, cause readCause, mayYield bool) (store.Listing, error) {
	l := store.Listing{MayBeStale: cause == causeInitial && s.peers != nil && !s.peers.IsSeed()}
	after := ""
	for n := range maxPages {
		if n > 0 && mayYield && !s.needsList(kind) {
			return store.Listing{}, errListSuperseded
		}
		p, err := s.listPage(ctx, kind, after, cause, &l)
		if err != nil {
			return store.Listing{}, err
		}
		if n == 0 {
			l.AsOf, l.Era = p.AsOf, p.Era
		}
		if p.Era != l.Era {
			return store.Listing{}, fmt.Errorf("list %s: era %d after %d: %w", kind, p.Era, l.Era, errOtherEra)
		}
		l.Records = append(l.Records, p.Records...)
		if p.Next == "" || p.Next <= after {
			return l, nil
		}
		after = p.Next
	}
	return store.Listing{}, fmt.Errorf("list %s: more than %d pages: %w", kind, maxPages, store.ErrTooLarge)
}

// listPage reads the page after a name, or the first page if the name is empty. When the store refuses
// a page because of its rate limit, an initial list continues with stale reads. Any other list requests
// the page again, unless it is the first page: another daemon may serve the records instead.
func (s *Syncer) listPage(ctx context.Context, kind store.Kind, after string, cause readCause, l *store.Listing) (store.Page, error) {
	if l.MayBeStale {
		return s.readPage(ctx, kind, after, store.AllowStale)
	}
	pause := initialRateLimitPause
	for try := 0; ; try++ {
		p, err := s.readPage(ctx, kind, after, store.Latest)
		if !errors.Is(err, store.ErrRateLimited) {
			return p, err
		}
		s.options.Counters.Count("retry.store_rate")
		if cause == causeInitial {
			l.MayBeStale = true
			return s.readPage(ctx, kind, after, store.AllowStale)
		}
		if try == maxRateLimitRetries || after == "" {
			return p, err
		}
		if err := wait.For(ctx, pause/2+rand.N(pause)); err != nil {
			return store.Page{}, err
		}
		pause *= 2
	}
}
