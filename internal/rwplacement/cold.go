package rwplacement

import (
	"time"

	"redwingworks.example/internal/rwrendezvous"
)

// Cold says which engines are cold and bounds what they get. All functions are set,
// or none if cold engines get as much as warm ones.
type Cold struct {
	// Is reports whether an engine is cold.
	Is func(now time.Time, engine string) bool
	// Room reports whether an engine may get another request of an account, which a
	// warm one always may.
	Room func(now time.Time, engine, account string) bool
	// Take counts a request that an engine gets, cold or not.
	Take func(now time.Time, engine, account string)
	// Failed and Answered are called for signs that an engine doesn't answer, or
	// does.
	Failed, Answered func(now time.Time, engine string)
	// Count counts what is done with requests because of cold engines.
	Count func(counter string)
}

// The counters of requests.
const (
	coldGrants  = "cold_grants"
	coldMoved   = "cold_moved"
	coldRefused = "cold_refused"
)

func (p *Placer) isCold(now time.Time, e *engine) bool {
	return p.Cold.Is != nil && p.Cold.Is(now, e.ID)
}

// coldRoom reports whether the engine may get the request as far as it is cold.
func (p *Placer) coldRoom(now time.Time, e *engine, r Request) bool {
	return p.Cold.Room == nil || p.Cold.Room(now, e.ID, r.Account)
}

// coldCost is the additional cost of a cold engine: what the request has it prefill
// counts twice. The few requests that it gets are then those with short prompts or
// with parts that it has cached, and of long ones only those that no warm engine can
// take.
func (p *Placer) coldCost(now time.Time, e *engine, uncachedTokens float64) time.Duration {
	if !p.isCold(now, e) {
		return 0
	}
	return e.model.PrefillTime(uncachedTokens)
}

// allCold reports whether all engines that could run the request are cold and none
// may get it. Waiting for them helps few requests: a cold engine gets only some in a
// second.
func (p *Placer) allCold(now time.Time, r Request) bool {
	if p.Cold.Is == nil {
		return false
	}
	suitable := false
	for _, id := range p.availableIDs {
		if e := p.engines[id]; e.suits(r) {
			if !p.isCold(now, e) || p.coldRoom(now, e, r) {
				return false
			}
			suitable = true
		}
	}
	if suitable {
		p.Cold.Count(coldRefused)
	}
	return suitable
}

// withCold counts a grant for the bounds of cold engines and marks it if its engine
// is cold.
func (p *Placer) withCold(now time.Time, r Request, d Decision) Decision {
	if p.Cold.Is == nil {
		return d
	}
	e := p.engines[d.Engine]
	d.Cold = p.isCold(now, e)
	if d.Cold {
		p.Cold.Count(coldGrants)
	} else if top := p.engines[rwrendezvous.Top(r.AffinityKey(), p.availableIDs)]; top != e && p.isCold(now, top) {
		p.Cold.Count(coldMoved)
	}
	p.Cold.Take(now, d.Engine, r.Account)
	return d
}

// noteAnswer and noteFailure pass on signs of whether an engine answers.
func (p *Placer) noteAnswer(now time.Time, e *engine) {
	if p.Cold.Answered != nil {
		p.Cold.Answered(now, e.ID)
	}
}

func (p *Placer) noteFailure(now time.Time, e *engine) {
	if p.Cold.Failed != nil {
		p.Cold.Failed(now, e.ID)
	}
}
