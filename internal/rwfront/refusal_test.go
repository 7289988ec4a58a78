package rwfront

import (
	"context"
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
		f := serve(t, nil)
		f.front.Overloaded = func(context.Context, string) string { return "too many requests in progress" }
		start := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, status(t, f.connect(t, bodyHead+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")))
		require.LessOrEqual(t, time.Since(start), lingerTime)
	})
}
