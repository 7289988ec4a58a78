// Package rwstorewatch keeps the catalog of a router up to date from the platform's
// store. It watches for changes and, beside the watch, lists everything again
// at an interval: a watch can stay silent while changes are made.
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
	watchWait = 20 * time.Second
	// listPart is the part of the time in which a change must be in force that
	// lies between two listings of a prefix. It leaves room for one lost
	// answer.
	listPart = 0.35
	// defaultWithin is used if that time is not known.
	defaultWithin = 2 * time.Second
	// gather is the time between two watches of a prefix. Changes come in
	// groups, and each answer of the store is counted.
	gather = 120 * time.Millisecond
	// slowInterval is the same for a router that learns of changes from those
	// that read: the listing only repairs what they missed.
	slowInterval = 5 * time.Second
	// pause follows a failed call, so that a store that refuses calls isn't
	// flooded.
	pause = 150 * time.Millisecond
	step  = 50 * time.Millisecond
)

// Batch is an answer of the store.
type Batch struct {
	Items []rwitem.Item
	// Rev is the revision up to which the batch leaves nothing out.
	Rev int64
}

// Watcher reads the store for one router. All fields are set before Run.
type Watcher struct {
	Prefixes []string
	List     func(ctx context.Context, prefix string) (Batch, error)
	Watch    func(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
	// OnList takes a complete listing of a prefix, Changed the events of a
	// watch, Failed a failed call.
	OnList   func(prefix string, b Batch)
	OnChange func(prefix string, b Batch)
	OnError  func(prefix string, err error)
	// IsReader is whether this router reads for others too.
	IsReader func() bool
	// ApplyDeadline is the time in which a change must be in force; 0 is unknown.
	ApplyDeadline time.Duration

	mu   sync.Mutex
	last map[string]int64
}

// Run reads until the context ends.
func (t *Watcher) Run(ctx context.Context) error {
	t.last = map[string]int64{}
	g, ctx := errgroup.WithContext(ctx)
	for _, prefix := range t.Prefixes {
		g.Go(func() error { t.listLoop(ctx, prefix); return nil })
		g.Go(func() error { t.watchLoop(ctx, prefix); return nil })
	}
	return g.Wait()
}

func (t *Watcher) listLoop(ctx context.Context, prefix string) {
	for ctx.Err() == nil {
		start := time.Now()
		if !t.list(ctx, prefix) {
			continue
		}
		for ctx.Err() == nil && time.Since(start) < t.interval() {
			sleep(ctx, step)
		}
	}
}

func (t *Watcher) interval() time.Duration {
	within := t.ApplyDeadline
	if within <= 0 {
		within = defaultWithin
	}
	if t.IsReader() {
		return time.Duration(listPart * float64(within))
	}
	return slowInterval
}

func (t *Watcher) watchLoop(ctx context.Context, prefix string) {
	for ctx.Err() == nil {
		after := t.position(prefix)
		if after == 0 || !t.IsReader() {
			sleep(ctx, step)
			continue
		}
		b, err := t.Watch(ctx, prefix, after, watchWait)
		switch {
		case err == nil:
			t.advance(prefix, b.Rev)
			t.OnChange(prefix, b)
			if len(b.Items) > 0 {
				sleep(ctx, gather)
			}
		case rwfault.Is(err, rwcode.RecordStale):
			// The store has dropped the history that the watch would go on from.
			t.list(ctx, prefix)
		default:
			t.OnError(prefix, err)
			sleep(ctx, pause)
		}
	}
}

// list reads everything and reports whether it could; if not, it pauses.
func (t *Watcher) list(ctx context.Context, prefix string) bool {
	b, err := t.List(ctx, prefix)
	if err != nil {
		t.OnError(prefix, err)
		sleep(ctx, pause)
		return false
	}
	t.advance(prefix, b.Rev)
	t.OnList(prefix, b)
	return true
}

func (t *Watcher) position(prefix string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last[prefix]
}

func (t *Watcher) advance(prefix string, rev int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[prefix] = max(t.last[prefix], rev)
}

// Complete is the revision up to which all prefixes have been read.
func (t *Watcher) Complete() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	least := int64(0)
	for i, prefix := range t.Prefixes {
		if rev := t.last[prefix]; i == 0 || rev < least {
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
