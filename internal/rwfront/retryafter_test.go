package rwfront

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbroker"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
)

// wantsNothing refuses requests with Retry-After while on is set.
func wantsNothing(on *atomic.Bool, d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if on.Load() {
			w.Header().Set("X-Retry-After", d.String())
			notRun(w, r)
			return
		}
		events(1, 2, true)(w, r)
	}
}

// Guards against requests that an upstream gets while it wants none, of plain services
// and engines, and against an upstream that gets none later.
func TestUpstreamThatWantsNoRequestsGetsNone(t *testing.T) {
	for path, id := range map[string]string{"/unsafe/x": "a", "/safe/x": "a", "/once/x": "m", "/stream/x": "m"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var on atomic.Bool
				on.Store(true)
				f := serve(t, map[string]http.HandlerFunc{id: wantsNothing(&on, 3*time.Second)})
				begin := time.Now()
				for time.Since(begin) < 2900*time.Millisecond {
					status, _, h, err := f.send(t, path)
					require.NoError(t, err)
					require.Equal(t, http.StatusServiceUnavailable, status)
					require.NotEmpty(t, h.Get("Retry-After"))
					time.Sleep(100 * time.Millisecond)
				}
				require.Equal(t, 1, f.runs())
				on.Store(false)
				time.Sleep(time.Until(begin.Add(3*time.Second + time.Millisecond)))
				status, _, _, err := f.send(t, path)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			})
		})
	}
}

// Guards against the loss of requests that another upstream could have served.
func TestOthersServeForUpstreamThatWantsNoRequests(t *testing.T) {
	for path, ids := range map[string][]string{"/unsafe/x": {"a", "b"}, "/once/x": {"m", "n"}} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var on, off atomic.Bool
				on.Store(true)
				f := serve(t, map[string]http.HandlerFunc{ids[0]: wantsNothing(&on, 3*time.Second), ids[1]: wantsNothing(&off, 0)})
				for range 20 {
					status, _, _, err := f.send(t, path)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status)
					time.Sleep(100 * time.Millisecond)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				require.LessOrEqual(t, len(f.ran[ids[0]]), 1)
			})
		})
	}
}

// Guards against a request that waited at the owner of a cell and is sent to an engine
// that has since said to this router that it wants none; and against an owner that
// keeps the engine from other routers for that.
func TestGrantOfEngineThatWantsNoRequestsIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var on, off atomic.Bool
		on.Store(true)
		f := serve(t, map[string]http.HandlerFunc{"m": wantsNothing(&on, 3*time.Second), "n": wantsNothing(&off, 0)})
		acquire := f.front.Acquire
		_, _, _, err := f.send(t, "/once/x")
		require.NoError(t, err)
		var avoided [][]string
		f.front.Acquire = func(ctx context.Context, service string, r rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
			avoided = append(avoided, r.Avoid)
			if len(avoided) == 1 {
				// The request was queued before the engine refused another one.
				r.Avoid = nil
			}
			return acquire(ctx, service, r)
		}
		status, _, _, err := f.send(t, "/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, [][]string{{"m"}, {"m"}}, avoided)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Len(t, f.ran["m"], 1)
	})
}

// Guards against a new incarnation that gets no requests because the one before wanted
// none.
func TestNewIncarnationOfUpstreamThatWantedNoRequests(t *testing.T) {
	for path, id := range map[string]string{"/unsafe/x": "a", "/once/x": "m"} {
		synctest.Test(t, func(t *testing.T) {
			var on atomic.Bool
			on.Store(true)
			f := serve(t, map[string]http.HandlerFunc{id: wantsNothing(&on, 3*time.Second)})
			status, _, _, err := f.send(t, path)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status)
			on.Store(false)
			before := f.front.Published()
			in, ok := before.Instance(id)
			require.True(t, ok)
			in.StartMillis++
			next := rwconfigsnapshot.New(before.Config, 2, time.Now(), []rwinstance.Instance{in})
			f.front.Published = func() *rwconfigsnapshot.Snapshot { return next }
			f.front.Acquire = func(context.Context, string, rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
				return rwbroker.Grant{Instance: in}, nil
			}
			status, _, _, err = f.send(t, path)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, path)
		})
	}
}
