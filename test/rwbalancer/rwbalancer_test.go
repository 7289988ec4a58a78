package rwbalancer_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwbalancer"
)

// Guards against distributing an account over several routers in sticky mode,
// against ignoring the routers to avoid, and against a choice that depends on
// the ports of a run.
func TestPick(t *testing.T) {
	routers := []string{"a:1", "b:1", "c:1"}
	sticky := rwbalancer.New(routers, true, 0)
	chosen := sticky.Pick("account")
	for range 10 {
		require.Equal(t, chosen, sticky.Pick("account"))
	}
	require.NotEqual(t, chosen, sticky.Pick("account", chosen))
	require.Contains(t, routers, sticky.Pick("account", routers...))

	moved := rwbalancer.New([]string{"x:7", "y:8", "z:9"}, true, 0)
	for _, account := range []string{"one", "two", "three", "four"} {
		require.Equal(t, slices.Index(routers, sticky.Pick(account)), slices.Index(moved.Routers, moved.Pick(account)))
	}

	spread := rwbalancer.New(routers, false, 0)
	got := map[string]int{}
	for range 30 {
		got[spread.Pick("account")]++
	}
	require.Equal(t, map[string]int{"a:1": 10, "b:1": 10, "c:1": 10}, got)
}

// Guards against sending requests to a router that is not ready, and against
// reacting to a short change of readiness.
func TestDetectionDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notReady atomic.Bool
		b := rwbalancer.New([]string{"a:1"}, false, 500*time.Millisecond)
		b.Ready = func(context.Context, string) bool { return !notReady.Load() }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.Run(ctx)
		after := func(d time.Duration) string {
			time.Sleep(d)
			synctest.Wait()
			return b.Pick("account")
		}
		require.Equal(t, "a:1", after(50*time.Millisecond))
		notReady.Store(true)
		require.Equal(t, "a:1", after(400*time.Millisecond))
		notReady.Store(false)
		require.Equal(t, "a:1", after(time.Second))
		notReady.Store(true)
		require.Equal(t, "a:1", after(400*time.Millisecond))
		require.Empty(t, after(400*time.Millisecond))
		notReady.Store(false)
		require.Empty(t, after(400*time.Millisecond))
		require.Equal(t, "a:1", after(400*time.Millisecond))
	})
}
