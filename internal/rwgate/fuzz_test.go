package rwgate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwstream"
)

// Guards against a body or a header that causes a panic, that runs although it is
// invalid, or that gets an error response without a code.
func FuzzChat(f *testing.F) {
	f.Add(goodBody, "500", "12.5", "")
	f.Add(streamBody, "", "", "key")
	for _, b := range badInputs {
		if b.path == chatPath && len(b.body) < 1000 {
			f.Add(b.body, "", "", "")
		}
	}
	f.Add(goodBody, "-1", "1e400", strings.Repeat("k", maxKeyBytes+1))
	f.Add(`{"model":"drafter","model":"other","messages":[1]}`, "1", "1", "")
	f.Fuzz(func(t *testing.T, body, deadline, hint, key string) {
		h := newHarness(t)
		ran := false
		h.RunInference = func(_ context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			ran = true
			require.True(t, json.Valid(q.Body))
			require.GreaterOrEqual(t, q.Hint, 0.0)
			require.False(t, !q.Deadline.IsZero() && !q.Deadline.After(q.Arrived))
			return chunks(q, emit, 1)
		}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, chatPath, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+callerKey)
		r.Header.Set("Redwing-Kind", "draft")
		for name, v := range map[string]string{"Redwing-Deadline": deadline, "Redwing-Hint": hint, "Idempotency-Key": key} {
			if v != "" {
				r.Header.Set(name, v)
			}
		}
		h.Now = func() time.Time { return time.Unix(1, 0) }
		w := httptest.NewRecorder()
		h.Handler().ServeHTTP(w, r)
		require.Zero(t, h.heldBytes("bodies"))
		if w.Code == http.StatusOK {
			require.True(t, ran)
			return
		}
		var e errorBody
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &e))
		require.NotEmpty(t, e.Error.Code)
		// A deadline of a few milliseconds may pass at any time.
		require.True(t, !ran || e.Error.Code == "deadline_exceeded")
	})
}
