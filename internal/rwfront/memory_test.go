package rwfront

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
)

// memoryTotal is the memory for bodies in these tests, beyond what a request includes.
const memoryTotal = 256 << 10

func serveWithMemory(t *testing.T) *fleet {
	f := serve(t, map[string]http.HandlerFunc{"a": func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respond(200, "x")(w, r)
	}})
	f.front.Memory = rwbudget.New(memoryTotal)
	return f
}

// chunks returns a body in chunks of a size, without its end.
func chunks(n, size int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), n)
}

// status returns the status of the response on a connection.
func status(t *testing.T, r io.Reader) int {
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

func (f *fleet) heldBytes() int64 {
	held, _ := f.front.Memory.Held()
	return held["bodies"]
}

// Guards against callers that stop short of the end of their bodies and keep the memory
// from others, and against a refusal whose caller can't know that nothing ran.
func TestStalledBodyGivesItsMemoryToAnother(t *testing.T) {
	for name, stalled := range map[string]string{
		"chunked":   "Transfer-Encoding: chunked\r\n\r\n" + chunks(60, 4<<10),
		"announced": fmt.Sprintf("Content-Length: %d\r\n\r\npart", includedBodyBytes+memoryTotal),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := serveWithMemory(t)
				first := f.connect(t, bodyHead+stalled)
				synctest.Wait()
				require.Positive(t, f.heldBytes())
				const size = includedBodyBytes + memoryTotal - 64<<10
				head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", bodyHead, size)
				// The connection in memory has no buffer, so a refused body can't be sent
				// before the refusal is read.
				require.Equal(t, http.StatusServiceUnavailable, status(t, f.connect(t, head)), "nothing has stalled yet")
				require.Zero(t, f.runs())
				time.Sleep(rwbudget.StallTime)
				require.Equal(t, http.StatusOK, status(t, f.connect(t, head+strings.Repeat("x", size))))
				require.Equal(t, http.StatusServiceUnavailable, status(t, first))
				require.Equal(t, 1, f.runs())
				synctest.Wait()
				require.Zero(t, f.heldBytes(), "memory that is never returned")
			})
		})
	}
}

// Guards against a body far over the limit that takes memory, and is read, before it is
// refused.
func TestAnnouncedBodyOverTheLimitIsRefusedUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serveWithMemory(t)
		start := time.Now()
		require.Equal(t, http.StatusRequestEntityTooLarge, status(t, f.connect(t, bodyHead+"Content-Length: 2000000\r\n\r\n")))
		require.Less(t, time.Since(start), shortTimeout, "refused at once")
		require.Equal(t, "1", f.refusals(rwcode.BodyTooLarge))
		require.Zero(t, f.runs())
	})
}

// Guards against small requests that find no memory beside large ones, and against a
// body in chunks that arrives changed.
func TestSmallBodiesNeedNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serveWithMemory(t)
		f.front.Memory = rwbudget.New(0)
		for _, n := range []int{1, 3, 7} {
			body := "Transfer-Encoding: chunked\r\n\r\n" + chunks(n, 4<<10) + "0\r\n\r\n"
			require.Equal(t, http.StatusOK, status(t, f.connect(t, bodyHead+body)), n)
		}
	})
}
