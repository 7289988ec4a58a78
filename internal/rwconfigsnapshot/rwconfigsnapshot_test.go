package rwconfigsnapshot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinstance"
)

// Guards against an evacuated upstream that gets work or is forgotten: its return must
// show as a change.
func TestEvacuatedUpstreamsAreKnown(t *testing.T) {
	list := []rwinstance.Instance{
		{ID: "a", Service: "s", Zone: "x", Evacuated: true}, {ID: "b", Service: "s", Zone: "y"},
		{ID: "c", Service: "s", Zone: "x", Evacuated: true, Leaving: true},
	}
	s := New(nil, 1, time.Unix(1, 0), list)
	require.Equal(t, []string{"b"}, s.IDs("s"))
	require.Equal(t, list[:1], s.Evacuated("s"))
	require.Equal(t, list[2:], s.Leaving("s"))
	require.Equal(t, 2, s.InZone("x"))
	_, ok := s.Instance("a")
	require.False(t, ok)
	in, ok := s.Known("a")
	require.True(t, ok && in.Evacuated)
	usable, leaving, evacuated := s.Count()
	require.Equal(t, []int{1, 1, 1}, []int{usable, leaving, evacuated})

	list[0].Evacuated = false
	back := New(nil, 2, time.Unix(2, 0), list)
	require.False(t, back.SameUpstreams(s))
	in, ok = back.Instance("a")
	require.True(t, ok && !in.Evacuated)
}

// TestSameUpstreams guards against a log line for each entry of a cold upstream, and
// against changes that aren't logged.
func TestSameUpstreams(t *testing.T) {
	in := rwinstance.Instance{ID: "a", Service: "s", StartMillis: 1, Cold: 3 * time.Second}
	of := func(list ...rwinstance.Instance) *Snapshot { return New(nil, 1, time.Time{}, list) }
	warmer, started, evacuated := in, in, in
	warmer.Cold = time.Second
	started.StartMillis = 2
	evacuated.Evacuated = true
	require.True(t, of(in).SameUpstreams(of(warmer)))
	require.False(t, of(in).SameUpstreams(of(started)))
	require.False(t, of(in).SameUpstreams(of(evacuated)))
	require.False(t, of(in).SameUpstreams(of()))
}
