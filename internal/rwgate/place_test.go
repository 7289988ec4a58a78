package rwgate

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
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

// Guards against a pool that hangs and keeps the requests to others out.
func TestPoolThatHangsLeavesRoom(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.MaxRequests = 16
		h.RunCall = func(ctx context.Context, _ *rwrequest.Request) (*rwdispatch.Response, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		h.start()
		ctx, cancel := context.WithCancel(t.Context())
		var ended sync.WaitGroup
		for range 2 * h.MaxRequests {
			r := request(t, "POST", "/v1/call/orders/x", "order", "x").WithContext(ctx)
			ended.Go(func() {
				if resp, err := c.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		synctest.Wait()
		require.EqualValues(t, 14, h.requests.InUse())
		resp, text := h.do(t, c, request(t, "POST", "/v1/call/orders/x", "order", "x"))
		requireError(t, resp, text, 503, rwcode.TooManyRequests, rwoutcome.NotRun)
		resp, text = h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
		require.Equal(t, http.StatusOK, resp.StatusCode, text)
		cancel()
		ended.Wait()
		synctest.Wait()
		require.Zero(t, h.requests.InUse())
	})
}
