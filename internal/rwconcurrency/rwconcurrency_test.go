package rwconcurrency_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconcurrency"
)

const total = 80

// fill adds requests to services in turn until none may have more, and returns how many
// each got.
func fill(t *testing.T, l *rwconcurrency.Limiter, services ...string) map[string]int {
	got := map[string]int{}
	for range total {
		for _, s := range services {
			allowed := l.Allows(s, total)
			require.Equal(t, allowed, l.TryAcquire(s, total))
			if allowed {
				got[s]++
			}
		}
	}
	return got
}

// Guards against services that hang and keep the requests of the others out.
func TestServicesThatHangLeaveRoom(t *testing.T) {
	for n := 1; n <= 3; n++ {
		var l rwconcurrency.Limiter
		var stuck []string
		for i := range n {
			stuck = append(stuck, fmt.Sprint("stuck", i))
		}
		got := fill(t, &l, stuck...)
		taken := 0
		for _, s := range stuck {
			require.Positive(t, got[s])
			taken += got[s]
		}
		idle := fill(t, &l, "idle")["idle"]
		require.GreaterOrEqual(t, idle, 3, "beside %d services that hang", n)
		require.LessOrEqual(t, taken+idle, total)
	}
}

// Guards against a bound that keeps most requests from a service that is alone.
func TestServiceGetsMostRequests(t *testing.T) {
	var l rwconcurrency.Limiter
	require.Equal(t, total*7/8, fill(t, &l, "busy")["busy"])
}

// Guards against requests that count for good after they have ended, and against a
// service without requests that gets none at a router which is nearly full.
func TestRelease(t *testing.T) {
	var l rwconcurrency.Limiter
	for range 3 {
		require.True(t, l.TryAcquire("a", 1))
		require.False(t, l.TryAcquire("a", 1))
		require.True(t, l.TryAcquire("b", 1))
		l.Release("a")
		l.Release("b")
	}
}

// Guards against a router that begins to relay only once it refuses: before a service may
// have no more requests, the limiter is nearly full, also beside other services.
func TestNearlyFullComesBeforeFull(t *testing.T) {
	const further = total / 8
	for others := range total {
		var l rwconcurrency.Limiter
		require.False(t, l.NearlyFull(total, further))
		for range others {
			if !l.TryAcquire("other", total) {
				return
			}
		}
		nearly := 0
		for n := 1; l.TryAcquire("busy", total); n++ {
			if nearly == 0 && l.NearlyFull(total, further) {
				nearly = n
			}
		}
		require.Positive(t, nearly, "beside %d others", others)
		full := 0
		for l.NearlyFull(total, further) {
			l.Release("busy")
			full++
		}
		if others == 0 {
			require.Equal(t, further+1, full, "relaying begins with a number of places left")
		}
	}
}
