package rwdispatch

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwstream"
)

// writeAndClose writes bytes to the connection of a request and closes it.
func writeAndClose(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}
}

// Guards against a response whose upstream stopped in its head, or in its body, and that is
// taken for whole.
func TestCutResponseIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRedwing-Request: " + requestID + "\r\n"
	for name, response := range map[string]string{
		"length":       head + "Content-Length: 5\r\n\r\nhello",
		"length 0":     head + "Content-Length: 0\r\n\r\n",
		"long length":  head + "Content-Length: 15\r\n\r\nhello, service!",
		"chunks":       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"interim head": "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(response) {
				u, d := serve(t, writeAndClose(response[:n]))
				got, err := d.Call(t.Context(), u.record(false), request(false))
				require.Error(t, err, "%d of %d bytes look complete: %+v", n, len(response), got)
				u.Close()
			}
			u, d := serve(t, writeAndClose(response))
			_, err := d.Call(t.Context(), u.record(false), request(false))
			require.NoError(t, err)
		})
	}
}

// Guards against text of an engine at which a stream is resumed that is passed on as a
// chunk, and against a response without a chunk that completes the stream.
func TestStrayTextIsNoChunk(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRedwing-Request: " + requestID + "\r\n"
	for name, body := range map[string]string{
		"length 0":         "Content-Length: 0\r\n\r\n",
		"no chunk":         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"text":             "\r\nupstream connect error\n\n",
		"second head":      "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n",
		"error event":      "\r\nevent: error\ndata: overloaded\n\n",
		"end marker":       "\r\n" + done,
		"error and marker": "\r\nevent: error\ndata: overloaded\n\n" + done,
	} {
		t.Run(name, func(t *testing.T) {
			u, d := serve(t, writeAndClose(head+body))
			err := d.Stream(t.Context(), u.record(true), request(true), 2, func(c *rwstream.Chunk) error {
				require.Fail(t, "passed on", "%q", c.Raw)
				return nil
			})
			require.Error(t, err)
		})
	}
}
