package rwgate

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbudget"
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

// Guards against HTTP/2 streams whose bodies stay open and that hold memory in no budget:
// many share a connection, so that the bound of connections doesn't bound them.
func TestOpenStreamsTakeMemory(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		const open = 3
		// An open body has a first segment of 4 KiB.
		h.Memory = rwbudget.New(open * (streamBytes + 8<<10))
		h.start()
		var ended sync.WaitGroup
		for range open {
			body, end := io.Pipe()
			defer func() { _ = end.Close() }()
			r := request(t, "POST", chatPath, "draft", "x")
			r.Body, r.ContentLength = body, -1
			ended.Go(func() {
				if resp, err := c.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		time.Sleep(rwbudget.StallTime / 2)
		send := func(label string) int {
			resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody, "Label", label))
			if resp.StatusCode != http.StatusOK {
				requireError(t, resp, text, http.StatusServiceUnavailable, rwcode.TooManyRequests, rwoutcome.NotRun)
			}
			return resp.StatusCode
		}
		status := send(strings.Repeat("x", 12<<10))
		if strings.HasSuffix(t.Name(), "HTTP/1.1") {
			require.Equal(t, http.StatusOK, status)
		} else {
			require.Equal(t, http.StatusServiceUnavailable, status)
			time.Sleep(rwbudget.StallTime)
			require.Equal(t, http.StatusOK, send(strings.Repeat("x", 12<<10)), "a stalled stream keeps its memory")
		}
	})
}
