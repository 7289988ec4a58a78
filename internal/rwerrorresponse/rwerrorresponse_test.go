package rwerrorresponse

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
)

// Guards, for every code, against a status that makes clients retry a request that
// may have run, and against 429 or 503 without a retry delay.
func TestEveryCode(t *testing.T) {
	for c := rwcode.Internal; !strings.HasPrefix(c.String(), "Code("); c++ {
		for _, o := range []rwoutcome.Outcome{rwoutcome.NotRun, rwoutcome.Ran, rwoutcome.Unknown} {
			r := New(rwfault.New(c, "").WithOutcome(o))
			retried := r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
			require.GreaterOrEqual(t, r.Status, 400, c.String())
			require.False(t, retried && o != rwoutcome.NotRun, c.String())
			require.False(t, retried && r.RetryAfter <= 0, c.String())
			var e envelope
			require.NoError(t, json.Unmarshal(r.Body, &e))
			require.Equal(t, c.String(), e.Error.Code)
			require.Equal(t, o.String(), e.Error.Outcome)
		}
	}
}

// Guards against replacing the retry delay of a fault by the default.
func TestRetryDelayOfFaultIsKept(t *testing.T) {
	r := New(rwfault.New(rwcode.QueueFull, "").WithRetryAfter(7 * time.Second))
	require.Equal(t, 7*time.Second, r.RetryAfter)
}
