package rwfront

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
)

// Guards against callers that don't read and keep the places of their requests until
// their deadlines, against a response cut short that looks complete, and against the loss
// of one whose caller reads slowly.
func TestUnreadResponseGivesItsPlaceToAnother(t *testing.T) {
	const size = 1 << 20
	for name, path := range map[string]string{"response": "/open/x", "stream": "/once/x"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := serve(t, map[string]http.HandlerFunc{
					"a": func(w http.ResponseWriter, r *http.Request) {
						w.Header().Set("Content-Length", strconv.Itoa(size))
						respond(200, strings.Repeat("x", size))(w, r)
					},
					"m": events(0, 20000, true),
				})
				f.front.Memory = rwbudget.New(memoryTotal)
				head := "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\n\r\n"
				unread, slow := f.connect(t, head), f.connect(t, head)
				slowReader := bufio.NewReader(slow)
				resp, err := http.ReadResponse(slowReader, nil)
				require.NoError(t, err)
				synctest.Wait()
				require.False(t, f.front.Memory.EvictStalled(time.Now()), "nobody has stalled yet")
				time.Sleep(rwbudget.StallTime / 2)
				_, err = io.CopyN(io.Discard, resp.Body, 64<<10)
				require.NoError(t, err)
				synctest.Wait()
				time.Sleep(rwbudget.StallTime / 2)
				require.True(t, f.front.Memory.EvictStalled(time.Now()))
				require.False(t, f.front.Memory.EvictStalled(time.Now()), "its caller reads")
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				cut, err := http.ReadResponse(bufio.NewReader(unread), nil)
				if err == nil {
					_, err = io.Copy(io.Discard, cut.Body)
					_ = cut.Body.Close()
				}
				require.Error(t, err)
				synctest.Wait()
				require.Equal(t, "1", f.refusals(rwcode.CallerGone))
				require.Zero(t, f.heldBytes())
			})
		})
	}
}

// Guards against responses that aren't forwarded whole, or are refused, if there is no
// memory to buffer them, and against buffered ones that don't count.
func TestResponseWithoutMemoryIsNotBuffered(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 64<<10)
	for _, size := range []int{0, 1, firstBufferBytes, maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, len(body)} {
		for _, total := range []int64{0, firstBufferBytes, memoryTotal} {
			memory := rwbudget.New(total)
			claim := memory.Open(time.Now(), "bodies", 0, nil)
			require.True(t, claim.Pin())
			r := iotest.HalfReader(strings.NewReader(body[:size]))
			data, taken, whole, err := bufferResponse(r, claim)
			require.NoError(t, err)
			held, _ := memory.Held()
			require.Equal(t, taken, held["bodies"])
			require.LessOrEqual(t, int64(len(data)), taken)
			if total == memoryTotal {
				require.Equal(t, size < maxBufferedBytes, whole, size)
				require.Len(t, data, min(size, maxBufferedBytes))
			}
			rest, err := io.ReadAll(r)
			require.NoError(t, err)
			if whole {
				require.Empty(t, rest)
			}
			require.True(t, bytes.Equal([]byte(body[:size]), append(data, rest...)), "%d with %d", size, total)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, body)})
		f.front.Memory = rwbudget.New(0)
		request := bodyHead + "Content-Length: " + strconv.Itoa(includedBodyBytes) + "\r\n\r\n" + strings.Repeat("x", includedBodyBytes)
		resp, err := http.ReadResponse(bufio.NewReader(f.connect(t, request)), nil)
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.True(t, body == string(text))
	})
}

// Guards against a response that breaks off and counts as complete.
func TestBrokenResponseIsNotWhole(t *testing.T) {
	for _, broken := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
		memory := rwbudget.New(memoryTotal)
		claim := memory.Open(time.Now(), "bodies", 0, nil)
		r := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(broken))
		_, taken, whole, err := bufferResponse(r, claim)
		require.ErrorIs(t, err, broken)
		require.False(t, whole)
		require.EqualValues(t, firstBufferBytes, taken)
	}
}
