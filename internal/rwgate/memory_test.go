package rwgate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwstream"
)

// largeBytes is more than what the clients of the tests take before they are read from.
const largeBytes = 12 << 20

// respondLarge makes calls to paths with /large return responses of largeBytes, with the
// memory that a dispatcher takes for them, or without for calls with a key.
func (h *harness) respondLarge() {
	small := h.RunCall
	h.RunCall = func(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Response, error) {
		if !strings.Contains(q.Path, "/large") {
			return small(ctx, q)
		}
		a := &rwdispatch.Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, largeBytes)}
		if q.IdempotencyKey != "" {
			return a, nil
		}
		a.Memory = h.Memory.Open(time.Now(), "responses", rwdispatch.UncountedBytes, nil)
		a.Memory.Pin()
		if !a.Memory.Grow(time.Now(), largeBytes) {
			a.Memory.Close()
			return nil, rwdispatch.NoMemory(a.Status)
		}
		return a, nil
	}
}

// heldBytes returns the memory of one kind of holder.
func (h *harness) heldBytes(kind string) int64 {
	held, _ := h.bodies.Held()
	return held[kind]
}

func (h *harness) faultCodes() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.faults...)
}

// Guards against callers that don't read their responses and keep the memory from others,
// against a response cut short that looks complete, and against the loss of one whose
// caller reads steadily.
func TestUnreadResponseGivesWay(t *testing.T) {
	const path = "/v1/call/orders/large"
	for name, headers := range map[string][]string{"no key": nil, "key": {"Idempotency-Key", "a"}} {
		t.Run(name, func(t *testing.T) {
			eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
				h.Memory = rwbudget.New(2*largeBytes + largeBytes/2)
				h.respondLarge()
				h.start()
				unread, err := c.Do(request(t, "POST", path, "order", "x", headers...))
				require.NoError(t, err)
				steady, err := c.Do(request(t, "POST", path, "order", "x", headers...))
				require.NoError(t, err)
				const parts = 6
				for range parts / 2 {
					_, err = io.CopyN(io.Discard, steady.Body, largeBytes/parts)
					require.NoError(t, err)
					time.Sleep(rwbudget.StallTime / 2)
				}
				resp, text := h.do(t, c, request(t, "POST", path, "order", "x", headers...))
				require.Equal(t, http.StatusOK, resp.StatusCode, text)
				require.Len(t, text, largeBytes)
				n, err := io.Copy(io.Discard, steady.Body)
				require.NoError(t, err)
				require.EqualValues(t, largeBytes/2, n)
				n, err = io.Copy(io.Discard, unread.Body)
				require.Error(t, err)
				require.Less(t, n, int64(largeBytes))
				require.NoError(t, unread.Body.Close())
				require.NoError(t, steady.Body.Close())
				// The caller can have the end of a response before its handler has returned.
				synctest.Wait()
				require.Equal(t, []string{rwcode.CallerGone.String()}, h.faultCodes())
				require.Zero(t, h.heldBytes("responses"), "memory that is never returned")
				resp, _ = h.do(t, c, request(t, "POST", "/v1/call/orders/x", "order", "x"))
				require.Equal(t, http.StatusCreated, resp.StatusCode)
			})
		})
	}
}

// Guards against "not run" for a call that ran and whose response finds no memory, and
// against ordinary callers that get no response beside it.
func TestResponseWithoutMemory(t *testing.T) {
	for name, headers := range map[string][]string{"no key": nil, "key": {"Idempotency-Key", "a"}} {
		t.Run(name, func(t *testing.T) {
			eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
				h.Memory = rwbudget.NewWithReserve(largeBytes, largeBytes/2)
				h.respondLarge()
				h.start()
				resp, text := h.do(t, c, request(t, "POST", "/v1/call/orders/large", "order", "x", headers...))
				requireError(t, resp, text, http.StatusBadGateway, rwcode.TooManyRequests, rwoutcome.Ran)
				resp, _ = h.do(t, c, request(t, "POST", "/v1/call/orders/x", "order", "x"))
				require.Equal(t, http.StatusCreated, resp.StatusCode)
				require.Zero(t, h.heldBytes("responses"))
			})
		})
	}
}

// Guards against text of models that takes memory without a bound, against a budget that
// refuses the longest text of a single request, and against text that is changed.
func TestTextTakesMemory(t *testing.T) {
	const (
		memory = 36 << 20
		part   = 32 << 10
	)
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.RunInference = func(_ context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			for i := range maxResponseTextBytes / part {
				if err := emit(&rwstream.Chunk{ID: q.ID, Index: i, Text: strings.Repeat(string(rune('a'+i%26)), part)}); err != nil {
					return err
				}
			}
			return nil
		}
		h.Memory = rwbudget.NewWithReserve(memory, memory/8)
		h.start()
		resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		var response chatResponse
		require.NoError(t, json.Unmarshal([]byte(text), &response))
		require.Len(t, response.Text, maxResponseTextBytes)
		for i := range maxResponseTextBytes / part {
			require.Equal(t, byte('a'+i%26), response.Text[i*part])
		}
		synctest.Wait()
		require.Zero(t, h.heldBytes("responses"))

		other := h.Memory.Open(time.Now(), "other", 0, nil)
		other.Pin()
		for _, c2 := range []struct {
			taken   int64
			outcome rwoutcome.Outcome
		}{{memory - memory/2, rwoutcome.Ran}, {memory/2 - memory/4, rwoutcome.Unknown}} {
			require.True(t, other.Grow(time.Now(), c2.taken))
			resp, text = h.do(t, c, request(t, "POST", chatPath, "sealed", goodBody))
			requireError(t, resp, text, http.StatusBadGateway, rwcode.TooManyRequests, c2.outcome)
			require.Zero(t, h.heldBytes("responses"))
		}
	})
}

// Guards against callers that don't read and keep others out at the router's limit of
// requests until their timeout.
func TestUnreadResponseGivesItsPlaceToAnother(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.Memory, h.MaxRequests = rwbudget.New(4*largeBytes), 1
		h.respondLarge()
		h.start()
		unread, err := c.Do(request(t, "POST", "/v1/call/orders/large", "order", "x"))
		require.NoError(t, err)
		defer func() { _ = unread.Body.Close() }()
		call := func() int {
			resp, _ := h.do(t, c, request(t, "POST", "/v1/call/orders/x", "order", "x"))
			return resp.StatusCode
		}
		require.Equal(t, http.StatusServiceUnavailable, call())
		time.Sleep(rwbudget.StallTime)
		require.Equal(t, http.StatusCreated, call())
	})
}
