package rwfront

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// promises are the statuses that say that a request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against "not run" for a request that may have run, because its upstream
// answered with such a status and didn't say itself that it had not run it.
func TestStatusAloneIsNoPromise(t *testing.T) {
	for _, status := range promises {
		for _, path := range []string{"/unsafe/x", "/once/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := serve(t, map[string]http.HandlerFunc{"a": respond(status, "busy"), "m": respond(status, "busy")})
					got, _, h, err := f.send(t, path)
					require.NoError(t, err)
					require.Equal(t, http.StatusBadGateway, got)
					require.Empty(t, h.Get("X-Seal"), "the status is not the upstream's")
					require.Equal(t, 1, f.runs(), "the request was sent again")
				})
			})
		}
	}
}

// Guards against the loss of an upstream's response to a request that may be
// repeated: its caller repeats it, whatever the status says.
func TestStatusOfRepeatableRequestIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(http.StatusServiceUnavailable, "busy"), "b": respond(http.StatusServiceUnavailable, "busy")})
		status, body, h, err := f.send(t, "/safe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "busy", body)
		require.Equal(t, "s", h.Get("X-Seal"))
		require.Equal(t, 2, f.runs())
	})
}
