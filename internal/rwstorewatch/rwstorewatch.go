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
	// batchDelay is the delay after a watch of a prefix that reported changes.
	// Changes come in bursts, and the platform counts each response of the
	// store.
	batchDelay = 120 * time.Millisecond
	// repairInterval is the listing interval of a router that receives changes
	// from the readers; its listings only add what was missed.
	repairInterval = 5 * time.Second
	// retryDelay follows a failed call, so that a store that refuses calls
	// isn't flooded with them.
	retryDelay   = 150 * time.Millisecond
	pollInterval = 50 * time.Millisecond
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
	// OnList is called with a complete listing of a prefix, OnChange with the
	// changes from a watch, and OnError after a failed call.
	OnList   func(prefix string, b Batch)
	OnChange func(prefix string, b Batch)
	OnError  func(prefix string, err error)
	// IsReader reports whether this router reads the store on behalf of other
	// routers too.
	IsReader func() bool
	// ApplyDeadline is the time within which a change must be active, or 0 if
	// it is not known.
	ApplyDeadline time.Duration

	// refresh is whether to list before the interval has passed.
	refresh atomic.Bool

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
	for ctx.Err() == nil {
		start := time.Now()
		if !w.list(ctx, prefix) {
			continue
		}
		for ctx.Err() == nil && time.Since(start) < w.listInterval() && !w.refresh.Swap(false) {
			sleep(ctx, pollInterval)
		}
	}
}

func (w *Watcher) listInterval() time.Duration {
	deadline := w.ApplyDeadline
	if deadline <= 0 {
		deadline = defaultApplyDeadline
	}
	if w.IsReader() {
		return time.Duration(listDeadlineRatio * float64(deadline))
	}
	return repairInterval
}

func (w *Watcher) watchLoop(ctx context.Context, prefix string) {
	for ctx.Err() == nil {
		after := w.revision(prefix)
		if after.Rev == 0 || !w.IsReader() {
			sleep(ctx, pollInterval)
			continue
		}
		b, err := w.Watch(ctx, prefix, after.Rev, watchTimeout)
		switch {
		case err == nil && b.Era != after.Era:
			// The revision that the watch continued from names another change in
			// this era, so changes before it may be missing.
			w.OnChange(prefix, b)
			w.list(ctx, prefix)
		case err == nil:
			w.advance(prefix, b.Revision())
			w.OnChange(prefix, b)
			if len(b.Items) > 0 {
				sleep(ctx, batchDelay)
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
	b, err := w.List(ctx, prefix)
	if err != nil {
		w.OnError(prefix, err)
		sleep(ctx, retryDelay)
		return false
	}
	b.ReadAt = start
	w.advance(prefix, b.Revision())
	w.OnList(prefix, b)
	return true
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
