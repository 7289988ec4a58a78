package rwedge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwshutdown"
)

// Guards against a refusal in a drain that its caller doesn't get, whatever the
// method, the framing and the size of the body, and against a response to the
// request that was pipelined behind it.
func TestDrainRefusalReachesCaller(t *testing.T) {
	const head = " /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n"
	for name, request := range map[string]string{
		"GET":        "GET" + head + "\r\n",
		"HEAD":       "HEAD" + head + "\r\n",
		"POST":       "POST" + head + "Content-Length: 4\r\n\r\nbody",
		"100 KB":     "POST" + head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"4 MB":       "POST" + head + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("x", 4194304),
		"chunked":    "POST" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"slow body":  "POST" + head + "Content-Length: 4\r\n\r\nbo",
		"continue":   "POST" + head + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
		"pipelined":  "GET" + head + "\r\nGET" + head + "\r\n",
		"1 MB chunk": "POST" + head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", 1<<20, strings.Repeat("x", 1<<20)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// A connection in memory is never reset, so it can't lose a response.
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			e := newRouteEdge(unusedAddr)
			go func() { _ = serve(t.Context(), e.server, e.connLimiter.Listener(l, 100)) }()
			c := connect(t, l)
			plan := rwshutdown.New(time.Now().Add(-3*time.Second), defaultGrace)
			e.shutdown.Store(&plan)
			// The router may close the connection before it has read the body.
			_, werr := io.WriteString(c.conn, request)
			method, _, _ := strings.Cut(request, " ")
			resp, err := http.ReadResponse(c.responses, &http.Request{Method: method})
			require.NoError(t, err, "no response; write: %v", werr)
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.True(t, resp.Close)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			if name == "slow body" || name == "continue" {
				// net/http waits for the rest of the body before it closes.
				return
			}
			_, err = c.responses.ReadByte()
			require.Error(t, err)
		})
	}
}
