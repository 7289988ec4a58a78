package rwbody_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbody"
	"redwingworks.example/internal/rwbudget"
)

func claim(total int64) (*rwbudget.Budget, *rwbudget.Claim) {
	b := rwbudget.New(total)
	return b, b.Open(time.Now(), "bodies", 0, func() {})
}

// Guards against bodies that arrive changed at the bounds of segments, and against
// memory that stays counted beyond the body.
func TestRead(t *testing.T) {
	for _, n := range []int{0, 1, 4 << 10, 4<<10 + 1, 12 << 10, 1<<20 - 1, 3 << 20} {
		want := make([]byte, n)
		for i := range want {
			want[i] = byte(i * 7)
		}
		for name, size := range map[string]int64{"announced": int64(n), "chunked": -1} {
			for _, r := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
				b, c := claim(8 << 20)
				got, err := rwbody.Read(r, size, c)
				require.NoError(t, err, "%s of %d", name, n)
				require.True(t, bytes.Equal(want, got), "%s of %d", name, n)
				held, _ := b.Held()
				require.LessOrEqual(t, held["bodies"], int64(max(n, 4<<10)), "%s of %d", name, n)
			}
		}
	}
}

// Guards against a body that is read although there is no memory for it.
func TestReadWithoutMemory(t *testing.T) {
	body := make([]byte, 1<<20)
	_, c := claim(512 << 10)
	r := bytes.NewReader(body)
	_, err := rwbody.Read(r, int64(len(body)), c)
	require.ErrorIs(t, err, rwbody.ErrNoMemory)
	require.Equal(t, len(body), r.Len(), "an announced one is not read")
	_, c = claim(512 << 10)
	_, err = rwbody.Read(r, -1, c)
	require.ErrorIs(t, err, rwbody.ErrNoMemory)
	require.GreaterOrEqual(t, r.Len(), len(body)/2)
}

// Guards against an announced body that breaks off and counts as complete.
func TestReadBrokenBody(t *testing.T) {
	for _, size := range []int64{100, -1} {
		_, c := claim(1 << 20)
		_, err := rwbody.Read(io.MultiReader(bytes.NewReader([]byte("part")), iotest.ErrReader(io.ErrUnexpectedEOF)), size, c)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against a length that a caller announces and that ends the process: without a
// budget and a published limit, nothing else bounds what is allocated for it.
func TestReadWithoutBudgetTakesWhatArrives(t *testing.T) {
	body := make([]byte, 300<<10)
	got, err := rwbody.Read(bytes.NewReader(body), int64(len(body)), nil)
	require.NoError(t, err)
	require.Len(t, got, len(body))
	require.NotPanics(t, func() {
		_, err = rwbody.Read(io.MultiReader(bytes.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)), 1<<60, nil)
	})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a body that can't be sent again and is lost although its memory becomes
// free soon, and against a wait without a bound.
func TestReadWaiting(t *testing.T) {
	const total, limit = 2 << 20, 2 * time.Second
	want := bytes.Repeat([]byte("x"), total/2)
	for _, size := range []int64{int64(len(want)), -1} {
		synctest.Test(t, func(t *testing.T) {
			b, c := claim(total)
			other := b.Open(time.Now(), "other", 0, nil)
			require.True(t, other.Pin())
			require.True(t, other.Grow(time.Now(), total))
			time.AfterFunc(limit/2, other.Close)
			start := time.Now()
			got, err := rwbody.ReadWaiting(t.Context(), bytes.NewReader(want), size, c, limit)
			if size < 0 {
				// The segments and their copy don't fit beside each other.
				require.ErrorIs(t, err, rwbody.ErrNoMemory)
				require.Equal(t, limit, time.Since(start))
				return
			}
			require.NoError(t, err)
			require.Equal(t, want, got)
			require.Less(t, time.Since(start), limit)
			require.True(t, c.Pin())
			start = time.Now()
			_, err = rwbody.ReadWaiting(t.Context(), bytes.NewReader(want), total, b.Open(start, "bodies", 0, func() {}), limit)
			require.ErrorIs(t, err, rwbody.ErrNoMemory)
			require.Equal(t, limit, time.Since(start))
			ctx, stop := context.WithCancel(t.Context())
			stop()
			start = time.Now()
			_, err = rwbody.ReadWaiting(ctx, bytes.NewReader(want), total, b.Open(start, "bodies", 0, func() {}), limit)
			require.ErrorIs(t, err, rwbody.ErrNoMemory)
			require.Zero(t, time.Since(start))
		})
	}
}
