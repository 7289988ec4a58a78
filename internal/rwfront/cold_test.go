package rwfront

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbroker"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwplacement"
)

// Guards against requests to a cold upstream of a plain service beyond its bound, and
// against callers that wait when there is no other.
func TestColdPlainUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "a"), "b": respond(200, "b")})
		cold := map[string]bool{"a": true}
		var taken []string
		var ends []rwplacement.End
		f.front.ColdRoom = func(_ time.Time, service, id, account string) bool {
			require.Equal(t, []string{"plain", "acc"}, []string{service, account})
			return !cold[id]
		}
		f.front.ColdTaken = func(_ time.Time, _, id, _ string) time.Time {
			taken = append(taken, id)
			return time.Time{}
		}
		f.front.ColdEnded = func(_ time.Time, _ string, end rwplacement.End) { ends = append(ends, end) }
		for range 5 {
			status, body, _, err := f.send(t, "/unsafe/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "b", body)
		}
		require.Len(t, taken, 5)
		require.NotContains(t, taken, "a")
		require.Equal(t, rwplacement.Served, ends[0])
		cold["b"] = true
		start := time.Now()
		status, _, h, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, h.Get("Retry-After"))
		require.Less(t, time.Since(start), 100*time.Millisecond)
	})
}

// Guards against a void grant that is used, or that counts as a failure of its engine.
func TestVoidGrantIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"m": events(1, 3, true), "n": events(1, 3, true)})
		acquire := f.front.Acquire
		var granted []string
		f.front.Acquire = func(ctx context.Context, service string, r rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
			g, fault := acquire(ctx, service, r)
			if len(granted) == 0 {
				g.NotAfter = time.Now().Add(-time.Millisecond)
			}
			granted = append(granted, g.Instance.ID)
			return g, fault
		}
		status, body, _, err := f.send(t, "/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, streamText(3), body)
		require.Equal(t, []string{"m", "n"}, granted)
		require.Equal(t, 1, f.runs())
	})
}
