package rwfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// upload sends a request with a body that fits into no buffers, and reads the
// response to its end. It reports whether the response looks like an upstream's
// complete success.
func (f *socketFleet) upload(t *testing.T, path string) (status int, body string, success bool) {
	t.Helper()
	const bodyBytes = 16 << 20
	conn := f.dial(t)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", path, bodyBytes)
	go func() { _, _ = io.WriteString(conn, head+strings.Repeat("x", bodyBytes)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	if err != nil {
		return 0, "", false
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	return resp.StatusCode, string(data), err == nil && resp.StatusCode == http.StatusOK
}

// Guards against a part of a response that looks complete: its upstream wrote it
// before it had read the body of the request, with neither a length nor chunks, and
// reset the connection while the body was being written.
func TestResetDuringAnUploadDoesNotCompleteTheResponse(t *testing.T) {
	for _, c := range []struct{ path, upstream, other, part, whole string }{
		{"/unsafe/x", "a", "", "part", ""},
		{"/safe/x", "a", "b", "part", "hello"},
		{"/once/x", "m", "", streamText(2), ""},
		{"/stream/x", "m", "n", streamText(2), streamText(3)},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept %t", c.path, kept), func(t *testing.T) {
				// The first request on a kept connection is a short one.
				var short atomic.Bool
				short.Store(kept)
				broken := func(conn *net.TCPConn) bool {
					if short.Swap(false) {
						return keepAfter(chunkedHead + chunked(streamText(1)))(conn)
					}
					return resetAfter(unframedHead + c.part)(conn)
				}
				upstreams := map[string]upstreamBehavior{c.upstream: broken}
				if c.other != "" {
					upstreams[c.other] = finAfter(chunkedHead + chunked(c.whole))
				}
				f := serveSockets(t, upstreams)
				f.unreadAbove = 1 << 20
				if kept {
					require.True(t, f.call(t, c.path).success())
				}
				status, body, success := f.upload(t, c.path)
				if success {
					require.NotEmpty(t, c.whole, "a part looks like the whole response: %q", body)
					require.Equal(t, c.whole, body)
				}
				require.Contains(t, []int{0, http.StatusOK, http.StatusBadGateway}, status)
			})
		}
	}
}

// Guards against the loss of a response with a frame that was written before the
// upstream had read the body, and against bytes of that body that are read as the
// next request on the connection.
func TestEarlyResponseToAnUpload(t *testing.T) {
	for path, upstream := range map[string]string{"/unsafe/x": "a", "/once/x": "m"} {
		f := serveSockets(t, map[string]upstreamBehavior{upstream: keepAfter(chunkedHead + chunked(streamText(2)))})
		f.unreadAbove = 1 << 20
		for range 2 {
			_, body, success := f.upload(t, path)
			require.True(t, success)
			require.Equal(t, streamText(2), body)
		}
		accepted, arrived := f.counts(upstream)
		require.Equal(t, 2, accepted, "a connection was reused whose upstream had not read the body")
		require.Equal(t, 2, arrived)
	}
}
