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
	// maxPages bounds a list at the design size, 65,000 upstreams of 50 a page.
	maxPages = 2000
	// A page that the store refuses for its rate is asked for again after a pause, so that many
	// daemons that start at once do not all begin anew at each refusal. The pause is about what
	// a second's calls of a fleet that lists at once need, and doubles.
	firstRatePause = 50 * time.Millisecond
	maxRatePauses  = 5
)

// list reads all records of a kind from the store. When a whole fleet starts at once, only the seeds
// read the newest records. The others begin with records that may lag, which the seeds' claims
// confirm or correct; so the store's rate suffices for a fleet of any size. A seed that the store
// refuses for its rate does the same.
func (f *Follower) list(ctx context.Context, kind store.Kind, why cause) (store.Listing, error) {
	l := store.Listing{MayBeStale: why == causeFirst && f.source != nil && !f.source.IsSeed()}
	after := ""
	for n := range maxPages {
		p, err := f.listPage(ctx, kind, after, why, &l)
		if err != nil {
			return store.Listing{}, err
		}
		if n == 0 {
			l.AsOf = p.AsOf
		}
		l.Records = append(l.Records, p.Records...)
		if p.Next == "" || p.Next <= after {
			return l, nil
		}
		after = p.Next
	}
	return store.Listing{}, fmt.Errorf("list %s: more than %d pages: %w", kind, maxPages, store.ErrTooLarge)
}

func (f *Follower) listPage(ctx context.Context, kind store.Kind, after string, why cause, l *store.Listing) (store.Page, error) {
	if l.MayBeStale {
		return f.options.Store.ListPage(ctx, kind, after, store.AllowStale)
	}
	pause := firstRatePause
	for try := 0; ; try++ {
		p, err := f.options.Store.ListPage(ctx, kind, after, store.Latest)
		if !errors.Is(err, store.ErrRateLimited) {
			return p, err
		}
		f.options.Counters.Count("retry.store_rate")
		if why == causeFirst {
			l.MayBeStale = true
			return f.options.Store.ListPage(ctx, kind, after, store.AllowStale)
		}
		if try == maxRatePauses || after == "" {
			return p, err
		}
		if err := wait.For(ctx, pause/2+rand.N(pause)); err != nil {
			return store.Page{}, err
		}
		pause *= 2
	}
}
