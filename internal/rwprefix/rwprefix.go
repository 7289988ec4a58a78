// Package rwprefix remembers which upstream ran a prompt prefix last, and so
// has it in its cache most likely. Engines publish their cache events late and
// with gaps, so what this router sent is the better source.
package rwprefix

// generation is how many prefixes are kept before the older ones are dropped;
// two generations take under 1 MB.
const generation = 4096

// Affinity is a bounded memory of prefixes. It is not safe for concurrent use.
type Affinity struct {
	// recent and older are generations: when recent is full it becomes older.
	recent, older map[uint64]string
}

// New returns an empty memory.
func New() *Affinity {
	return &Affinity{recent: map[uint64]string{}, older: map[uint64]string{}}
}

// Record notes that an upstream runs a request with the prefix; 0 means none.
func (p *Affinity) Record(prefix uint64, upstream string) {
	if prefix == 0 {
		return
	}
	if len(p.recent) >= generation {
		p.recent, p.older = map[uint64]string{}, p.recent
	}
	p.recent[prefix] = upstream
}

// LastRanOn reports whether the upstream ran the prefix last.
func (p *Affinity) LastRanOn(prefix uint64, upstream string) bool {
	if prefix == 0 {
		return false
	}
	at, ok := p.recent[prefix]
	if !ok {
		at = p.older[prefix]
	}
	return at == upstream
}
