// Package rwprefix records which upstream ran a prompt prefix last and therefore
// most likely has it in its cache. Engines publish their cache events late and
// with gaps, so the requests that this router sent are the better source.
package rwprefix

// generationSize is the number of prefixes in a generation. Two generations take
// less than 1 MB.
const generationSize = 4096

// Affinity maps a bounded number of prefixes to upstreams. It is not safe for
// concurrent use.
type Affinity struct {
	// recent and older are generations: when recent is full, it replaces older.
	recent, older map[uint64]string
}

// New returns an Affinity without prefixes.
func New() *Affinity {
	return &Affinity{recent: map[uint64]string{}, older: map[uint64]string{}}
}

// Record records that an upstream runs a request with the prefix. It ignores the
// prefix 0, which means none.
func (p *Affinity) Record(prefix uint64, upstream string) {
	if prefix == 0 {
		return
	}
	if len(p.recent) >= generationSize {
		p.recent, p.older = map[uint64]string{}, p.recent
	}
	p.recent[prefix] = upstream
}

// LastRanOn reports whether the upstream was the last one to run the prefix.
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
