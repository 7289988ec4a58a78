package rwstorewatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwrevision"
)

// Guards against a watch that goes on from a revision which the store has given out
// again after its return from a copy, so that the changes before it are missing.
func TestWatchFromARevisionThatWasGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.rev = 5
		era := func(b Batch, err error) (Batch, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			b.Era = s.era
			return b, err
		}
		var last rwrevision.Revision
		w := &Watcher{
			Prefixes: []string{"k"},
			List:     func(ctx context.Context, prefix string) (Batch, error) { return era(s.list(ctx, prefix)) },
			Watch: func(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error) {
				return era(s.watch(ctx, prefix, after, wait))
			},
			OnList: func(_ string, b Batch) {
				s.mu.Lock()
				defer s.mu.Unlock()
				last = b.Revision()
			}, OnChange: func(string, Batch) {},
			OnError: func(string, error) {}, Known: unknown, IsReader: func() bool { return true }, Watches: func() bool { return true }, ApplyDeadline: time.Hour,
		}
		go func() { _ = w.Run(t.Context()) }()
		time.Sleep(time.Second)
		s.set(func() { s.era, s.rev = 1, 6 })
		time.Sleep(time.Second)
		want := rwrevision.Revision{Era: 1, Rev: 6}
		s.mu.Lock()
		require.Equal(t, want, last)
		s.mu.Unlock()
		require.Equal(t, want, w.CompleteRev())
		s.set(func() { s.era, s.rev = 2, 3 })
		w.Refresh()
		time.Sleep(time.Second)
		require.Equal(t, rwrevision.Revision{Era: 2, Rev: 3}, w.CompleteRev(), "a lower revision of a later era")
	})
}
