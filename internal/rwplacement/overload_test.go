package rwplacement

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fill takes a fraction of the slots of all engines.
func fill(p *Placer, ratio float64) {
	for _, e := range p.engines {
		e.running = int(ratio * float64(p.spec.Slots))
	}
}

// Guards against requests that come back after a refusal, most of them too late for their
// callers' target, and take the place of requests that can be in time.
func TestReturningRequestsYieldInACrowdedCell(t *testing.T) {
	first := func(p *Placer) string {
		late := gapRequest("late", "s", 1_000)
		late.Account, late.Target, late.Elapsed = "returning", 500*time.Millisecond, time.Second
		require.Equal(t, Late, p.Submit(at(0), late).Verdict)
		for id := range p.engines {
			p.engines[id].refusedUntil = at(100)
		}
		late.Elapsed = 0
		fresh := gapRequest("fresh", "s", 1_000)
		fresh.Account = "sent more"
		p.account(at(50), fresh.Account).usage = 1_000
		require.Equal(t, Queued, p.Submit(at(50), late).Verdict)
		require.Equal(t, Queued, p.Submit(at(50), fresh).Verdict)
		return p.orderedQueue(at(50))[0].request.ID
	}
	p := slowPlacer("a", "b")
	fill(p, 0.8)
	require.Equal(t, "fresh", first(p))
	p = slowPlacer("a", "b")
	fill(p, 0.5)
	require.Equal(t, "late", first(p), "there is room for both")
	p = placer("a", "b")
	fill(p, 0.8)
	require.Equal(t, "late", first(p), "other pools are served as before")
}

// Guards against an account that never gets its share because all its requests come back
// after refusals.
func TestReturningRequestsOfStarvedAccountsDontYield(t *testing.T) {
	p := slowPlacer("a")
	fill(p, 0.8)
	w := &queuedRequest{request: gapRequest("1", "s", 1_000), queuedAt: at(0), retry: true}
	require.True(t, p.yields(at(0), w))
	p.fairShare, p.fairShareAt = 1e6, at(0)
	require.False(t, p.yields(at(0), w))
}

// Guards against engines that prefill for a second what is late anyway, while requests are
// refused that could be in time; and against refusing it while there is room.
func TestHopelessPromptsNeedRoom(t *testing.T) {
	lateWithCachedParts := gapRequest("1", "s", 50_000)
	lateWithCachedParts.Target = 800 * time.Millisecond
	p := slowPlacer("a")
	require.Equal(t, Granted, p.Submit(at(0), lateWithCachedParts).Verdict)
	p = slowPlacer("a")
	fill(p, 0.8)
	require.Equal(t, Late, p.Submit(at(0), lateWithCachedParts).Verdict)
}

// Guards against refusing a prompt for the sake of other streams' events while the engines
// have room: with empty caches, prompts are long because of their shared parts.
func TestLongPromptsAreNotRefusedWhileThereIsRoom(t *testing.T) {
	p := slowPlacer("a")
	fill(p, 0.2)
	verdicts := map[Verdict]int{}
	due := map[string]int{}
	record := func(ms int, d Decision) {
		verdicts[d.Verdict]++
		if d.Verdict == Granted {
			due[d.ID] = ms + int(d.Forecast.Milliseconds())
		}
	}
	for i := range 3 {
		r := gapRequest(strconv.Itoa(i), "s"+strconv.Itoa(i), 5_000)
		r.Target = 1500 * time.Millisecond
		record(0, p.Submit(at(0), r))
	}
	for ms := 5; ms < 1500; ms += 5 {
		for id, t := range due {
			if t <= ms {
				p.FirstEvent(at(ms), id)
				delete(due, id)
			}
		}
		for _, d := range p.Tick(at(ms)) {
			record(ms, d)
		}
	}
	require.Equal(t, 3, verdicts[Granted])
}
