package rwplacement

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwprompt"
)

// serveLate serves streams on an engine whose events come too late.
func serveLate(p *Placer, engine string, streams int) {
	for range streams {
		p.engines[engine].duty.Observe(500*time.Millisecond, 400*time.Millisecond)
	}
}

// Guards against a long prompt on an engine whose streams are late while it prefills,
// if another one is free.
func TestLongPromptsGoWhereStreamsAreInTime(t *testing.T) {
	long, short := map[string]int{}, map[string]int{}
	for i := range 40 {
		p := placer("a", "b")
		serveLate(p, "a", 20)
		r := request(strconv.Itoa(i), "acc", "s"+strconv.Itoa(i), 30_000)
		r.Target = 2 * time.Second
		d := p.Submit(at(0), r)
		require.Equal(t, Granted, d.Verdict)
		long[d.Engine]++
		p = placer("a", "b")
		serveLate(p, "a", 20)
		require.Equal(t, "b", p.Submit(at(0), r).Engine)
		r = request("short", "acc", "s", 200)
		r.Parts = []rwprompt.Part{{ID: "own", Tokens: 200}}
		short[p.Submit(at(0), r).Engine]++
	}
	require.Greater(t, long["b"], 3*long["a"])
	require.Positive(t, short["a"], "the engine is not set aside")
}

// Guards against an engine that gets the next prompt as soon as it has prefilled the
// last one although its streams are late, and against one that rests for good.
func TestEngineWithLateStreamsRests(t *testing.T) {
	const speed = 100_000.0
	granted := func(late int) (n int) {
		p := placer("a")
		serveLate(p, "a", late)
		free, first := at(0), map[string]time.Time{}
		for ms := 0; ms < 10_000; ms += 5 {
			now := at(ms)
			for id, due := range first {
				if !due.After(now) {
					p.FirstEvent(due, id)
					p.Ended(due, id, Served)
					delete(first, id)
				}
			}
			for _, d := range append(p.Tick(now), p.Submit(now, request(strconv.Itoa(ms), "acc", "s", 3000))) {
				if d.Verdict != Granted {
					continue
				}
				n++
				if free.Before(now) {
					free = now
				}
				free = free.Add(time.Duration(float64(d.UncachedTokens) / speed * 1e9))
				first[d.ID] = free.Add(40 * time.Millisecond)
			}
		}
		return n
	}
	busy, resting := granted(0), granted(100)
	require.Less(t, resting, busy*2/3)
	require.Greater(t, resting, busy/3)
}

// Guards against pauses that count for the wrong engine or without a target.
func TestPausesCountForTheEngineThatServed(t *testing.T) {
	p := placer("a", "b")
	r := request("1", "acc", "s", 1000)
	r.MaxGap = 300 * time.Millisecond
	d := p.Submit(at(0), r)
	require.Equal(t, Granted, d.Verdict)
	p.ObserveGap(d.ID, 400*time.Millisecond)
	p.ObserveGap("unknown", time.Minute)
	for id, e := range p.engines {
		require.Equal(t, id != d.Engine, e.duty.Ratio() >= 1, id)
	}
	p.Ended(at(100), d.ID, Served)
	p.ObserveGap(d.ID, time.Minute)
	require.Greater(t, p.engines[d.Engine].duty.Ratio(), 0.9)
}
