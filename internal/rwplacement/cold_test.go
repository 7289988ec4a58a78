package rwplacement

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcoldmeter"
)

// coldGuard bounds what cold engines get by a meter.
type coldGuard struct {
	cold   map[string]bool
	meter  *rwcoldmeter.Meter
	counts map[string]int
	// failed and answered count the signs by engine.
	failed, answered map[string]int
}

const coldLimit = 5

// guarded returns a placer whose cold engines have been known for long.
func guarded(cold []string, ids ...string) (*Placer, *coldGuard) {
	g := &coldGuard{
		cold: map[string]bool{}, meter: rwcoldmeter.New(), counts: map[string]int{},
		failed: map[string]int{}, answered: map[string]int{},
	}
	for _, id := range cold {
		g.cold[id] = true
		g.meter.Room(at(0).Add(-time.Minute), id, "", coldLimit)
	}
	p := placer(ids...)
	p.Cold = Cold{
		Is: func(_ time.Time, id string) bool { return g.cold[id] },
		Room: func(now time.Time, id, account string) bool {
			return !g.cold[id] || g.meter.Room(now, id, account, coldLimit)
		},
		Take:     g.meter.Take,
		Failed:   func(_ time.Time, id string) { g.failed[id]++ },
		Answered: func(_ time.Time, id string) { g.answered[id]++ },
		Count:    func(counter string) { g.counts[counter]++ },
	}
	return p, g
}

// TestColdEngineGetsFewRequests guards against more grants for a cold engine than its
// bound, while warm engines take the rest.
func TestColdEngineGetsFewRequests(t *testing.T) {
	p, g := guarded([]string{"a"}, "a", "b", "c")
	granted := map[string]int{}
	for i := range 100 {
		id := "r" + strconv.Itoa(i)
		d := p.Submit(at(10*i), request(id, "acc"+strconv.Itoa(i%10), "s"+strconv.Itoa(i), 500))
		if d.Verdict == Granted {
			granted[d.Engine]++
			require.Equal(t, d.Engine == "a", d.Cold)
			p.FirstEvent(at(10*i+5), id)
			p.Ended(at(10*i+8), id, Served)
		}
	}
	require.LessOrEqual(t, granted["a"], coldLimit)
	require.Positive(t, granted["b"])
	require.Positive(t, granted["c"])
	require.Equal(t, granted["a"], g.counts[coldGrants])
	require.Positive(t, g.counts[coldMoved])
}

// TestColdEngineGetsShortPrompts guards against a cold engine whose few requests are
// long prompts that warm engines can take.
func TestColdEngineGetsShortPrompts(t *testing.T) {
	p, _ := guarded([]string{"a"}, "a", "b")
	d := p.Submit(at(0), request("long", "x", "s", 20_000))
	require.Equal(t, Granted, d.Verdict)
	require.Equal(t, "b", d.Engine)
	d = p.Submit(at(1), request("short", "y", "s", 100))
	require.Equal(t, Granted, d.Verdict)
	require.Equal(t, "a", d.Engine)
	require.True(t, d.Cold)
}

// TestAllCold guards against requests that wait until their target has passed for
// engines that take no more.
func TestAllCold(t *testing.T) {
	p, g := guarded([]string{"a", "b"}, "a", "b")
	refused := 0
	for i := range 40 {
		switch d := p.Submit(at(i), request("r"+strconv.Itoa(i), "acc"+strconv.Itoa(i), "s", 100)); d.Verdict {
		case Granted:
			p.FirstEvent(at(i), d.ID)
			p.Ended(at(i), d.ID, Served)
		case Late:
			require.Positive(t, d.RetryAfter)
			refused++
		default:
			require.Fail(t, d.Verdict.String())
		}
	}
	require.Equal(t, 40-2*coldLimit, refused)
	require.Equal(t, refused, g.counts[coldRefused])
}

// TestColdSigns guards against signs of dark engines that aren't passed on.
func TestColdSigns(t *testing.T) {
	p, g := guarded(nil, "a")
	for i, end := range []End{Served, Failed, Unreachable, Refused, Abandoned} {
		id := "r" + strconv.Itoa(i)
		require.Equal(t, Granted, p.Submit(at(5000*i), request(id, "x", "s", 100)).Verdict)
		if end == Served {
			p.FirstEvent(at(5000*i+10), id)
		}
		p.Ended(at(5000*i+20), id, end)
	}
	require.Equal(t, 1, g.answered["a"])
	require.Equal(t, 2, g.failed["a"])
	require.Equal(t, Granted, p.Submit(at(30_000), request("silent", "x", "s", 100)).Verdict)
	p.Tick(at(32_000))
	require.Equal(t, 3, g.failed["a"])
}

// TestQueuedGrantSaysItsWait guards against a grant whose age can't be told.
func TestQueuedGrantSaysItsWait(t *testing.T) {
	p, _ := guarded([]string{"a"}, "a")
	require.Equal(t, Granted, p.Submit(at(0), request("warms", "x", "s", 100)).Verdict)
	p.FirstEvent(at(150), "warms")
	require.Equal(t, Granted, p.Submit(at(1000), request("first", "x", "s", 12_000)).Verdict)
	require.Equal(t, Queued, p.Submit(at(1001), request("second", "y", "s", 500)).Verdict)
	require.Empty(t, p.Tick(at(1005)))
	p.FirstEvent(at(1050), "first")
	out := p.Tick(at(1050))
	require.Len(t, out, 1)
	require.Equal(t, Granted, out[0].Verdict)
	require.True(t, out[0].Cold)
	require.Equal(t, 49*time.Millisecond, out[0].Waited)
}
