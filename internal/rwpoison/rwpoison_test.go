package rwpoison

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcrash"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crashUnder is a crash under a prompt.
func crashUnder(upstream, prompt string, parts ...string) rwcrash.Crash {
	return rwcrash.Crash{Service: "s", Upstream: upstream, StartMillis: 1, Prompt: prompt, Parts: parts}
}

// crashOf is a crash under a prompt of its own.
func crashOf(upstream string, parts ...string) rwcrash.Crash {
	return crashUnder(upstream, upstream+parts[len(parts)-1], parts...)
}

// harmful returns what has become harmful after some crashes.
func harmful(d *Detector, now time.Time) []string { return d.Tick(now)["s"] }

// Guards against blaming parts that were only there when engines crashed, and against
// missing the one that all of them have.
func TestPartThatExplainsCrashesIsHarmful(t *testing.T) {
	d := New()
	d.AddResponse(at(0), "s", []string{"first"})
	for i := range 3 {
		up := "e" + strconv.Itoa(i)
		d.AddCrash(at(100*i), crashOf(up, "first", "rare"+strconv.Itoa(i)))
		require.False(t, d.Suspected(at(100*i), "s", []string{"bad"}) && i < 2)
		d.AddCrash(at(100*i+5), crashOf(up, "first", "bad"))
	}
	require.Empty(t, harmful(d, at(210)), "before other routers could tell of responses")
	require.True(t, d.Suspected(at(210), "s", []string{"first", "bad"}))
	require.Equal(t, []string{"bad"}, harmful(d, at(900)))
	id, left, ok := d.Harmful(at(1000), "s", []string{"first", "bad"})
	require.True(t, ok)
	require.Equal(t, "bad", id)
	require.Positive(t, left)
	_, _, ok = d.Harmful(at(1000), "s", []string{"first", "rare0"})
	require.False(t, ok)
	_, _, ok = d.Harmful(at(1000), "other", []string{"bad"})
	require.False(t, ok, "another service")
}

// Guards against blaming a part of several requests because the one that crashed the
// engines was sent again, and so was counted once.
func TestRepeatedRequestHidesNothing(t *testing.T) {
	d := New()
	d.AddResponse(at(0), "s", []string{"first"})
	for i := range 3 {
		up := strconv.Itoa(i)
		d.AddCrash(at(i), crashUnder(up, "repeated", "q", "bad"))
		d.AddCrash(at(i), crashUnder(up, "other"+up, "q"))
	}
	require.Empty(t, harmful(d, at(1000)))
	d.AddCrash(at(1000), crashUnder("3", "second", "bad"))
	d.AddCrash(at(1001), crashUnder("4", "third", "bad"))
	require.Equal(t, []string{"bad"}, harmful(d, at(2000)))
}

// Guards against a sound part that was found first and hides the one that crashes
// engines, since it was in the same requests.
func TestSoundPartHidesNoHarmfulOne(t *testing.T) {
	d := New()
	d.AddResponse(at(0), "s", []string{"first"})
	for i := range 3 {
		d.AddCrash(at(i), crashOf(strconv.Itoa(i), "q", "bad"))
	}
	require.True(t, d.SetHarmful(at(10), "s", "q", time.Minute, false))
	require.Empty(t, harmful(d, at(1000)))
	d.AddCrash(at(1000), crashOf("3", "bad"))
	require.Equal(t, []string{"bad"}, harmful(d, at(2000)))
}

// Guards against missing two parts that crash engines at the same time.
func TestTwoHarmfulParts(t *testing.T) {
	d := New()
	d.AddResponse(at(0), "s", []string{"first"})
	found := map[string]bool{}
	for i := range 14 {
		d.AddCrash(at(100*i), crashOf(strconv.Itoa(i), "first", "bad"+strconv.Itoa(i%2)))
	}
	for ms := range 20 {
		for _, id := range harmful(d, at(2000+50*ms)) {
			found[id] = true
		}
		d.AddCrash(at(2000+50*ms), crashOf("more"+strconv.Itoa(ms), "rare"+strconv.Itoa(ms)))
	}
	require.Equal(t, map[string]bool{"bad0": true, "bad1": true}, found)
}

// Guards against a part that is never found because requests with it are rare.
func TestRareRequestsAreFound(t *testing.T) {
	d := New()
	for i := range 3 {
		ms := 40_000 * i
		d.AddResponse(at(ms), "s", []string{"first"})
		d.AddCrash(at(ms), crashOf(strconv.Itoa(i), "first", "bad"))
		require.Equal(t, i == 2, len(harmful(d, at(ms+1000))) > 0, i)
	}
}

// Guards against refusing requests because engines end for another reason.
func TestCrashesForOtherReasonsBlameNobody(t *testing.T) {
	for name, run := range map[string]func(d *Detector){
		"no part in common": func(d *Detector) {
			for i := range 9 {
				d.AddCrash(at(10*i), crashOf(strconv.Itoa(i), "first", "x"+strconv.Itoa(i), "y"+strconv.Itoa(i)))
			}
		},
		"one engine, seen by many": func(d *Detector) {
			for i := range 9 {
				d.AddCrash(at(10*i), crashOf("e", "x"))
			}
		},
		"the engines respond again": func(d *Detector) {
			for i := range 3 {
				d.AddCrash(at(0), crashOf(strconv.Itoa(i), "x"))
				require.True(t, d.AddAlive("s", strconv.Itoa(i), 1, at(10)))
			}
		},
		"in too few of them": func(d *Detector) {
			for i := range 10 {
				parts := []string{"z" + strconv.Itoa(i)}
				if i%4 == 0 {
					parts = append(parts, "x")
				}
				d.AddCrash(at(10*i), crashOf(strconv.Itoa(i), parts...))
			}
		},
	} {
		d := New()
		d.AddResponse(at(0), "s", []string{"first"})
		run(d)
		require.Empty(t, harmful(d, at(2000)), name)
	}
}

// Guards against refusing all requests of a service that has written no response yet,
// where nothing shows which parts are sound.
func TestNothingIsHarmfulBeforeTheFirstResponse(t *testing.T) {
	d := New()
	for i := range 5 {
		d.AddCrash(at(10*i), crashOf(strconv.Itoa(i), "first"))
	}
	require.Empty(t, harmful(d, at(2000)))
}

// Guards against refusing a part for ever, although a response on it or a later
// release of the engines shows that it is harmless, and against many further crashes
// if it isn't.
func TestHarmfulPartIsFreed(t *testing.T) {
	d := New()
	convict := func(from int, n int) {
		d.AddResponse(at(from), "s", []string{"first"})
		for i := range n {
			d.AddCrash(at(from+i), crashOf(fmt.Sprint(from, i), "bad"))
		}
		require.Equal(t, []string{"bad"}, harmful(d, at(from+1000)))
	}
	convict(0, 3)
	require.Equal(t, []string{"bad"}, d.AddResponse(at(1500), "s", []string{"first", "bad"}))
	_, _, ok := d.Harmful(at(1500), "s", []string{"bad"})
	require.False(t, ok)

	convict(60_000, 3)
	later := 60_000 + int((harmfulTime + 2*time.Second).Milliseconds())
	_, _, ok = d.Harmful(at(later), "s", []string{"bad"})
	require.False(t, ok)
	convict(later, 1)
}

// Guards against a sound part that stays refused because nothing can show any more
// that it is, and against trials that crash engine after engine.
func TestHarmfulPartIsTriedOnce(t *testing.T) {
	d := New()
	d.AddResponse(at(0), "s", []string{"first"})
	for i := range 3 {
		d.AddCrash(at(i), crashOf(strconv.Itoa(i), "first", "x"))
	}
	require.Equal(t, []string{"x"}, harmful(d, at(1000)))
	ids := []string{"first", "x"}
	require.False(t, d.Try(at(2000), "s", ids), "too soon")
	require.True(t, d.Try(at(6100), "s", ids))
	require.False(t, d.Try(at(6200), "s", ids), "one at a time")
	require.True(t, d.Try(at(17_000), "s", ids), "nothing was seen of the first")
	c := crashOf("9", "first", "x")
	c.Trial = true
	d.AddCrash(at(17_100), c)
	require.False(t, d.Try(at(60_000), "s", ids), "a trial has confirmed it")
	d.SetHarmful(at(60_000), "s", "y", time.Minute, false)
	require.False(t, d.Try(at(70_000), "s", []string{"x", "y"}), "two harmful parts")
}

// Guards against a crash that is forgotten because its engine had responded between it
// and an earlier connection that broke.
func TestProofOfLifeIsOlderThanTheCrash(t *testing.T) {
	d := New()
	d.AddResponse(at(0), "s", []string{"first"})
	for i := range 3 {
		up := strconv.Itoa(i)
		d.AddCrash(at(0), crashOf(up, "x"+up))
		d.AddCrash(at(100), crashOf(up, "bad"))
		require.False(t, d.AddAlive("s", up, 1, at(50)))
		require.True(t, i > 0 || d.AddAlive("s", up, 1, at(150)))
	}
	require.Empty(t, harmful(d, at(1000)), "one of the engines responds again")
	d.AddCrash(at(1000), crashOf("3", "bad"))
	require.Equal(t, []string{"bad"}, harmful(d, at(2000)))
}

// Guards against a router that refuses what another one serves.
func TestHarmfulPartOfAnotherRouter(t *testing.T) {
	d := New()
	require.True(t, d.SetHarmful(at(0), "s", "bad", time.Minute, true))
	_, left, ok := d.Harmful(at(1000), "s", []string{"bad"})
	require.True(t, ok)
	require.Equal(t, 59*time.Second, left)
	d.List(at(1000), func(service, id string, left time.Duration, confirmed bool) {
		require.Equal(t, []any{"s", "bad", 59 * time.Second, true}, []any{service, id, left, confirmed})
	})
	require.False(t, d.Try(at(30_000), "s", []string{"bad"}), "a trial has confirmed it")
	d.AddResponse(at(1000), "s", []string{"first"})
	require.False(t, d.SetHarmful(at(1000), "s", "first", time.Minute, false), "a response was written on it here")
}

// Guards against callers that exhaust a router's memory with ids.
func TestMemoryIsBounded(t *testing.T) {
	d := New()
	long := strings.Repeat("x", 10_000)
	for i := range 30_000 {
		id := long + strconv.Itoa(i)
		d.AddResponse(at(i), "s", []string{id})
		d.AddCrash(at(i), crashOf(strconv.Itoa(i), id+"a", id+"b"))
		d.AddCrash(at(i), crashOf("e", id+"c"))
		d.SetHarmful(at(i), "s", id+"d", time.Minute, false)
	}
	require.LessOrEqual(t, len(d.recent)+len(d.older), 2*maxSound)
	require.LessOrEqual(t, len(d.crashes["s"]), maxCrashes)
	require.LessOrEqual(t, len(d.harmful), maxHarmful)
	for _, c := range d.crashes["s"] {
		require.LessOrEqual(t, len(c.parts), maxParts)
		for id := range c.parts {
			require.LessOrEqual(t, len(id), maxIDBytes)
		}
	}
}

// storm is a time in which requests with a part crash engines.
type storm struct {
	// shared is the number of parts that sound requests share, of which those with
	// lower numbers are more popular. calm is the time before the storm, and
	// bystanders the number of sound requests whose responses end with an engine.
	shared, bystanders int
	calm               time.Duration
	// responses is the fraction of sound requests that get a response, and attempts
	// the number of engines to which a request with the part is sent.
	responses float64
	attempts  int
}

// result is what a storm came to.
type result struct {
	// found is when the part was found after the storm began.
	found time.Duration
	// late is the number of requests with the part that were sent to an engine later
	// than knownTime after crash crashLimit.
	late int
	// served and refused are numbers of sound requests.
	served, refused int
}

// Later than knownTime after crash crashLimit, crashBudget requests with the part may
// be sent to engines.
const (
	crashLimit, crashBudget = 5, 3
	knownTime               = 3 * time.Second
)

func (s storm) run(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	d := New()
	var out result
	shared := func() string { return "q" + strconv.Itoa(int(float64(s.shared)*random.Float64()*random.Float64())) }
	crashes, prompts := 0, 0
	prompt := func() string {
		prompts++
		return strconv.Itoa(prompts)
	}
	crash := func(ms int, q, id string) {
		up := strconv.Itoa(crashes)
		crashes++
		for range s.bystanders {
			ids := []string{"first", shared()}
			if _, _, refused := d.Harmful(at(ms), "s", ids); !refused {
				d.AddCrash(at(ms), crashUnder(up, prompt(), ids...))
			}
		}
		// The request itself isn't always seen.
		if random.IntN(10) > 0 {
			d.AddCrash(at(ms), crashUnder(up, id, "first", q, "bad"))
		}
	}
	calm, known := int(s.calm.Milliseconds()), 0
	for ms := 0; ms < calm+25_000; ms += 10 {
		if random.IntN(2) == 0 {
			ids := []string{"first", shared()}
			if _, _, ok := d.Harmful(at(ms), "s", ids); ok && !d.Try(at(ms), "s", ids) {
				out.refused++
			} else {
				out.served++
				if random.Float64() < s.responses {
					d.AddResponse(at(ms), "s", ids)
				}
			}
		}
		if ms >= calm && random.IntN(20) == 0 {
			q, id := shared(), prompt()
			ids := []string{"first", q, "bad"}
			for i := range s.attempts {
				_, _, refused := d.Harmful(at(ms), "s", ids)
				trial := refused && i == 0 && d.Try(at(ms), "s", ids)
				if refused && !trial || i > 0 && d.Suspected(at(ms), "s", ids) {
					break
				}
				if known > 0 && ms > known {
					out.late++
				}
				crash(ms+5*i, q, id)
				if crashes == crashLimit {
					known = ms + int(knownTime.Milliseconds())
				}
				if trial {
					d.AddCrash(at(ms), rwcrash.Crash{Service: "s", Upstream: strconv.Itoa(crashes - 1), StartMillis: 1, Prompt: id, Parts: ids, Trial: true})
				}
			}
		}
		for _, id := range harmful(d, at(ms)) {
			if id == "bad" && out.found == 0 {
				out.found = time.Duration(ms-calm) * time.Millisecond
			}
		}
	}
	return out
}

// Guards, over many storms, against a part that is found late and against sound parts
// that are refused: each crash takes others with it, of which the popular parts get
// responses and the rare ones seldom do. Each request with the part shares another
// part with sound ones and is sent again. Sound parts of a soak were refused
// where few were shared and no response had been written before, and hid the one that
// crashed engines.
func TestStorms(t *testing.T) {
	const storms = 300
	for name, s := range map[string]storm{
		"many parts":                    {shared: 300, bystanders: 25, calm: 40 * time.Second, responses: 1, attempts: 2},
		"many parts, at the start":      {shared: 300, bystanders: 9, responses: 1, attempts: 2},
		"few parts":                     {shared: 5, bystanders: 2, calm: 40 * time.Second, responses: 1, attempts: 2},
		"few parts, at the start":       {shared: 5, bystanders: 2, responses: 1, attempts: 2},
		"many parts with few responses": {shared: 100, bystanders: 25, responses: 0.2, attempts: 3},
		"few parts with few responses":  {shared: 5, bystanders: 2, responses: 0.1, attempts: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slowest, late, served, refused := time.Duration(0), 0, 0, 0
			for seed := range uint64(storms) {
				r := s.run(seed)
				assert.NotZero(t, r.found, "the part wasn't found with seed %d", seed)
				slowest, late = max(slowest, r.found), max(late, r.late)
				served, refused = served+r.served, refused+r.refused
			}
			t.Logf("found after %s at most, %d late at most, %d of %d sound requests refused", slowest, late, refused, served+refused)
			assert.Less(t, slowest, 5*time.Second)
			assert.LessOrEqual(t, late, crashBudget)
			if s.responses == 1 {
				assert.Less(t, refused, served/1000)
			} else {
				assert.Less(t, refused, served)
			}
		})
	}
}
