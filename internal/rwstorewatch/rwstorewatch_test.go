package rwstorewatch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
)

// store is a fake of the platform's store with one key.
type store struct {
	mu  sync.Mutex
	rev int64
	// era is stated by tests that set it.
	era     int64
	changed chan struct{}
	// silent stops watches from responding, down fails all calls, and compacted
	// fails watches that start below a revision.
	silent, down bool
	compacted    int64
	lists        int
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// listed returns the number of listings so far.
func (s *store) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

func (s *store) batch() Batch {
	return Batch{Items: []rwitem.Item{{Key: "k", Rev: s.rev}}, Rev: s.rev}
}

func (s *store) list(context.Context, string) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return Batch{}, rwfault.New(rwcode.PlatformDown, "down")
	}
	return s.batch(), nil
}

func (s *store) watch(ctx context.Context, _ string, after int64, wait time.Duration) (Batch, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		changed := s.changed
		switch {
		case s.down:
			s.mu.Unlock()
			return Batch{}, rwfault.New(rwcode.PlatformDown, "down")
		case after < s.compacted:
			s.mu.Unlock()
			return Batch{}, rwfault.New(rwcode.RecordStale, "compacted")
		case s.rev > after && !s.silent:
			b := s.batch()
			s.mu.Unlock()
			return b, nil
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			return Batch{Rev: after}, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// run starts a watcher and returns a function that returns the newest revision
// seen.
func run(t *testing.T, s *store, reader bool) (seen func() int64) {
	var mu sync.Mutex
	newest := int64(0)
	record := func(_ string, b Batch) {
		mu.Lock()
		defer mu.Unlock()
		newest = max(newest, b.Rev)
	}
	w := &Watcher{
		Prefixes: []string{"k"}, Known: unknown, List: s.list, Watch: s.watch, OnList: record, OnChange: record,
		OnError: func(string, error) {}, IsReader: func() bool { return reader }, Watches: func() bool { return reader }, ApplyDeadline: 2 * time.Second,
	}
	go func() { _ = w.Run(t.Context()) }()
	return func() int64 {
		mu.Lock()
		defer mu.Unlock()
		return newest
	}
}

// unknown is the revision of a router that hears nothing from others.
func unknown() rwrevision.Revision { return rwrevision.Revision{} }

func newStore() *store { return &store{rev: 1, changed: make(chan struct{})} }

// Guards against a late configuration because a watch reports nothing although
// changes are made.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		seen := run(t, s, true)
		time.Sleep(time.Second)
		s.set(func() { s.rev, s.silent = 5, true })
		time.Sleep(time.Second)
		require.EqualValues(t, 5, seen())
	})
}

// Guards against continuing a watch from history that was compacted.
func TestCompactedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		seen := run(t, s, true)
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.rev, s.compacted = 7, 7 })
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 7, seen())
	})
}

// Guards against applying changes only at the next listing, and against calling
// a store without a delay while it is down.
func TestWatchAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		seen := run(t, s, true)
		time.Sleep(time.Second)
		s.set(func() { s.rev = 2 })
		time.Sleep(150 * time.Millisecond)
		require.EqualValues(t, 2, seen())
		s.set(func() { s.down = true })
		before := s.listed()
		time.Sleep(3 * time.Second)
		require.Less(t, s.listed()-before, 40)
		s.set(func() { s.down, s.rev = false, 9 })
		time.Sleep(200 * time.Millisecond)
		require.EqualValues(t, 9, seen())
	})
}

// Guards against every router of a large fleet listing the store as often as
// the readers do.
func TestNonReadersListSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		run(t, s, false)
		time.Sleep(60 * time.Second)
		require.LessOrEqual(t, s.listed(), 14)
	})
}

// Guards against a router that takes what a stale listing lacks for removed, against
// one that uses a stale listing at its start or when a current one was asked for, and
// against periodic listings of a non-reader at the full price.
func TestNonReadersListStaleItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		var current, stale, changes, heard atomic.Int64
		w := &Watcher{
			Prefixes: []string{"k"}, Watch: s.watch,
			List: func(ctx context.Context, prefix string) (Batch, error) {
				current.Add(1)
				return s.list(ctx, prefix)
			},
			ListStale: func(ctx context.Context, prefix string) (Batch, error) {
				stale.Add(1)
				b, err := s.list(ctx, prefix)
				b.Rev = 100
				return b, err
			},
			OnList: func(string, Batch) {}, OnStale: func(string, Batch) { changes.Add(1) }, OnChange: func(string, Batch) {},
			OnError: func(string, error) {}, IsReader: func() bool { return false }, Watches: func() bool { return false },
			Known: func() rwrevision.Revision { return rwrevision.Revision{Rev: heard.Load()} },
		}
		go func() { _ = w.Run(t.Context()) }()
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			heard.Add(1)
		}
		synctest.Wait()
		require.LessOrEqual(t, current.Load(), int64(1+12/currentInterval), "one of currentInterval is current, and the first")
		require.Greater(t, stale.Load(), int64(7))
		require.Equal(t, stale.Load(), changes.Load())
		require.EqualValues(t, 1, w.CompleteRev().Rev, "a stale listing is complete up to no revision")
		listed := current.Load()
		w.Refresh()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, listed+1, current.Load())
		before := stale.Load()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.LessOrEqual(t, stale.Load(), before+1, "nothing new arrives from the readers")
		require.Greater(t, current.Load(), int64(11))
	})
}

// Guards against a fleet that floods a store which turns it away, and against routers
// that go on waiting long after its return.
func TestNonReadersBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		seen := run(t, s, false)
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		time.Sleep(time.Minute)
		require.LessOrEqual(t, s.listed(), 35)
		s.set(func() { s.down, s.rev = false, 9 })
		time.Sleep(maxRetryDelay)
		synctest.Wait()
		require.EqualValues(t, 9, seen())
	})
}

// Guards against a router that learns of no removal any more because others tell of
// later changes all the time: its listings must be current after it was cut off, and now
// and then in any case.
func TestStaleListingsAreNotTheOnlyOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		var current, stale, heard atomic.Int64
		w := &Watcher{
			Prefixes: []string{"k"}, Watch: s.watch,
			List: func(ctx context.Context, prefix string) (Batch, error) {
				current.Add(1)
				return s.list(ctx, prefix)
			},
			ListStale: func(ctx context.Context, prefix string) (Batch, error) {
				stale.Add(1)
				return s.list(ctx, prefix)
			},
			OnList: func(string, Batch) {}, OnStale: func(string, Batch) {}, OnChange: func(string, Batch) {}, OnError: func(string, error) {},
			IsReader: func() bool { return false }, Watches: func() bool { return false },
			Known: func() rwrevision.Revision { return rwrevision.Revision{Rev: heard.Add(1)} },
		}
		go func() { _ = w.Run(t.Context()) }()
		time.Sleep(time.Minute)
		require.Greater(t, current.Load(), int64(3))
		require.Greater(t, stale.Load(), current.Load())
		s.set(func() { s.down = true })
		time.Sleep(10 * time.Second)
		before := current.Load()
		s.set(func() { s.down = false })
		time.Sleep(maxRetryDelay + pollInterval)
		require.Greater(t, current.Load(), before)
	})
}

// Guards against a router that waits out a long delay although it has become a reader,
// is asked for a current listing or has never listed the store.
func TestBackOffEndsWhenAListingIsNeeded(t *testing.T) {
	for _, reason := range []string{"reader", "refresh", "start"} {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.down = reason == "start"
				var reader atomic.Bool
				w := &Watcher{
					Prefixes: []string{"k"}, Known: unknown, List: s.list, Watch: s.watch, OnList: func(string, Batch) {},
					OnChange: func(string, Batch) {}, OnError: func(string, error) {}, IsReader: reader.Load, Watches: reader.Load,
				}
				go func() { _ = w.Run(t.Context()) }()
				time.Sleep(time.Second)
				s.set(func() { s.down = true })
				time.Sleep(time.Minute)
				s.set(func() { s.down = false })
				before := s.listed()
				switch reason {
				case "reader":
					reader.Store(true)
				case "refresh":
					w.Refresh()
				}
				time.Sleep(retryDelay + 2*pollInterval)
				synctest.Wait()
				require.Greater(t, s.listed(), before)
			})
		})
	}
}

// Guards against a reader that doesn't watch and learns of changes too late.
func TestReaderThatOnlyListsIsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		var newest int64
		w := &Watcher{
			Prefixes: []string{"k"}, Known: unknown, List: s.list, Watch: s.watch, OnList: func(_ string, b Batch) { newest = b.Rev },
			OnChange: func(string, Batch) { require.Fail(t, "it watches") }, OnError: func(string, error) {},
			IsReader: func() bool { return true }, Watches: func() bool { return false }, ApplyDeadline: 3 * time.Second,
		}
		go func() { _ = w.Run(t.Context()) }()
		time.Sleep(time.Second)
		s.set(func() { s.rev = 2 })
		time.Sleep(time.Duration(listDeadlineRatio*float64(w.ApplyDeadline)) + pollInterval)
		synctest.Wait()
		require.EqualValues(t, 2, newest)
	})
}

// Guards against a call for each change while upstreams change all the time.
func TestWatchGathersChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		watches := 0
		w := &Watcher{
			Prefixes: []string{"k"}, Known: unknown, List: s.list, OnList: func(string, Batch) {}, OnChange: func(string, Batch) {}, OnError: func(string, error) {},
			Watch: func(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error) {
				watches++
				return s.watch(ctx, prefix, after, wait)
			},
			IsReader: func() bool { return true }, Watches: func() bool { return true }, ApplyDeadline: 3 * time.Second,
		}
		go func() { _ = w.Run(t.Context()) }()
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			s.set(func() { s.rev++ })
		}
		synctest.Wait()
		require.LessOrEqual(t, watches, 56)
	})
}

// Guards against a listing that the store answers late and that is taken for the
// state at the time of its answer.
func TestListingIsAsOldAsItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 3 * time.Second
		s := newStore()
		ages := make(chan time.Duration, 1)
		w := &Watcher{
			Prefixes: []string{"k"}, Known: unknown, Watch: s.watch, OnChange: func(string, Batch) {},
			List: func(ctx context.Context, prefix string) (Batch, error) {
				time.Sleep(latency)
				return s.list(ctx, prefix)
			},
			OnList: func(_ string, b Batch) {
				select {
				case ages <- time.Since(b.ReadAt):
				default:
				}
			},
			OnError: func(string, error) {}, IsReader: func() bool { return false }, Watches: func() bool { return false },
		}
		go func() { _ = w.Run(t.Context()) }()
		require.Equal(t, latency, <-ages)
	})
}
