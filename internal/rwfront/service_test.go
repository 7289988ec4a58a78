package rwfront

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
)

// Guards against a service that hangs and keeps the requests to others out, and against
// requests that count for good after their callers have left.
func TestServiceThatHangsLeavesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxRequests, most = 16, 14
		f := serve(t, map[string]http.HandlerFunc{
			"a": func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			},
			"m": events(0, 3, true),
		})
		f.front.MaxRequests = func() int64 { return maxRequests }
		for range most {
			f.connect(t, bodyHead+"Content-Length: 4\r\n\r\nbody")
		}
		synctest.Wait()
		status, text, header, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, rwcode.TooManyRequests.String()+"\n", text)
		require.NotEmpty(t, header.Get("Retry-After"))
		require.Equal(t, most, f.runs(), "the refused one has not run")
		status, _, _, err = f.send(t, "/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		time.Sleep(callerTimeout)
		require.True(t, f.front.services.TryAcquire("plain", 1), "those whose time is over don't count")
	})
}

// Guards against callers that don't read their responses and keep others from the same
// service.
func TestUnreadResponseGivesItsPlaceAtTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/unsafe/large" {
				respond(http.StatusOK, string(make([]byte, 4*maxBufferedBytes)))(w, r)
				return
			}
			respond(http.StatusOK, "x")(w, r)
		}})
		f.front.Memory, f.front.MaxRequests = rwbudget.New(memoryTotal), func() int64 { return 1 }
		f.connect(t, "POST /unsafe/large HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 4\r\n\r\nbody")
		synctest.Wait()
		status, _, _, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		time.Sleep(rwbudget.StallTime)
		status, _, _, err = f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})
}
