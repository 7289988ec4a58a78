// Package rwkindsched schedules the kinds and entry routers of one account in a
// cell.
package rwkindsched

// Scheduler orders the waiting requests of an account by hierarchical weighted
// fair queueing: urgencies by weight, then the kinds of an urgency with equal
// weights. Each urgency with waiting requests therefore gets at least 1/15 of
// the account's service, however many kinds of other urgencies wait. The entry
// routers of a kind are served round robin. Scheduler is not safe for
// concurrent use.
type Scheduler struct {
	urgencies [4]urgency
	// kinds holds the kinds by index, which never changes.
	kinds    []*kind
	index    map[string]int
	backlogs map[backlogKey]*entryBacklog
	// waiting is the sum of all backlogs.
	waiting int
}

// urgencyWeights are the weights of the urgencies 0 to 3.
var urgencyWeights = [4]float64{8, 4, 2, 1}

type urgency struct {
	virtualTime float64
	// virtualClock is the virtual time that the kind that was served last had
	// before it was charged.
	virtualClock float64
	waiting      int
}

type kind struct {
	name        string
	urgency     int
	virtualTime float64
	waiting     int
	// nextEntry is the entry router that is served next, in a ring of those
	// with waiting requests.
	nextEntry *entryBacklog
}

type backlogKey struct {
	entry string
	kind  int
}

type entryBacklog struct {
	entry      string
	count      int
	hint       float64
	prev, next *entryBacklog
}

// New returns a scheduler without waiting requests.
func New() *Scheduler {
	return &Scheduler{index: map[string]int{}, backlogs: map[backlogKey]*entryBacklog{}}
}

// Backlog returns the number of waiting requests.
func (s *Scheduler) Backlog() int { return s.waiting }

// KindIndex returns the index of a kind. It adds the kind with the given urgency
// if it is new.
func (s *Scheduler) KindIndex(name string, urgency int) int {
	if i, ok := s.index[name]; ok {
		return i
	}
	i := len(s.kinds)
	s.index[name] = i
	s.kinds = append(s.kinds, &kind{name: name, urgency: urgency})
	return i
}

// SetUrgency moves a kind to an urgency, 0 (most urgent) to 3.
func (s *Scheduler) SetUrgency(name string, urgency int) {
	i, ok := s.index[name]
	if !ok || s.kinds[i].urgency == urgency {
		return
	}
	k := s.kinds[i]
	waiting := k.waiting
	s.addWaiting(k, -waiting)
	k.urgency = urgency
	s.addWaiting(k, waiting)
}

// Set sets how many requests of a kind wait at an entry router, and their mean
// cost hint.
func (s *Scheduler) Set(entry string, kind int, count int, hint float64) {
	k, key := s.kinds[kind], backlogKey{entry, kind}
	e := s.backlogs[key]
	if e == nil {
		if count <= 0 {
			return
		}
		e = &entryBacklog{entry: entry}
		s.backlogs[key] = e
		k.link(e)
	}
	e.hint = hint
	s.setCount(k, key, e, max(count, 0))
}

func (s *Scheduler) setCount(k *kind, key backlogKey, e *entryBacklog, count int) {
	s.addWaiting(k, count-e.count)
	e.count = count
	if count == 0 {
		k.unlink(e)
		delete(s.backlogs, key)
	}
}

// DropEntry removes the backlogs of an entry router.
func (s *Scheduler) DropEntry(entry string) {
	for i := range s.kinds {
		s.Set(entry, i, 0, 0)
	}
}

// Next returns the entry router and the kind that are served next and their
// cost hint, and lowers their backlog by one. At least one request must be
// waiting.
func (s *Scheduler) Next() (entry string, kind int, hint float64) {
	kind = s.nextKind()
	k := s.kinds[kind]
	e := k.nextEntry
	s.urgencies[k.urgency].virtualClock = k.virtualTime
	k.nextEntry = e.next
	s.setCount(k, backlogKey{e.entry, kind}, e, e.count-1)
	return e.entry, kind, e.hint
}

// KindName returns the name of a kind by its index.
func (s *Scheduler) KindName(kind int) string { return s.kinds[kind].name }

// Charge adds cost to the service that a kind received. A credit is negative.
func (s *Scheduler) Charge(kind int, cost float64) {
	k := s.kinds[kind]
	k.virtualTime += cost
	s.urgencies[k.urgency].virtualTime += cost / urgencyWeights[k.urgency]
}

// nextKind returns the kind with the lowest virtual time within the urgency with
// the lowest virtual time. There are few kinds, so a scan is faster than a heap.
func (s *Scheduler) nextKind() int {
	u := s.lowestUrgency()
	best := -1
	for i, k := range s.kinds {
		if k.urgency == u && k.waiting > 0 && (best < 0 || k.virtualTime < s.kinds[best].virtualTime) {
			best = i
		}
	}
	return best
}

func (s *Scheduler) lowestUrgency() int {
	best := -1
	for i := range s.urgencies {
		u := &s.urgencies[i]
		if u.waiting > 0 && (best < 0 || u.virtualTime < s.urgencies[best].virtualTime) {
			best = i
		}
	}
	return best
}

// addWaiting changes the number of waiting requests of a kind. A kind or an
// urgency that becomes backlogged is raised, so that it can't save up credit
// while it is idle.
func (s *Scheduler) addWaiting(k *kind, count int) {
	u := &s.urgencies[k.urgency]
	if u.waiting == 0 && count > 0 {
		s.raiseUrgency(u)
	}
	if k.waiting == 0 && count > 0 {
		s.raiseKind(u, k)
	}
	k.waiting += count
	u.waiting += count
	s.waiting += count
}

// raiseUrgency raises an urgency to the lowest virtual time of those with
// waiting requests or, if there are none, to the highest of all.
func (s *Scheduler) raiseUrgency(u *urgency) {
	if lowest := s.lowestUrgency(); lowest >= 0 {
		u.virtualTime = max(u.virtualTime, s.urgencies[lowest].virtualTime)
		return
	}
	for i := range s.urgencies {
		u.virtualTime = max(u.virtualTime, s.urgencies[i].virtualTime)
	}
}

// raiseKind raises a kind to the lowest virtual time of those of its urgency
// with waiting requests or, if there are none, to the urgency's virtualClock.
func (s *Scheduler) raiseKind(u *urgency, k *kind) {
	lowest, found := u.virtualClock, false
	for _, o := range s.kinds {
		if o.urgency == k.urgency && o.waiting > 0 && (!found || o.virtualTime < lowest) {
			lowest, found = o.virtualTime, true
		}
	}
	k.virtualTime = max(k.virtualTime, lowest)
}

func (k *kind) link(e *entryBacklog) {
	if k.nextEntry == nil {
		e.prev, e.next = e, e
		k.nextEntry = e
		return
	}
	e.prev, e.next = k.nextEntry.prev, k.nextEntry
	e.prev.next, e.next.prev = e, e
}

func (k *kind) unlink(e *entryBacklog) {
	if e.next == e {
		k.nextEntry = nil
		return
	}
	e.prev.next, e.next.prev = e.next, e.prev
	if k.nextEntry == e {
		k.nextEntry = e.next
	}
}
