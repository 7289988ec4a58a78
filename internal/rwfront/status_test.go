package rwfront

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a status that no response has, which makes WriteHeader panic: the
// caller gets 502, or the response of another upstream if the request may be repeated.
func TestStatusThatNoResponseHas(t *testing.T) {
	head := func(status string) string {
		return "HTTP/1.1 " + status + " X\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"
	}
	for _, status := range []string{"000", "099", "600"} {
		f := serveSockets(t, map[string]upstreamBehavior{"a": keepAfter(head(status)), "m": keepAfter(head(status))})
		for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x", "/stream/x"} {
			v := f.call(t, path)
			require.Equal(t, http.StatusBadGateway, v.status, "%s %s", status, path)
		}
		f = serveSockets(t, map[string]upstreamBehavior{
			"m": keepAfter(head(status)), "n": finAfter(chunkedHead + chunked(streamText(2))),
		})
		require.Equal(t, streamText(2), f.call(t, "/stream/x").body, status)
	}
}

// chunked returns text as a body of one chunk.
func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text) }
