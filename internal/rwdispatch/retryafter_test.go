package rwdispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwstream"
)

// Guards against a time without requests that is lost, or that comes with a response to
// another request or with another status.
func TestRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		id     string
		status int
		want   time.Duration
	}{
		"refusal":               {requestID, http.StatusServiceUnavailable, 2500 * time.Millisecond},
		"refusal without an id": {"", http.StatusServiceUnavailable, 2500 * time.Millisecond},
		"another request":       {"other", http.StatusServiceUnavailable, 0},
		"another status":        {requestID, http.StatusTooManyRequests, 0},
	} {
		t.Run(name, func(t *testing.T) {
			u, d := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.id != "" {
					w.Header().Set("Redwing-Request", c.id)
				}
				w.Header().Set("Retry-After", "2.5")
				w.WriteHeader(c.status)
			})
			for _, idempotent := range []bool{false, true} {
				resp, err := d.Call(t.Context(), u.record(false), request(idempotent))
				if c.id == requestID {
					require.NoError(t, err)
					require.Equal(t, c.want, resp.RetryAfter)
				} else {
					require.Equal(t, c.want, rwfault.From(err).RetryAfter)
				}
				err = d.Stream(t.Context(), u.record(false), request(idempotent), 0, func(*rwstream.Chunk) error { return nil })
				require.Equal(t, c.want, rwfault.From(err).RetryAfter)
			}
		})
	}
}
