// Package rwkindsched is the work of one account that waits for a cell: how much
// of each kind at each entry, and whose turn it is inside the account.
package rwkindsched

// Scheduler orders the kinds of an account by weighted fair queueing: first the
// urgencies by weight, then the kinds of one urgency equally. Each urgency with
// waiting work therefore gets at least 1/15 of the account's service, however
// many kinds of other urgencies wait. Entries take turns. Levels is not safe
// for concurrent use.
type Scheduler struct {
	urgencies [4]urgency
	// list holds the kinds; a kind keeps its place.
	list  []*kind
	index map[string]int
	items map[itemKey]*item
	// waiting is the sum of all levels.
	waiting int
}

// urgencyWeights are the weights of the urgencies 0 to 3.
var urgencyWeights = [4]float64{8, 4, 2, 1}

type urgency struct {
	virtual float64
	// clock is the virtual time of the kind that was served last.
	clock   float64
	waiting int
}

type kind struct {
	name    string
	urgency int
	virtual float64
	waiting int
	// next is the entry whose turn it is, in a ring of those with work.
	next *item
}

type itemKey struct {
	entry string
	kind  int
}

type item struct {
	entry      string
	count      int
	hint       float64
	prev, next *item
}

// New returns levels with no work waiting.
func New() *Scheduler {
	return &Scheduler{index: map[string]int{}, items: map[itemKey]*item{}}
}

// Backlog is the number of requests that wait.
func (l *Scheduler) Backlog() int { return l.waiting }

// KindIndex returns the number of a kind, which it adds with the urgency if it is
// new.
func (l *Scheduler) KindIndex(name string, urgency int) int {
	if i, ok := l.index[name]; ok {
		return i
	}
	i := len(l.list)
	l.index[name] = i
	l.list = append(l.list, &kind{name: name, urgency: urgency})
	return i
}

// SetUrgency moves a kind to an urgency, 0 (most urgent) to 3.
func (l *Scheduler) SetUrgency(name string, urgency int) {
	i, ok := l.index[name]
	if !ok || l.list[i].urgency == urgency {
		return
	}
	k := l.list[i]
	waiting := k.waiting
	l.add(k, -waiting)
	k.urgency = urgency
	l.add(k, waiting)
}

// Set sets how many requests of a kind wait at an entry, and their mean hint.
func (l *Scheduler) Set(entry string, kind int, count int, hint float64) {
	k, key := l.list[kind], itemKey{entry, kind}
	e := l.items[key]
	if e == nil {
		if count <= 0 {
			return
		}
		e = &item{entry: entry}
		l.items[key] = e
		k.link(e)
	}
	e.hint = hint
	l.change(k, key, e, max(count, 0))
}

func (l *Scheduler) change(k *kind, key itemKey, e *item, count int) {
	l.add(k, count-e.count)
	e.count = count
	if count == 0 {
		k.unlink(e)
		delete(l.items, key)
	}
}

// DropEntry removes the levels of an entry.
func (l *Scheduler) DropEntry(entry string) {
	for i := range l.list {
		l.Set(entry, i, 0, 0)
	}
}

// Next returns the entry and the kind whose turn it is and the hint of that
// level, which it lowers by one. Some work must be waiting.
func (l *Scheduler) Next() (entry string, number int, hint float64) {
	number = l.turn()
	k := l.list[number]
	e := k.next
	l.urgencies[k.urgency].clock = k.virtual
	k.next = e.next
	l.change(k, itemKey{e.entry, number}, e, e.count-1)
	return e.entry, number, e.hint
}

// KindName returns the name of a kind.
func (l *Scheduler) KindName(kind int) string { return l.list[kind].name }

// Charge adds cost to the service that a kind received. A correction is
// negative.
func (l *Scheduler) Charge(kind int, cost float64) {
	k := l.list[kind]
	k.virtual += cost
	l.urgencies[k.urgency].virtual += cost / urgencyWeights[k.urgency]
}

// turn returns the kind with the lowest virtual time of the urgency with the
// lowest one. Few kinds exist, so a scan is faster than a heap.
func (l *Scheduler) turn() int {
	u := l.lowestUrgency()
	best := -1
	for i, k := range l.list {
		if k.urgency == u && k.waiting > 0 && (best < 0 || k.virtual < l.list[best].virtual) {
			best = i
		}
	}
	return best
}

func (l *Scheduler) lowestUrgency() int {
	best := -1
	for i := range l.urgencies {
		u := &l.urgencies[i]
		if u.waiting > 0 && (best < 0 || u.virtual < l.urgencies[best].virtual) {
			best = i
		}
	}
	return best
}

// add changes the work waiting of a kind. A kind or an urgency that gets work
// starts at no less than the lowest one that has work, or else at where the
// last one was served, so that it can't save up credit.
func (l *Scheduler) add(k *kind, count int) {
	u := &l.urgencies[k.urgency]
	if u.waiting == 0 && count > 0 {
		l.join(u)
	}
	if k.waiting == 0 && count > 0 {
		l.joinKind(u, k)
	}
	k.waiting += count
	u.waiting += count
	l.waiting += count
}

func (l *Scheduler) join(u *urgency) {
	if lowest := l.lowestUrgency(); lowest >= 0 {
		u.virtual = max(u.virtual, l.urgencies[lowest].virtual)
		return
	}
	for i := range l.urgencies {
		u.virtual = max(u.virtual, l.urgencies[i].virtual)
	}
}

func (l *Scheduler) joinKind(u *urgency, k *kind) {
	lowest, found := u.clock, false
	for _, o := range l.list {
		if o.urgency == k.urgency && o.waiting > 0 && (!found || o.virtual < lowest) {
			lowest, found = o.virtual, true
		}
	}
	k.virtual = max(k.virtual, lowest)
}

func (k *kind) link(e *item) {
	if k.next == nil {
		e.prev, e.next = e, e
		k.next = e
		return
	}
	e.prev, e.next = k.next.prev, k.next
	e.prev.next, e.next.prev = e, e
}

func (k *kind) unlink(e *item) {
	if e.next == e {
		k.next = nil
		return
	}
	e.prev.next, e.next.prev = e.next, e.prev
	if k.next == e {
		k.next = e.next
	}
}
