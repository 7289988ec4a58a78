// Package rwstorewatch keeps a router's catalog in sync with the platform's
// store. In addition to watching for changes, it lists everything periodically,
// because a watch may report nothing although changes are made.
package rwstorewatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
)

const (
	watchTimeout = 20 * time.Second
	// listDeadlineRatio is the interval between two listings of a prefix as a
	// fraction of the deadline by which a change must be active. It leaves time
	// for one lost response.
	listDeadlineRatio = 0.35
	// defaultApplyDeadline is used if that deadline is not known.
	defaultApplyDeadline = 2 * time.Second
	// batchDelayRatio is the delay after a watch of a prefix that reported changes,
	// as a fraction of the same deadline. Changes come in bursts, and all the time
	// where there are many upstreams, and the platform counts each response of the
	// store.
	batchDelayRatio = 0.06
	// repairInterval is the listing interval of a router that receives changes
	// from the readers; its listings only add what was missed.
	repairInterval = 5 * time.Second
	// currentInterval is the number of these listings of which one is current.
	currentInterval = 3
	// retryDelay follows a failed call, so that a store that refuses calls
	// isn't flooded with them. At a router that receives changes from the readers it
	// doubles up to maxRetryDelay with each further failed listing, once it has
	// listed the store.
	retryDelay    = 150 * time.Millisecond
	maxRetryDelay = 2400 * time.Millisecond
	pollInterval  = 50 * time.Millisecond
)

// Batch is a response of the store.
type Batch struct {
	Items []rwitem.Item
	// Rev is the revision up to which the batch is complete, in the era Era.
	Rev, Era int64
	// EraFault is why Era is the last known one and not what the response states,
	// or nil.
	EraFault error
	// ReadAt is when a listing was asked for; the store may have answered it
	// later with what it had then. It is not set for changes.
	ReadAt time.Time
}

// Revision returns the position in the history of the store up to which the batch
// is complete.
func (b Batch) Revision() rwrevision.Revision { return rwrevision.Revision{Era: b.Era, Rev: b.Rev} }

// Watcher lists and watches the store for one router. All fields are set before
// Run.
type Watcher struct {
	Prefixes []string
	List     func(ctx context.Context, prefix string) (Batch, error)
	Watch    func(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
	// ListStale, if set, lists a prefix as it was up to some seconds ago, which
	// costs the store less. A router that receives changes from the readers uses it
	// for most of its periodic listings, and OnStale gets the result. Every
	// currentInterval-th one is current, since nothing else repairs a removal that the
	// router has missed, and so are those after a failure and while nothing new arrives,
	// as when all readers have lost the store.
	ListStale func(ctx context.Context, prefix string) (Batch, error)
	// Known returns the revision up to which this router has all changes, from the store
	// or from other routers.
	Known func() rwrevision.Revision
	// OnList is called with a complete listing of a prefix, OnStale with one that may
	// be stale, OnChange with the changes from a watch, and OnError after a failed call.
	OnList   func(prefix string, b Batch)
	OnStale  func(prefix string, b Batch)
	OnChange func(prefix string, b Batch)
	OnError  func(prefix string, err error)
	// IsReader reports whether this router reads the store on behalf of other
	// routers too.
	IsReader func() bool
	// Watches reports whether this router watches the store; the other readers only
	// list it.
	Watches func() bool
	// ApplyDeadline is the time within which a change must be active, or 0 if
	// it is not known.
	ApplyDeadline time.Duration

	// refresh is whether to list before the interval has passed.
	refresh atomic.Bool

	// delivering makes advancing a revision and applying what was read up to it one
	// step. Otherwise the changes of a watch are applied with the revision of a listing
	// that isn't, and a router that pulls then never gets what the listing had.
	delivering sync.Mutex

	mu        sync.Mutex
	revisions map[string]rwrevision.Revision
}

// Run lists and watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.revisions = map[string]rwrevision.Revision{}
	g, ctx := errgroup.WithContext(ctx)
	for _, prefix := range w.Prefixes {
		g.Go(func() error { w.listLoop(ctx, prefix); return nil })
		g.Go(func() error { w.watchLoop(ctx, prefix); return nil })
	}
	return g.Wait()
}

// Refresh makes the watcher list soon.
func (w *Watcher) Refresh() { w.refresh.Store(true) }

func (w *Watcher) listLoop(ctx context.Context, prefix string) {
	// The first listing and those that Refresh asks for must be current.
	mayBeStale, listed := false, false
	failures, staleListings := 0, 0
	var known rwrevision.Revision
	for ctx.Err() == nil {
		start := time.Now()
		ok := false
		if mayBeStale && !w.IsReader() && w.ListStale != nil && staleListings < currentInterval-1 {
			staleListings++
			ok = w.listStale(ctx, prefix)
		} else {
			staleListings = 0
			ok = w.list(ctx, prefix)
		}
		if !ok {
			failures++
			mayBeStale = false
			for ctx.Err() == nil && listed && !w.IsReader() && !w.refresh.Load() && time.Since(start) < backoff(failures) {
				sleep(ctx, pollInterval)
			}
			continue
		}
		failures, listed = 0, true
		mayBeStale, known = true, w.Known()
		for ctx.Err() == nil && time.Since(start) < w.listInterval() {
			if w.refresh.Swap(false) {
				mayBeStale = false
				break
			}
			sleep(ctx, pollInterval)
		}
		mayBeStale = mayBeStale && w.Known().After(known)
	}
}

// backoff returns the delay after a number of failed listings in a row.
func backoff(failures int) time.Duration {
	const doublings = 4
	return min(retryDelay<<min(failures-1, doublings), maxRetryDelay)
}

func (w *Watcher) listInterval() time.Duration {
	if w.IsReader() {
		return w.deadlineRatio(listDeadlineRatio)
	}
	return repairInterval
}

// deadlineRatio returns a fraction of the time within which a change must be active.
func (w *Watcher) deadlineRatio(ratio float64) time.Duration {
	deadline := w.ApplyDeadline
	if deadline <= 0 {
		deadline = defaultApplyDeadline
	}
	return time.Duration(ratio * float64(deadline))
}

func (w *Watcher) watchLoop(ctx context.Context, prefix string) {
	for ctx.Err() == nil {
		after := w.revision(prefix)
		if after.Rev == 0 || !w.Watches() {
			sleep(ctx, pollInterval)
			continue
		}
		b, err := w.Watch(ctx, prefix, after.Rev, watchTimeout)
		switch {
		case err == nil && b.Era != after.Era:
			// The revision that the watch continued from names another change in
			// this era, so changes before it may be missing.
			w.deliver(func() { w.OnChange(prefix, b) })
			w.list(ctx, prefix)
		case err == nil:
			w.deliver(func() {
				w.advance(prefix, b.Revision())
				w.OnChange(prefix, b)
			})
			if len(b.Items) > 0 {
				sleep(ctx, w.deadlineRatio(batchDelayRatio))
			}
		case rwfault.Is(err, rwcode.RecordStale):
			// The store has compacted the history that the watch would continue
			// from, or has come back from a copy that lacks it.
			w.list(ctx, prefix)
			sleep(ctx, retryDelay)
		default:
			w.OnError(prefix, err)
			sleep(ctx, retryDelay)
		}
	}
}

// list lists a prefix and reports whether that succeeded; after a failure it
// waits for retryDelay.
func (w *Watcher) list(ctx context.Context, prefix string) bool {
	start := time.Now()
	b, ok := w.call(ctx, prefix, w.List)
	if !ok {
		return false
	}
	b.ReadAt = start
	w.deliver(func() {
		w.advance(prefix, b.Revision())
		w.OnList(prefix, b)
	})
	return true
}

// deliver calls f while nothing else is delivered.
func (w *Watcher) deliver(f func()) {
	w.delivering.Lock()
	defer w.delivering.Unlock()
	f()
}

// listStale is list with a listing that may be some seconds old. What it lacks may be
// new, so its items only add to what is known.
func (w *Watcher) listStale(ctx context.Context, prefix string) bool {
	b, ok := w.call(ctx, prefix, w.ListStale)
	if ok {
		w.deliver(func() { w.OnStale(prefix, b) })
	}
	return ok
}

func (w *Watcher) call(ctx context.Context, prefix string, list func(context.Context, string) (Batch, error)) (Batch, bool) {
	b, err := list(ctx, prefix)
	if err != nil {
		w.OnError(prefix, err)
		sleep(ctx, retryDelay)
	}
	return b, err == nil
}

func (w *Watcher) revision(prefix string) rwrevision.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revisions[prefix]
}

func (w *Watcher) advance(prefix string, rev rwrevision.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[prefix] = w.revisions[prefix].Max(rev)
}

// CompleteRev returns the revision up to which all prefixes have been read.
func (w *Watcher) CompleteRev() rwrevision.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	var least rwrevision.Revision
	for i, prefix := range w.Prefixes {
		if rev := w.revisions[prefix]; i == 0 || least.After(rev) {
			least = rev
		}
	}
	return least
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
