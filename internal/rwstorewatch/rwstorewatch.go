// Package rwstorewatch keeps a router's catalog in sync with the platform's
// store. In addition to watching for changes, it lists everything periodically,
// because a watch may report nothing although changes are made.
package rwstorewatch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwitem"
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
	// Rev is the revision up to which the batch is complete.
	Rev int64
	// Era is the number of times that the store has come back from an older copy,
	// which gives revisions out again.
	Era int64
	// EraFault is why Era is the last known one and not what the response states,
	// or nil.
	EraFault error
	// ReadAt is when a listing was asked for; the store may have answered it
	// later with what it had then. It is not set for changes.
	ReadAt time.Time
}

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

	mu        sync.Mutex
	revisions map[string]int64
}

// Run lists and watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.revisions = map[string]int64{}
	g, ctx := errgroup.WithContext(ctx)
	for _, prefix := range w.Prefixes {
		g.Go(func() error { w.listLoop(ctx, prefix); return nil })
		g.Go(func() error { w.watchLoop(ctx, prefix); return nil })
	}
	return g.Wait()
}

func (w *Watcher) listLoop(ctx context.Context, prefix string) {
	for ctx.Err() == nil {
		start := time.Now()
		if !w.list(ctx, prefix) {
			continue
		}
		for ctx.Err() == nil && time.Since(start) < w.listInterval() {
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
		if after == 0 || !w.IsReader() {
			sleep(ctx, pollInterval)
			continue
		}
		b, err := w.Watch(ctx, prefix, after, watchTimeout)
		switch {
		case err == nil:
			w.advance(prefix, b.Rev)
			w.OnChange(prefix, b)
			if len(b.Items) > 0 {
				sleep(ctx, batchDelay)
			}
		case rwfault.Is(err, rwcode.RecordStale):
			// The store has compacted the history that the watch would continue
			// from.
			w.list(ctx, prefix)
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
	w.advance(prefix, b.Rev)
	w.OnList(prefix, b)
	return true
}

func (w *Watcher) revision(prefix string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revisions[prefix]
}

func (w *Watcher) advance(prefix string, rev int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[prefix] = max(w.revisions[prefix], rev)
}

// CompleteRev returns the revision up to which all prefixes have been read.
func (w *Watcher) CompleteRev() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	least := int64(0)
	for i, prefix := range w.Prefixes {
		if rev := w.revisions[prefix]; i == 0 || rev < least {
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
