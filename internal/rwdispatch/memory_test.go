package rwdispatch

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwoutcome"
)

const responseSize = 1 << 20

// respondBytes responds with a status and a body of a size, and counts how much of it
// was written.
func respondBytes(status, size int, announced bool, written *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Redwing-Request", requestID)
		if announced {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		w.WriteHeader(status)
		part := bytes.Repeat([]byte("x"), 16<<10)
		for left := size; left > 0; {
			n, err := w.Write(part[:min(len(part), left)])
			if err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			written.Add(int64(n))
			left -= n
		}
	}
}

// take takes memory that is not given back.
func take(t *testing.T, b *rwbudget.Budget, n int64) *rwbudget.Claim {
	c := b.Open(time.Now(), "other", 0, func() {})
	require.True(t, c.Grow(time.Now(), n))
	return c
}

func held(b *rwbudget.Budget) int64 {
	bytes, _ := b.Held()
	return bytes["responses"]
}

// Guards against responses that are read although there is no memory for them, and
// against a refusal that says of a call which ran, or may have, that it didn't.
func TestResponseWithoutMemory(t *testing.T) {
	for name, c := range map[string]struct {
		status    int
		announced bool
		outcome   rwoutcome.Outcome
	}{
		"announced": {http.StatusOK, true, rwoutcome.Ran},
		"chunked":   {http.StatusCreated, false, rwoutcome.Ran},
		"refusal":   {http.StatusServiceUnavailable, true, rwoutcome.Unknown},
	} {
		for _, idempotent := range []bool{true, false} {
			t.Run(name+"/"+strconv.FormatBool(idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var written atomic.Int64
					u, d := serve(t, respondBytes(c.status, responseSize, c.announced, &written))
					d.Memory = rwbudget.New(responseSize)
					require.True(t, take(t, d.Memory, responseSize-responseSize/4).Pin())
					start := time.Now()
					_, err := d.Call(t.Context(), u.record(false), request(idempotent))
					requireFault(t, rwcode.TooManyRequests, c.outcome, err)
					if idempotent {
						require.Zero(t, time.Since(start), "its caller can repeat it")
					}
					require.LessOrEqual(t, time.Since(start), memoryWait)
					require.Less(t, written.Load(), int64(responseSize/2))
					require.Zero(t, held(d.Memory))
					d.pooled.CloseIdleConnections()
				})
			})
		}
	}
}

// Guards against the loss of the response to a call that can't be repeated, although
// those who hold the memory give it up soon.
func TestNonIdempotentCallWaitsForMemory(t *testing.T) {
	for _, announced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var written atomic.Int64
			u, d := serve(t, respondBytes(http.StatusOK, responseSize, announced, &written))
			d.Memory = rwbudget.New(3 * responseSize)
			take(t, d.Memory, 3*responseSize)
			response, err := d.Call(t.Context(), u.record(false), request(false))
			require.NoError(t, err)
			require.Len(t, response.Body, responseSize)
			require.Equal(t, int64(responseSize-UncountedBytes), held(d.Memory))
			response.Memory.Close()
			require.Zero(t, held(d.Memory))
		})
	}
}

// Guards against a wait for memory that goes on after the caller has left.
func TestWaitForMemoryEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written atomic.Int64
		u, d := serve(t, respondBytes(http.StatusOK, responseSize, true, &written))
		d.Memory = rwbudget.New(responseSize)
		take(t, d.Memory, responseSize).Pin()
		ctx, stop := context.WithTimeout(t.Context(), memoryWait/4)
		defer stop()
		start := time.Now()
		_, err := d.Call(ctx, u.record(false), request(false))
		requireFault(t, rwcode.DeadlineExceeded, rwoutcome.Unknown, err)
		require.Less(t, time.Since(start), memoryWait/2)
		require.Zero(t, held(d.Memory))
	})
}

// Guards against ordinary responses that find no memory beside large ones.
func TestSmallResponseNeedsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written atomic.Int64
		u, d := serve(t, respondBytes(http.StatusOK, UncountedBytes, true, &written))
		d.Memory = rwbudget.New(0)
		response, err := d.Call(t.Context(), u.record(false), request(false))
		require.NoError(t, err)
		require.Len(t, response.Body, UncountedBytes)
	})
}

// Guards against a budget that refuses the largest response of a single call.
func TestLargestResponseIsServedInCalm(t *testing.T) {
	for _, announced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var written atomic.Int64
			u, d := serve(t, respondBytes(http.StatusOK, maxResponseBytes, announced, &written))
			const memory = 36 << 20
			d.Memory = rwbudget.NewWithReserve(memory, memory/8)
			response, err := d.Call(t.Context(), u.record(false), request(false))
			require.NoError(t, err)
			require.Len(t, response.Body, maxResponseBytes)
		})
	}
}

// Guards against memory of responses that break off or end without proof of their end,
// which is never returned.
func TestFailedResponseReturnsItsMemory(t *testing.T) {
	for _, header := range []string{"Content-Length: 100000", ""} {
		u, d := serve(t, respondRaw("HTTP/1.1 200 OK", header, "part"))
		d.Memory = rwbudget.New(responseSize)
		_, err := d.Call(t.Context(), u.record(false), request(true))
		requireFault(t, rwcode.UpstreamTruncated, rwoutcome.Unknown, err)
		require.Zero(t, held(d.Memory))
	}
}
