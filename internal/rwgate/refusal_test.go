package rwgate

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refused requests that keep their connections, and get no response, for
// as long as their bodies may take.
func TestRefusalDoesntWaitForTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.start()
		defer func() { _ = h.server.Close() }()
		conn, err := h.dial(t.Context(), "", "")
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /unknown HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		require.NoError(t, err)
		start := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.LessOrEqual(t, time.Since(start), lingerTime)
	})
}
