package rwgate

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers whose bodies arrive a byte at a time and keep others out at the
// router's limit of requests until their timeout, also without a limit of memory.
func TestSlowBodyGivesItsPlaceToAnother(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		const slow = 4
		h.MaxRequests = slow
		h.start()
		var ended sync.WaitGroup
		for range slow {
			body, end := io.Pipe()
			ended.Go(func() {
				for {
					if _, err := io.WriteString(end, "x"); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
			r := request(t, "POST", chatPath, "draft", "x")
			r.Body, r.ContentLength = body, -1
			ended.Go(func() {
				if resp, err := c.Do(r); err == nil {
					_ = resp.Body.Close()
				}
				_ = body.Close()
			})
		}
		time.Sleep(2 * time.Second)
		for range slow {
			resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
			require.Equal(t, http.StatusOK, resp.StatusCode, text)
		}
		ended.Wait()
		require.Zero(t, h.heldBytes("bodies"))
		require.Zero(t, h.requests.InUse())
	})
}
