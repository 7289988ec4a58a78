package rwonce

import (
	"slices"
	"time"

	"redwingworks.example/internal/rwcall"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdecision"
	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwresult"
)

// mayRun reports whether this router may execute a key for which it has no
// record. A leaving router begins no new keys but may still execute those that
// it has begun, since its handoffs contain them.
func (m *Machine) mayRun(now time.Time, c rwcall.Call) bool {
	if m.list.Version.Rev == 0 || m.Behind() {
		return false
	}
	home := m.list.Home(c.Key)
	if home != m.self.Name {
		return m.inherited(c.Key)
	}
	homes, since, ok := m.unknownHomes()
	if len(homes) == 0 || m.holdEnded || m.config.Rules.NoHold {
		return true
	}
	if ok && !c.KeyCreated.IsZero() && !c.KeyCreated.Before(since.Add(clockSkew)) && !c.KeyCreated.After(now.Add(clockSkew)) {
		return true
	}
	return m.alwaysHome(c.Key, homes)
}

// Route decides where to send a call that a caller sent to this router. Before
// a call is forwarded, this router stores its intent, unless the home may have
// just started. Such a home would collect the record and answer unknown,
// because it doesn't know that the call never reached an earlier home. It asks
// a witness to store the intent itself.
func (m *Machine) Route(now time.Time, c rwcall.Call) rwdecision.Decision {
	if m.list.Version.Rev == 0 || m.Behind() {
		return unknown("this router has no current VM list")
	}
	home := m.list.Home(c.Key)
	if home == "" {
		return unknown("no VM is published")
	}
	if home == m.self.Name || m.inherited(c.Key) {
		return rwdecision.Decision{Action: rwdecision.Run}
	}
	if now.Sub(m.firstSeen[home]) < homeRecoveryTime {
		return rwdecision.Decision{Action: rwdecision.Forward, To: home, TargetRecovering: true}
	}
	known := m.intents[c.Key] != nil
	if !m.storeIntent(now, rwintent.Intent{Key: c.Key, Digest: c.Digest, Router: home, TTL: c.KeyRetention + expiryMargin}) {
		return unknown("too many keys")
	}
	if t := m.intents[c.Key]; t != nil {
		t.forwards++
	}
	return rwdecision.Decision{Action: rwdecision.Forward, To: home, NewIntent: !known, SelfIsWitness: m.joined && !m.leaving}
}

// Home returns the published router that may execute a key, or "".
func (m *Machine) Home(key string) string { return m.list.Home(key) }

// DropIntent deletes the record that Route stored for a call which the home
// refused without executing it, unless another call relies on the record.
// Otherwise a home that has just started would collect it and could never
// execute the key.
func (m *Machine) DropIntent(key string) {
	if t := m.intents[key]; t != nil && t.forwards == 1 && len(t.intent.OtherRouters) == 0 {
		delete(m.intents, key)
	}
}

// Candidates returns the routers that may execute a key: its home, followed by
// those that may take it over when the routers before them have left.
func (m *Machine) Candidates(key string) []string { return m.list.Candidates(key) }

func unknown(detail string) rwdecision.Decision {
	return rwdecision.Decision{Result: rwresult.Unknown(detail)}
}

// Begin decides what to do with a call at the router that may execute it. After
// the action Run, the key is in progress until Finish or Abandon.
func (m *Machine) Begin(now time.Time, c rwcall.Call) rwdecision.Decision {
	m.observeVersion(c.Version)
	if e := m.executions[c.Key]; e != nil && e.state != free && !m.config.Rules.NoOutcomes {
		return e.decide(c)
	}
	if c.Ticket {
		return m.beginTicket(now, c)
	}
	if t := m.intents[c.Key]; t != nil {
		if !m.isObsolete(t, c.Key) {
			return t.decide(c)
		}
		delete(m.intents, c.Key)
	}
	if m.leaving && (m.list.Home(c.Key) == m.self.Name || m.inherited(c.Key)) {
		return rwdecision.Decision{Action: rwdecision.Forward, To: m.successor(c.Key)}
	}
	if m.leaving || !m.mayRun(now, c) {
		return m.keyHeld(c)
	}
	return m.startRun(now, c)
}

// keyHeld returns the decision for a key that this router may not execute. If
// this router is the home, it may execute the key later, so the result has a
// retry delay.
func (m *Machine) keyHeld(c rwcall.Call) rwdecision.Decision {
	if m.list.Home(c.Key) != m.self.Name {
		return unknown("this router is not the home of the key")
	}
	r := rwresult.Fault(rwcode.KeyHeld, rwoutcome.Unknown, "an earlier attempt may have run")
	r.RetryAfter = heldRetryAfter
	return rwdecision.Decision{Result: r}
}

// beginTicket decides what to do with a ticket of this incarnation. A ticket
// expires, since its outcome is only kept for a limited time.
func (m *Machine) beginTicket(now time.Time, c rwcall.Call) rwdecision.Decision {
	if now.Sub(c.KeyCreated) > c.KeyRetention {
		return unknown("the ticket has expired")
	}
	if m.closed {
		// No other router executes the ticket, so this is final.
		return rwdecision.Decision{Result: rwresult.Fault(rwcode.Draining, rwoutcome.NotRun, "the router is shutting down")}
	}
	return m.startRun(now, c)
}

func (e *execution) decide(c rwcall.Call) rwdecision.Decision {
	if e.digest != c.Digest {
		return keyMismatch()
	}
	if e.state == running {
		return rwdecision.Decision{Action: rwdecision.Wait}
	}
	if e.evicted {
		return unknown("the response is no longer stored")
	}
	return rwdecision.Decision{Result: e.result}
}

func (t *storedIntent) decide(c rwcall.Call) rwdecision.Decision {
	if t.intent.Digest != "" && t.intent.Digest != c.Digest {
		return keyMismatch()
	}
	if t.intent.Result != nil {
		return rwdecision.Decision{Result: *t.intent.Result}
	}
	return unknown("an earlier attempt may have run")
}

func keyMismatch() rwdecision.Decision {
	return rwdecision.Decision{Result: rwresult.Fault(rwcode.BadRequest, rwoutcome.NotRun, "the key belongs to another call")}
}

func (m *Machine) startRun(now time.Time, c rwcall.Call) rwdecision.Decision {
	e := m.executions[c.Key]
	var refused []string
	if e != nil {
		refused = e.refused
	}
	if slices.Contains(refused, c.ID) {
		return rwdecision.Decision{Result: e.result}
	}
	if e == nil && len(m.executions) >= m.config.MaxKeys {
		return rwdecision.Decision{Result: rwresult.Fault(rwcode.QueueFull, rwoutcome.Unknown, "too many keys")}
	}
	if e == nil {
		m.keyOrder = append(m.keyOrder, c.Key)
	}
	m.executions[c.Key] = &execution{
		state: running, digest: c.Digest, ticket: c.Ticket,
		expires: now.Add(c.KeyRetention + expiryMargin), attempt: c.ID, refused: refused,
		version: m.list.Version,
	}
	d := rwdecision.Decision{Action: rwdecision.Run}
	// A record that an earlier incarnation of the sender stored is lost.
	fromIsWitness := c.FromIsWitness && c.Inc >= m.incarnations[c.From] && c.Version == m.list.Version && c.From != m.self.Name && slices.Contains(m.list.All, c.From)
	if c.Ticket || fromIsWitness || len(m.list.All) == 1 || m.config.Rules.NoWitness {
		return d
	}
	d.Witnesses = m.witnesses(c.Key)
	if len(d.Witnesses) == 0 {
		m.Abandon(c.Key)
		return unknown("no other router can store the intent record")
	}
	return d
}

// witnesses returns the routers that may store the intent of a key, best first.
// Leaving VMs come last, since they lose their memory soon.
func (m *Machine) witnesses(key string) []string {
	home := m.list.Home(key)
	var live, rest []string
	for _, n := range rwrendezvous.Order(key, m.list.All) {
		switch {
		case n == m.self.Name || n == home:
		case slices.Contains(m.list.Live, n):
			live = append(live, n)
		default:
			rest = append(rest, n)
		}
	}
	return append(live, rest...)
}

// Commit is the last check before a call is sent to an upstream. The call must
// only be sent if it returns rwcode.None.
func (m *Machine) Commit(now time.Time, c rwcall.Call) rwcode.Code {
	e := m.executions[c.Key]
	if e == nil || e.state != running {
		return rwcode.KeyHeld
	}
	if m.paused(now) {
		return rwcode.Paused
	}
	if !c.Ticket && !m.mayRun(now, c) {
		return rwcode.KeyHeld
	}
	return rwcode.None
}

// Abandon ends a call that was not sent because no other router has stored its
// intent. The outcome is unknown rather than not_run: a router that stores the
// intent also confirms that this one acts on the newest list, and without that
// another router may have executed the key.
func (m *Machine) Abandon(key string) {
	if e := m.executions[key]; e != nil {
		e.state, e.result = free, rwresult.Unknown("no other router has stored the intent record")
	}
}

// Finish records the result of a call. The outcome not_run makes the key
// available for another attempt.
func (m *Machine) Finish(now time.Time, key string, r rwresult.Result) {
	e := m.executions[key]
	if e == nil {
		return
	}
	if r.Outcome == rwoutcome.NotRun {
		e.state, e.result = free, r
		e.refused = append(e.refused, e.attempt)
		if len(e.refused) > maxRefusedAttempts {
			e.refused = e.refused[1:]
		}
		return
	}
	e.state, e.result = ended, r
	m.resultBytes += len(r.Body)
	e.expires = later(e.expires, now.Add(m.repeatWindow))
	for _, k := range m.keyOrder {
		if m.resultBytes <= m.config.MaxBytes {
			return
		}
		m.evict(k)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Machine) evict(key string) {
	e := m.executions[key]
	if e == nil || e.state != ended || len(e.result.Body) == 0 {
		return
	}
	m.resultBytes -= len(e.result.Body)
	e.result.Body, e.evicted = nil, true
}
