package rwworkload_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwworkload"
)

func run(seed uint64, flows []rwflow.Flow, service, duration time.Duration) (sent []rwjob.Job, at []time.Duration, most int) {
	var mu sync.Mutex
	start, outstanding := time.Now(), 0
	w := &rwworkload.Workload{Seed: seed, Name: "t", Flows: flows, Send: func(context.Context, rwjob.Job) bool { return true }}
	w.Send = func(_ context.Context, j rwjob.Job) bool {
		mu.Lock()
		sent, at = append(sent, j), append(at, time.Since(start))
		outstanding++
		most = max(most, outstanding)
		mu.Unlock()
		time.Sleep(service)
		mu.Lock()
		outstanding--
		mu.Unlock()
		return true
	}
	w.Run(context.Background(), duration)
	return sent, at, most
}

// Guards against arrivals that differ between two runs with the same seed.
// Measurements before and during a flood could then not be compared.
func TestOpenLoopIsSeeded(t *testing.T) {
	flows := []rwflow.Flow{{Account: "a", Engine: true, Rate: 50, MinTokens: 5, MaxTokens: 50}}
	synctest.Test(t, func(t *testing.T) {
		one, atOne, _ := run(7, flows, time.Second, 10*time.Second)
		two, atTwo, _ := run(7, flows, time.Millisecond, 10*time.Second)
		require.Equal(t, one, two)
		require.Equal(t, atOne, atTwo)
		require.InDelta(t, 500, len(one), 70)
		other, _, _ := run(8, flows, time.Millisecond, 10*time.Second)
		require.NotEqual(t, one, other)
	})
}

// Guards against a closed loop whose number of outstanding requests differs
// from the configured one.
func TestClosedLoop(t *testing.T) {
	flows := []rwflow.Flow{{Account: "a", Concurrency: 3, Keyed: true}}
	synctest.Test(t, func(t *testing.T) {
		sent, _, most := run(1, flows, 100*time.Millisecond, time.Second)
		require.Equal(t, 3, most)
		require.Len(t, sent, 30)
		var keys []string
		for _, j := range sent {
			keys = append(keys, j.Key)
		}
		slices.Sort(keys)
		require.Len(t, slices.Compact(keys), 30)
	})
}
