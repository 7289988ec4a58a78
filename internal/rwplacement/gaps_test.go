package rwplacement

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwprefill"
)

// slowPlacer returns a placer whose engines are known to prefill 50,000 tokens per second.
func slowPlacer(engines ...string) *Placer {
	p := placer(engines...)
	p.calibration = rwprefill.Calibration{Rate: 50_000}
	for _, e := range p.engines {
		e.model.WithCalibration(p.calibration)
	}
	return p
}

func gapRequest(id, shared string, own int) Request {
	r := request(id, "acc-"+id, shared, own)
	r.Target, r.GapTarget = 4*time.Second, 400*time.Millisecond
	return r
}

// Guards against streams without events for longer than their target, because the engine
// prefills one prompt after the other.
func TestPrefillingLeavesTimeForStreams(t *testing.T) {
	p := slowPlacer("a")
	p.AddCached("a", gapRequest("", "s", 0).Parts[:1])
	busy := time.Duration(0)
	for ms := range 400 {
		id := strconv.Itoa(ms)
		p.Submit(at(ms), gapRequest(id, "s", 2_000))
		p.Tick(at(ms))
	}
	for _, g := range p.grants {
		busy += g.engine.model.PrefillTime(2_000)
	}
	// The engine has also begun what it prefills after these 400 ms.
	require.LessOrEqual(t, busy, scale(400*time.Millisecond, gapPrefillRatio)+p.engines["a"].model.Backlog(at(399)))
	require.GreaterOrEqual(t, busy, 200*time.Millisecond, "the engine must not idle either")
}

// Guards against a long prompt at an engine with many streams, all of whose events it would
// delay, and against one that waits for good because it is too long for any gap.
func TestLongPromptGoesWhereFewStreamsRun(t *testing.T) {
	for i := range 10 {
		p := slowPlacer("a", "b", "c")
		for _, e := range p.engines {
			e.running = 20
		}
		p.engines["b"].running = 2
		d := p.Submit(at(0), gapRequest("long", "s"+strconv.Itoa(i), 30_000))
		require.Equal(t, Granted, d.Verdict)
		require.Equal(t, "b", d.Engine)
	}
}

// Guards against a change for routes without a gap target and for fast engines.
func TestGapsAreLeftToOtherPools(t *testing.T) {
	p := slowPlacer("a")
	p.Submit(at(0), request("1", "acc", "s", 10))
	require.False(t, p.paced())
	p = placer("a")
	p.Submit(at(0), gapRequest("1", "s", 10))
	require.False(t, p.paced())
	require.Equal(t, 400*time.Millisecond, p.minGap)
	p.Submit(at(0), gapRequest("2", "s", 10))
	require.Greater(t, p.minGap, 400*time.Millisecond, "it follows a change")
}

// Guards against an engine whose last slots are taken by requests that could run anywhere,
// so that those whose parts it caches are prefilled elsewhere from the start.
func TestLastSlotsAreForCachedParts(t *testing.T) {
	p := slowPlacer("a")
	e := p.engines["a"]
	e.running = p.spec.Slots - 1
	require.False(t, p.hasSlot(e, gapRequest("1", "s", 10)))
	p.AddCached("a", gapRequest("", "s", 0).Parts[:1])
	require.True(t, p.hasSlot(e, gapRequest("1", "s", 10)))
	e.running = p.spec.Slots
	require.False(t, p.hasSlot(e, gapRequest("1", "s", 10)))
	p = placer("a")
	p.engines["a"].running = p.spec.Slots - 1
	require.True(t, p.hasSlot(p.engines["a"], gapRequest("1", "s", 10)), "other pools are served as before")
}

// Guards against sending prompts to an engine that pauses: each chunk makes the next event of
// its streams later.
func TestPausedEngineGetsNoPrompts(t *testing.T) {
	p := slowPlacer("a")
	p.AddCached("a", gapRequest("", "s", 0).Parts[:1])
	d := p.Submit(at(0), gapRequest("0", "s", 2_000))
	due := int(d.Forecast.Milliseconds())
	require.Equal(t, Granted, p.Submit(at(due+50), gapRequest("1", "s", 1_000)).Verdict)
	require.Equal(t, Queued, p.Submit(at(due+110), gapRequest("2", "s", 1_000)).Verdict)
	p.FirstEvent(at(due+120), "0")
	require.Len(t, p.Tick(at(due+120)), 1)
}
