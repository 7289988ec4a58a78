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

// Guards against bytes of an upstream in the form of a failure that names no request
// and has no signature, and that the caller takes for the final response to its own.
func TestFailureThatNamesNoRequestIsNotForwarded(t *testing.T) {
	for _, status := range []string{"400 Bad Request", "401 Unauthorized", "404 Not Found", "413 Content Too Large", "500 Internal Server Error", "503 Service Unavailable"} {
		answer := keepAfter("HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody")
		f := serveSockets(t, map[string]upstreamBehavior{"a": answer, "m": answer})
		for _, path := range []string{"/unsafe/x", "/safe/x", "/once/x", "/stream/x"} {
			v := f.call(t, path)
			require.Equal(t, http.StatusBadGateway, v.status, "%s %s", status, path)
			require.NotContains(t, v.body, "body")
		}
		f = serveSockets(t, map[string]upstreamBehavior{"a": answer, "b": finAfter(chunkedHead + chunked("hello"))})
		require.Equal(t, "hello", f.call(t, "/safe/x").body, status)
	}
}
