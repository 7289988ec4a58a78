package rwplacement

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwprompt"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func spec() Spec {
	return Spec{Slots: 128, KVCapacity: 1_000_000, TokenBytes: 18_432, LinkBytesPerSecond: 46e9, Window: 2 * time.Second}
}

func placer(engines ...string) *Placer {
	p := New(spec())
	var list []Engine
	for _, id := range engines {
		list = append(list, Engine{ID: id})
	}
	p.SetEngines(list)
	return p
}

// request returns a request with one shared prompt part.
func request(id, account, shared string, own int) Request {
	return Request{
		ID: id, Account: account, UniqueTokens: own, ExpectedOutput: 100, Zone: "z", Target: 400 * time.Millisecond,
		Parts: []rwprompt.Part{{ID: shared, Tokens: 13_000}, {ID: "own-" + id, Tokens: own}},
	}
}

// Guards against prefilling shared parts on every engine: together, the caches
// have room for one copy only.
func TestSharedPartsStayAtOneEngine(t *testing.T) {
	p := placer("a", "b", "c")
	for i := range 30 {
		now := at(400 * i)
		shared := "s" + strconv.Itoa(i%6)
		d := p.Submit(now, request(strconv.Itoa(i), "acc", shared, 1000))
		require.Equal(t, Granted, d.Verdict)
		if i >= 6 {
			require.Equal(t, 13_000, d.CachedTokens, "request %d", i)
			require.Empty(t, d.Source)
		}
		p.FirstEvent(now.Add(100*time.Millisecond), d.ID)
		p.Ended(now.Add(300*time.Millisecond), d.ID, Served)
	}
}

// Guards against a new cell owner that spreads parts which the previous owner
// had placed.
func TestNewPlacerFindsTheHome(t *testing.T) {
	for i := range 20 {
		shared := "s" + strconv.Itoa(i)
		one := placer("a", "b", "c", "d").Submit(at(0), request("1", "acc", shared, 1000))
		two := placer("d", "c", "b", "a").Submit(at(0), request("2", "acc", shared, 1000))
		require.Equal(t, one.Engine, two.Engine)
	}
}

// Guards against long queues inside an engine: requests in them miss their
// target and can't be reordered.
func TestEngineQueueIsBounded(t *testing.T) {
	p := placer("a")
	granted := 0
	for i := range 100 {
		if p.Submit(at(0), request(strconv.Itoa(i), "acc", "s", 3000)).Verdict == Granted {
			granted++
		}
	}
	wait := p.engines["a"].model.Backlog(at(0))
	require.Positive(t, granted)
	require.Less(t, wait, scale(400*time.Millisecond, forecastTargetRatio))
	require.Equal(t, maxQueuedPerAccount, p.QueueLength())
}

// Guards against queueing requests that can no longer be on time.
func TestRequestsThatMustBeLateAreRefusedAtOnce(t *testing.T) {
	p := placer("a")
	for i := range 100 {
		p.Submit(at(0), request(strconv.Itoa(i), "acc", "s", 3000))
	}
	out := map[Verdict]int{}
	for ms := 5; ms <= 400; ms += 5 {
		for _, d := range p.Tick(at(ms)) {
			out[d.Verdict]++
			require.LessOrEqual(t, d.RetryAfter, maxRetryAfter)
		}
	}
	require.Zero(t, p.QueueLength())
	require.Positive(t, out[Late])
	require.Positive(t, out[Granted])
}

// Guards against caches that fill with copies under load: a request must not go
// to the second best engine just because the best one is busy.
func TestBusyEngineDoesNotSpreadCopies(t *testing.T) {
	p := placer("a", "b")
	d := p.Submit(at(0), request("0", "acc", "s", 1000))
	preferred := d.Engine
	p.FirstEvent(at(100), "0")
	copies := 0
	for i := 1; i < 40; i++ {
		d := p.Submit(at(200), request(strconv.Itoa(i), "acc", "s", 700))
		if d.Verdict == Granted && d.Engine != preferred {
			copies++
		}
	}
	require.LessOrEqual(t, copies, 40/4)
}

// Guards against prefilling parts that could be copied from another engine,
// even from one that is leaving.
func TestPartsAreCopiedFromALeavingEngine(t *testing.T) {
	p := placer("a", "b")
	d := p.Submit(at(0), request("0", "acc", "s", 1000))
	preferred, other := d.Engine, "a"
	if preferred == "a" {
		other = "b"
	}
	p.FirstEvent(at(100), "0")
	p.SetEngines([]Engine{{ID: preferred, Leaving: true}, {ID: other}})
	d = p.Submit(at(200), request("1", "acc", "s", 1000))
	require.Equal(t, Granted, d.Verdict)
	require.Equal(t, other, d.Engine)
	require.Equal(t, preferred, d.Source)
	require.Equal(t, 1000, d.UncachedTokens)
}

// warmUp is the time in which the engines prefill the shared parts for the
// first time; replay doesn't count it.
const warmUp = 3 * time.Second

// replay runs a pool under load with engines that prefill 100,000 tokens per
// second, and returns the tokens and requests that each account was served or
// refused.
func replay(t *testing.T, seconds int, rates map[string]int, own func(*rand.Rand) int) (tokens map[string]float64, served, refused map[string]int) {
	t.Helper()
	const speed = 100_000.0
	rng := rand.New(rand.NewPCG(1, 2))
	p := placer("a", "b", "c")
	tokens, served, refused = map[string]float64{}, map[string]int{}, map[string]int{}
	free := map[string]time.Time{}
	type event struct {
		at    time.Time
		id    string
		first bool
	}
	var events []event
	undecided := map[string]Request{}
	record := func(now time.Time, d Decision) {
		r := undecided[d.ID]
		switch d.Verdict {
		case Queued:
			return
		case Granted:
			if free[d.Engine].Before(now) {
				free[d.Engine] = now
			}
			free[d.Engine] = free[d.Engine].Add(time.Duration(float64(d.UncachedTokens) / speed * 1e9))
			first := free[d.Engine].Add(60 * time.Millisecond)
			events = append(events, event{first, d.ID, true}, event{first.Add(time.Second), d.ID, false})
			if now.Sub(start) > warmUp {
				tokens[r.Account] += chargedTokens(r)
				served[r.Account]++
			}
		default:
			if now.Sub(start) > warmUp {
				refused[r.Account]++
			}
		}
		delete(undecided, d.ID)
	}
	n := 0
	for ms := 0; ms < seconds*1000; ms += 5 {
		now := at(ms)
		later := events[:0]
		for _, e := range events {
			switch {
			case e.at.After(now):
				later = append(later, e)
			case e.first:
				p.FirstEvent(e.at, e.id)
			default:
				p.Ended(e.at, e.id, Served)
			}
		}
		events = later
		for _, name := range []string{"big", "mid", "low", "tiny"} {
			if rng.Float64() < float64(rates[name])*0.005 {
				n++
				r := request(fmt.Sprint(name, n), name, "s"+strconv.Itoa(rng.IntN(60)), own(rng))
				r.Urgency = urgency[name]
				undecided[r.ID] = r
				record(now, p.Submit(now, r))
			}
		}
		for _, d := range p.Tick(now) {
			record(now, d)
		}
	}
	return tokens, served, refused
}

// urgency makes the account with the highest demand the most urgent one.
var urgency = map[string]int{"big": 0, "mid": 1, "low": 1, "tiny": 2}

func fixed(n int) func(*rand.Rand) int { return func(*rand.Rand) int { return n } }

// Guards against an account that gets more than its share by demanding many
// times as much, also if it is more urgent than the others.
func TestHotAccountDoesNotTakeFromOthers(t *testing.T) {
	got, served, refused := replay(t, 12, map[string]int{"big": 150, "mid": 40, "low": 30, "tiny": 5}, fixed(4000))
	require.GreaterOrEqual(t, float64(served["tiny"]), 0.85*float64(served["tiny"]+refused["tiny"]))
	require.GreaterOrEqual(t, got["low"], 0.5*min(got["big"], float64(9*30*17_200)))
	require.GreaterOrEqual(t, got["mid"], 0.5*got["big"])
}

// Guards against enforcing shares while the engines have room.
func TestNobodyIsHeldToAShareWithoutLoad(t *testing.T) {
	_, served, refused := replay(t, 8, map[string]int{"big": 40, "tiny": 2}, fixed(2000))
	require.GreaterOrEqual(t, float64(served["big"]), 0.97*float64(served["big"]+refused["big"]))
}

// Guards against engines that idle while requests are refused: the served
// requests must use most of the prefill capacity.
func TestEnginesStayBusyUnderLoad(t *testing.T) {
	const own = 4000
	_, served, _ := replay(t, 12, map[string]int{"big": 60, "mid": 60, "low": 60, "tiny": 60}, fixed(own))
	total := 0
	for _, n := range served {
		total += n
	}
	require.GreaterOrEqual(t, float64(total*own), 0.75*9*3*100_000)
}

// Guards against large prompts that are never served because smaller ones
// always go first.
func TestLargePromptsAreNotStarved(t *testing.T) {
	large, largeServed := 0, 0
	sizes := func(rng *rand.Rand) int {
		if rng.IntN(10) == 0 {
			return 12_000
		}
		return 2000
	}
	p := placer("a")
	rng := rand.New(rand.NewPCG(3, 4))
	var open []Decision
	var due []time.Time
	free := at(0)
	isLarge := map[string]bool{}
	for ms := 0; ms < 20_000; ms += 5 {
		now := at(ms)
		for len(due) > 0 && !due[0].After(now) {
			p.FirstEvent(due[0], open[0].ID)
			p.Ended(due[0], open[0].ID, Served)
			open, due = open[1:], due[1:]
		}
		var ds []Decision
		if rng.IntN(5) == 0 {
			r := request(strconv.Itoa(ms), "acc"+strconv.Itoa(rng.IntN(4)), "s", sizes(rng))
			isLarge[r.ID] = r.UniqueTokens == 12_000
			if isLarge[r.ID] {
				large++
			}
			ds = append(ds, p.Submit(now, r))
		}
		for _, d := range append(ds, p.Tick(now)...) {
			if d.Verdict != Granted {
				continue
			}
			if isLarge[d.ID] {
				largeServed++
			}
			if free.Before(now) {
				free = now
			}
			free = free.Add(time.Duration(float64(d.UncachedTokens) / 120_000 * 1e9))
			open, due = append(open, d), append(due, free.Add(40*time.Millisecond))
		}
	}
	require.GreaterOrEqual(t, float64(largeServed), 0.5*float64(large))
}

// Guards against sending more requests to an engine that fails or can't be
// reached, and against never trying it again.
func TestFailingEnginesAreAvoidedAndTriedAgain(t *testing.T) {
	p := placer("a", "b")
	preferred := p.Submit(at(0), request("0", "acc", "s", 1000)).Engine
	p.Ended(at(50), "0", Unreachable)
	d := p.Submit(at(60), request("1", "acc", "s", 1000))
	require.NotEqual(t, preferred, d.Engine)
	p.FirstEvent(at(100), "1")
	p.Ended(at(200), "1", Served)
	other := request("2", "acc", "s", 1000)
	other.Zone = "y"
	require.True(t, p.eligible(at(210), p.engines[preferred], other), "another zone may still reach it")
	require.True(t, p.eligible(at(60+int(maxUnreachableBackoff.Milliseconds())), p.engines[preferred], request("3", "acc", "s", 1)))

	for i := range 8 {
		id := "f" + strconv.Itoa(i)
		now := at(10_000 + 10*i)
		d := p.Submit(now, request(id, "acc", "t", 100))
		if d.Engine == "a" {
			p.Ended(now, id, Failed)
		} else {
			p.FirstEvent(now, id)
			p.Ended(now, id, Served)
		}
	}
	require.Equal(t, "b", p.Submit(at(10_100), request("x", "acc", "t", 100)).Engine)
}

// Guards against refusing a caller's retry because its target has passed: the
// refusal set the retry delay.
func TestReturningCallersStartAnew(t *testing.T) {
	p := placer("a")
	late := request("1", "acc", "s", 1000)
	late.Elapsed = 390 * time.Millisecond
	require.Equal(t, Late, p.Submit(at(0), late).Verdict)
	retry := request("2", "acc", "s", 1000)
	retry.Parts[1].ID = late.Parts[1].ID
	retry.Elapsed = 390 * time.Millisecond
	require.Equal(t, Granted, p.Submit(at(500), retry).Verdict)
}

// Guards against grants that hold slots for good because their reports were
// lost.
func TestLostReportsExpire(t *testing.T) {
	p := placer("a")
	p.Submit(at(0), request("1", "acc", "s", 1000))
	require.Equal(t, 1, p.engines["a"].running)
	p.Tick(start.Add(grantTimeout + time.Second))
	require.Zero(t, p.engines["a"].running)
}

// Guards against granting more requests than an engine has slots.
func TestSlotsBoundRunningRequests(t *testing.T) {
	s := spec()
	s.Slots = 3
	p := New(s)
	p.SetEngines([]Engine{{ID: "a"}})
	for i := range 5 {
		id := strconv.Itoa(i)
		d := p.Submit(at(100*i), request(id, "acc", "s", 10))
		if i < 3 {
			require.Equal(t, Granted, d.Verdict)
			p.FirstEvent(at(100*i+50), id)
		} else {
			require.Equal(t, Queued, d.Verdict)
		}
	}
	p.Ended(at(450), "0", Served)
	out := p.Tick(at(455))
	require.Len(t, out, 1)
	require.Equal(t, Granted, out[0].Verdict)
}

// Guards against queueing a request while no engine is known.
func TestNoEngine(t *testing.T) {
	require.Equal(t, NoEngine, placer().Submit(at(0), request("1", "acc", "s", 10)).Verdict)
}

// Guards against a flood that keeps the owner busy sorting queued requests
// while the engines idle.
func TestFloodOfOneAccountIsBounded(t *testing.T) {
	p := placer("a")
	out := map[Verdict]int{}
	for i := range 500 {
		out[p.Submit(at(0), request(strconv.Itoa(i), "flood", "s", 3000)).Verdict]++
	}
	require.Equal(t, maxQueuedPerAccount, p.QueueLength())
	require.Positive(t, out[QueueFull])
	require.Equal(t, Queued, p.Submit(at(0), request("other", "acc", "s", 3000)).Verdict)
}

// BenchmarkTick measures one tick with queued requests of 30 accounts and 16
// engines.
func BenchmarkTick(b *testing.B) {
	var ids []string
	for i := range 16 {
		ids = append(ids, "e"+strconv.Itoa(i))
	}
	p := placer(ids...)
	n := 0
	for b.Loop() {
		b.StopTimer()
		for acc := range 30 {
			for range 4 {
				n++
				p.Submit(at(n), request(strconv.Itoa(n), "acc"+strconv.Itoa(acc), "s"+strconv.Itoa(n%200), 3000))
			}
		}
		b.StartTimer()
		p.Tick(at(n))
	}
}

// Guards against a new placer that has parts prefilled again although an engine
// other than the preferred one caches them.
func TestLearnedPartsAreFound(t *testing.T) {
	preferred := placer("a", "b").Submit(at(0), request("0", "acc", "s", 1000)).Engine
	other := "a"
	if preferred == "a" {
		other = "b"
	}
	p := placer("a", "b")
	p.AddCached(other, []rwprompt.Part{{ID: "s", Tokens: 13_000}})
	p.AddCached("gone", []rwprompt.Part{{ID: "s", Tokens: 13_000}})
	d := p.Submit(at(0), request("1", "acc", "s", 1000))
	require.Equal(t, other, d.Engine)
	require.Equal(t, 13_000, d.CachedTokens)
}

// Guards against engines that stay idle after routers were killed. With 11 of
// 81 routers killed, the unreported first events of their requests kept the
// placer from using more than half of the engines for four seconds.
func TestKilledRoutersDontBlockEngines(t *testing.T) {
	p := placer("a", "b", "c", "d")
	now := at(0)
	granted := 0
	type running struct {
		id    string
		first time.Time
	}
	var active []running
	for i := range 2000 {
		now = now.Add(2 * time.Millisecond)
		r := request(strconv.Itoa(i), "acc", "s"+strconv.Itoa(i%8), 1000)
		r.Router = "r" + strconv.Itoa(i%8)
		killed := i >= 500 && r.Router == "r0"
		for len(active) > 0 && !active[0].first.After(now) {
			p.FirstEvent(now, active[0].id)
			p.Ended(now, active[0].id, Served)
			active = active[1:]
		}
		if killed && i >= 520 {
			continue
		}
		for _, d := range append(p.Tick(now), p.Submit(now, r)) {
			if d.Verdict != Granted {
				continue
			}
			if !killed {
				active = append(active, running{d.ID, now.Add(d.Forecast)})
			}
			if i >= 700 && i < 1700 {
				granted++
			}
		}
	}
	require.Greater(t, granted, 700, "of 875 requests in the two seconds after the kill")
}

// Guards against slots and KV cache that stay reserved for half a minute by
// requests of a router that has failed, and against freeing those of its next
// incarnation.
func TestGoneRouterLeavesItsSlots(t *testing.T) {
	p := placer("a")
	for i, from := range []string{"r1.5", "r1.5", "r1.6"} {
		r := Request{ID: strconv.Itoa(i), Router: from, Account: "acc", UniqueTokens: 10, ExpectedOutput: 100, Zone: "z", Target: 400 * time.Millisecond}
		require.Equal(t, Granted, p.Submit(at(i), r).Verdict)
	}
	p.FirstEvent(at(100), "0")
	p.RemoveRouter(at(1000), "r1.5")
	require.Equal(t, 1, p.engines["a"].running)
	require.Len(t, p.grants, 1)
	require.InDelta(t, 110, p.engines["a"].reservedTokens, 0)
	require.Zero(t, p.engines["a"].failures.At(at(1000)), "the engine did not fail")
	require.Zero(t, p.QueueLength())
}

// Guards against a stream that goes on at an engine of another version, against
// one that is refused although an engine of its version is free, and against one
// that waits although its version has left.
func TestResumptionStaysAtItsSoftware(t *testing.T) {
	p := New(spec())
	p.SetEngines([]Engine{{ID: "a", Software: "v1"}, {ID: "b", Software: "v2"}, {ID: "c", Software: "v2"}})
	resumed := func(id, software string) Request {
		r := request(id, "acc", "s"+id, 1000)
		r.Software, r.Resumed, r.Stream = software, true, id
		return r
	}
	for i := range 6 {
		id := strconv.Itoa(i)
		d := p.Submit(at(400*i), resumed(id, "v1"))
		require.Equal(t, Granted, d.Verdict)
		require.Equal(t, "a", d.Engine)
		require.Equal(t, "v1", d.Software)
		require.Equal(t, id, d.Stream)
		require.Equal(t, []string{id}, p.Streams())
		p.FirstEvent(at(400*i+100), id)
		p.Ended(at(400*i+200), id, Served)
	}
	// A busy engine of its version makes a resumption wait, not move.
	for p.Submit(at(3000), resumed("busy", "v1")).Verdict == Granted {
		continue
	}
	d := p.Submit(at(3000), request("new", "acc", "new", 1000))
	require.Equal(t, Queued, d.Verdict, "there is a queue")
	engines := map[string]string{}
	for ms := 3005; ms < 3400; ms += 5 {
		for _, d := range p.Tick(at(ms)) {
			engines[d.ID] = d.Engine
			p.FirstEvent(at(ms), d.ID)
			p.Ended(at(ms), d.ID, Served)
		}
	}
	require.Equal(t, "a", engines["busy"])
	require.Contains(t, []string{"b", "c"}, engines["new"])

	p.SetEngines([]Engine{{ID: "a", Software: "v1", Leaving: true}, {ID: "b", Software: "v2"}})
	d = p.Submit(at(4000), resumed("late", "v1"))
	require.Equal(t, NoEngine, d.Verdict)
	require.Positive(t, d.RetryAfter)
	require.Equal(t, Granted, p.Submit(at(4000), resumed("other", "v2")).Verdict)
}
