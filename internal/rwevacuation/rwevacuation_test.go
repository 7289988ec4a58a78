package rwevacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Guards against a zone that stays evacuated after it was taken back, and against an
// order that is lost when it is written again.
func TestOrderAndReturn(t *testing.T) {
	require.False(t, Evacuation{}.Active(start))
	e := New("a", start)
	require.True(t, e.Active(start.Add(time.Hour)), "an order has no end of its own")
	require.Equal(t, start, e.WithOrder("a", start.Add(time.Second)).Since, "written again")
	e = e.WithReturn()
	require.False(t, e.Active(start))
	e = e.WithOrder("a", start.Add(time.Minute))
	require.True(t, e.Active(start.Add(time.Minute)))
	require.Equal(t, start.Add(time.Minute), e.Since, "a later order")
}

// Guards against a copy of the store that ends an evacuation at once, against a zone
// that is held for ever because the copy is read again and again, and against a zone
// that a copy brings back into evacuation though its return is known.
func TestLostItem(t *testing.T) {
	e := New("a", start)
	for i := range 10 {
		e = e.WithLostItem(start.Add(time.Duration(i) * time.Second))
	}
	require.True(t, e.Held(start.Add(holdTime-1)))
	require.False(t, e.Active(start.Add(holdTime)))
	require.True(t, e.WithOrder("a", start.Add(holdTime)).Active(start.Add(time.Hour)))
	require.False(t, e.WithReturn().Active(start))

	known := New("a", start).WithReturn().WithLostItem(start)
	require.False(t, known.Active(start))
	require.False(t, known.Held(start))
}
