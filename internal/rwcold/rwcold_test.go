package rwcold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinstance"
)

const coldStart = 3 * time.Second

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func bounded(string) (time.Duration, bool) { return coldStart, true }

// tracked returns a tracker that has known a warm upstream "a" for long.
func tracked() *Tracker {
	t := New(at(0))
	t.Observe(at(0), []rwinstance.Instance{{ID: "a", Service: "s", StartMillis: 1}}, bounded)
	return t
}

// TestFirstSigns guards against a cold upstream that is missed because only one kind
// of sign shows it, and against warm ones that are held back.
func TestFirstSigns(t *testing.T) {
	for _, c := range []struct {
		name string
		in   rwinstance.Instance
		// left is how long the upstream is cold.
		left time.Duration
	}{
		{"its entry repeats", rwinstance.Instance{ID: "a", StartMillis: 1}, 0},
		{"its entry says so", rwinstance.Instance{ID: "a", StartMillis: 1, Cold: time.Second}, time.Second},
		{"it starts again and says how long", rwinstance.Instance{ID: "a", StartMillis: 2, Cold: 2 * time.Second}, 2 * time.Second},
		{"it starts again and says nothing", rwinstance.Instance{ID: "a", StartMillis: 2}, coldStart},
		{"it is new and says nothing", rwinstance.Instance{ID: "b", StartMillis: 1}, coldStart},
		{"it is evacuated", rwinstance.Instance{ID: "a", StartMillis: 1, Evacuated: true}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := tracked()
			tr.Observe(at(20_000), []rwinstance.Instance{c.in}, bounded)
			left := int(c.left.Milliseconds())
			require.Equal(t, left > 0, tr.Cold(at(20_000), c.in.ID))
			if left > 0 {
				require.True(t, tr.Cold(at(20_000+left-1), c.in.ID))
			}
			require.False(t, tr.Cold(at(20_000+left), c.in.ID))
			require.Equal(t, c.in.Cold > 0, tr.Announced(at(20_000), c.in.ID))
		})
	}
}

// TestRepeatedEntryDoesntLengthen guards against an upstream that stays cold because
// the list with its entry is applied again and again.
func TestRepeatedEntryDoesntLengthen(t *testing.T) {
	tr := tracked()
	cold := []rwinstance.Instance{{ID: "a", StartMillis: 1, Cold: time.Second}}
	for ms := 10_000; ms < 12_000; ms += 100 {
		tr.Observe(at(ms), cold, bounded)
	}
	require.True(t, tr.Cold(at(10_999), "a"))
	require.False(t, tr.Cold(at(11_000), "a"))
}

// TestEndOfEvacuation guards against full load on a zone that was taken back.
func TestEndOfEvacuation(t *testing.T) {
	tr := tracked()
	tr.Observe(at(10_000), []rwinstance.Instance{{ID: "a", StartMillis: 1, Evacuated: true}}, bounded)
	tr.Observe(at(15_000), []rwinstance.Instance{{ID: "a", StartMillis: 1}}, bounded)
	require.True(t, tr.Cold(at(17_999), "a"))
	require.False(t, tr.Cold(at(18_000), "a"))
}

// TestWarmFleetAtStart guards against a router that holds back a whole warm fleet
// because it has just started and learns of its parts one after the other.
func TestWarmFleetAtStart(t *testing.T) {
	tr := tracked()
	tr.Observe(at(1000), []rwinstance.Instance{{ID: "a", StartMillis: 1}, {ID: "b", StartMillis: 1}}, bounded)
	require.False(t, tr.Cold(at(1000), "b"))
	// An entry that lapsed and came back isn't new.
	tr.Observe(at(20_000), []rwinstance.Instance{{ID: "a", StartMillis: 1}}, bounded)
	tr.Observe(at(24_000), []rwinstance.Instance{{ID: "a", StartMillis: 1}, {ID: "b", StartMillis: 1}}, bounded)
	require.False(t, tr.Cold(at(24_000), "b"))
}

// TestSilence guards against full load on an upstream that was dark, before the store
// tells of its return.
func TestSilence(t *testing.T) {
	tr := tracked()
	tr.Answer(at(10_000), "a")
	for ms := 10_100; ms < 10_400; ms += 100 {
		tr.Fail(at(ms), "a")
		require.False(t, tr.Cold(at(ms), "a"))
	}
	require.True(t, tr.Cold(at(10_400), "a"))
	require.True(t, tr.Cold(at(20_000), "a"), "until it answers")
	tr.Answer(at(20_000), "a")
	require.True(t, tr.Cold(at(22_999), "a"))
	require.False(t, tr.Cold(at(23_000), "a"))
}

// TestSingleFailures guards against warm upstreams that count as cold because a part
// of their requests fails.
func TestSingleFailures(t *testing.T) {
	tr := tracked()
	for ms := 10_000; ms < 20_000; ms += 100 {
		tr.Fail(at(ms), "a")
		tr.Fail(at(ms+10), "a")
		require.True(t, tr.Doubtful(at(ms+10), "a"))
		tr.Answer(at(ms+50), "a")
		require.False(t, tr.Doubtful(at(ms+50), "a"))
		require.False(t, tr.Cold(at(ms+50), "a"))
	}
	require.True(t, tr.Heard(at(20_000), "a"))
	require.False(t, tr.Heard(at(24_000), "a"))
}

// TestToldOnEnds guards against two routers that keep an upstream cold by telling
// each other.
func TestToldOnEnds(t *testing.T) {
	a, b := tracked(), tracked()
	a.Tell(at(10_000), "a", time.Minute)
	require.True(t, a.Cold(at(12_999), "a"))
	require.False(t, a.Cold(at(13_000), "a"), "not longer than a cold start takes")
	require.Empty(t, a.All(at(10_500)))
	for ms := 10_000; ms < 14_000; ms += 20 {
		for id, left := range a.Tellable(at(ms), "s") {
			b.Tell(at(ms+10), id, left)
		}
		for id, left := range b.Tellable(at(ms+10), "s") {
			a.Tell(at(ms+20), id, left)
		}
	}
	require.False(t, a.Cold(at(14_000), "a"))
	require.False(t, b.Cold(at(14_000), "a"))
}

// TestServiceWithoutBound guards against any effect on services whose cold upstreams
// have no bound, and on upstreams that were known before their service has one.
func TestServiceWithoutBound(t *testing.T) {
	tr := New(at(0))
	list := []rwinstance.Instance{{ID: "a", StartMillis: 1, Cold: time.Minute}}
	tr.Observe(at(0), list, func(string) (time.Duration, bool) { return coldStart, false })
	for range 10 {
		tr.Fail(at(1000), "a")
	}
	require.False(t, tr.Cold(at(5000), "a"))
	require.False(t, tr.Doubtful(at(1000), "a"))
	require.True(t, tr.Heard(at(5000), "a"))
	require.Empty(t, tr.Changes(at(5000)))
	list[0].Cold = 0
	tr.Observe(at(10_000), list, bounded)
	tr.Answer(at(10_000), "a")
	tr.Observe(at(20_000), list, bounded)
	require.False(t, tr.Cold(at(20_000), "a"))
}

func TestChanges(t *testing.T) {
	tr := tracked()
	require.Empty(t, tr.Changes(at(0)))
	require.Nil(t, tr.Tellable(at(0), "s"))
	tr.Observe(at(10_000), []rwinstance.Instance{{ID: "a", Service: "s", StartMillis: 1, Cold: time.Second}}, bounded)
	require.Equal(t, []Change{{ID: "a", Service: "s", Cold: true, Left: time.Second}}, tr.Changes(at(10_000)))
	require.Empty(t, tr.Changes(at(10_500)))
	require.Equal(t, []Change{{ID: "a", Service: "s"}}, tr.Changes(at(11_000)))
}
