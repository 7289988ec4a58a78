package rwplacement

import "time"

const (
	// choiceTimePerQueued is how long a queued request keeps its choice while it can't
	// start there, for each request in the queue beyond shortQueue, so that choices are
	// renewed at a bounded rate. Considering all engines for all requests in each tick
	// takes more CPU time than a small machine has.
	choiceTimePerQueued = 625 * time.Microsecond
	shortQueue          = 12
	// maxEngineless is the number of requests without a choice, since no engine had room
	// for them, for which engines are considered again in a tick.
	maxEngineless = 4
)

// choice is the engine that is best for a queued request as of a time.
type choice struct {
	option
	// ok is whether any engine had room for the request, later whether the request can
	// start there once the engine's queue is shorter, and short whether it was short.
	ok, later, short bool
	// until is when a request that is kept from streams' gaps may start there, or zero.
	until time.Time
	// at is when the engines were considered, or zero if they never were.
	at time.Time
}

// choiceTime returns how long the choices of queued requests hold, and that they are
// worth queueing.
func (p *Placer) choiceTime() time.Duration {
	return time.Duration(max(len(p.queue)-shortQueue, 0)) * choiceTimePerQueued
}

// grantRound is the state of one round of grants.
type grantRound struct {
	// reserved holds the engines for which a request waits: requests later in the order
	// would refill their queues, and a request that needs a shorter queue would never
	// start. The value is how long the engine prefills for those that wait.
	reserved map[*engine]time.Duration
	// backlogs holds those of the available engines.
	backlogs map[*engine]time.Duration
	// meanBacklog is their mean as of the start of the round.
	meanBacklog time.Duration
}

func (p *Placer) newRound(now time.Time) *grantRound {
	r := &grantRound{reserved: map[*engine]time.Duration{}, backlogs: make(map[*engine]time.Duration, len(p.availableIDs))}
	sum := time.Duration(0)
	for _, name := range p.availableIDs {
		e := p.engines[name]
		b := e.model.Backlog(now)
		r.backlogs[e] = b
		sum += b
	}
	r.meanBacklog = sum / time.Duration(max(len(p.availableIDs), 1))
	return r
}

// isReserved reports whether a request earlier in the order waits for the engine.
func (r *grantRound) isReserved(e *engine) bool {
	_, ok := r.reserved[e]
	return ok
}

// choose considers the engines for a queued request.
func (p *Placer) choose(now time.Time, r *grantRound, w *queuedRequest) choice {
	o, ok := p.bestOption(now, w.request, r.reserved, r.meanBacklog)
	c := choice{option: o, ok: ok, at: now}
	if !ok {
		return c
	}
	c.later, c.short = p.canStartLater(now, w, o), o.backlog <= p.longestBacklog(now, w)
	if o.gapWait > 0 {
		c.until = now.Add(min(o.gapWait, max(p.timeLeft(now, w)-o.forecast-minSlack, 0)))
	}
	return c
}

// longestBacklog returns the backlog of an engine beyond which the request can't start
// there.
func (p *Placer) longestBacklog(now time.Time, w *queuedRequest) time.Duration {
	return max(p.longestQueue(now, w), scale(w.request.Target, lateQueueTargetRatio))
}

// keepWaiting lets a queued request wait for its choice without considering the engines,
// if it can't start there in this round. It returns what keeps it, and whether it does.
func (p *Placer) keepWaiting(now time.Time, r *grantRound, w *queuedRequest) (Bound, bool) {
	c := &w.choice
	if c.at.IsZero() || now.Sub(c.at) >= p.choiceTime() {
		return NoBound, false
	}
	if !c.ok {
		p.engineless++
		return SlotBound, p.engineless > maxEngineless
	}
	backlog, available := r.backlogs[c.engine]
	short := backlog <= p.longestBacklog(now, w)
	switch {
	case !available:
		return NoBound, false
	case r.isReserved(c.engine):
		r.reserved[c.engine] += c.prefill
		return OrderBound, true
	case c.engine.running >= p.spec.Slots:
		return SlotBound, true
	case !short || c.short && (c.until.IsZero() || now.Before(c.until)):
		// With a short queue, the request didn't fit into its time or a gap.
		if c.later {
			r.reserved[c.engine] += c.prefill
		}
		return w.bound, true
	default:
		return NoBound, false
	}
}
