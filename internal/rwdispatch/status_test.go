package rwdispatch

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwstream"
)

// Guards against a status that no HTTP response has and that a caller gets as the
// status of a response, or that makes WriteHeader panic.
func TestStatusThatNoResponseHas(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		u, d := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nRedwing-Request: "+requestID+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				_ = conn.Close()
			}
		})
		for _, idempotent := range []bool{false, true} {
			_, err := d.Call(t.Context(), u.record(false), request(idempotent))
			require.True(t, rwfault.Is(err, rwcode.UpstreamMalformed), "%s: %v", status, err)
			require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
			err = d.Stream(t.Context(), u.record(false), request(idempotent), 0, func(*rwstream.Chunk) error { return nil })
			require.True(t, rwfault.Is(err, rwcode.UpstreamMalformed), "%s: %v", status, err)
		}
	}
}
