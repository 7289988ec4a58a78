package rwdispatch

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a call whose response has neither a length nor chunks and is taken
// for complete when the connection ends, as it also does when the service crashes.
func TestEndOfTheConnectionDoesNotProveAResponse(t *testing.T) {
	u, d := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRedwing-Request: "+requestID+"\r\n\r\npart")
			_ = conn.Close()
		}
	})
	response, err := d.Call(t.Context(), u.record(false), request(false))
	require.Error(t, err, "the response looks complete: %+v", response)
}
