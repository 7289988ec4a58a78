// Package rwconcurrency shares the complete requests that a router has in progress among
// the services that run them, so that one service doesn't take all from the others.
// Requests whose bodies still arrive don't count, since their callers can lose them.
//
// The load it answers: a service accepts requests and doesn't answer, its callers come
// back at once, and each request stays until its time limit.
package rwconcurrency

import "sync"

// roomFactor is how many requests a service may have in progress for each further one
// that the router has room for. A service that hangs leaves an eighth of all requests to
// the others; if the others hang too, each gets less, and there is always some room.
const roomFactor = 7

// Limiter counts the requests in progress by service. It is safe for concurrent use. The
// zero value has none.
type Limiter struct {
	mu sync.Mutex
	// inProgress holds the services that have requests in progress, and total is the
	// sum of its values.
	inProgress map[string]int64
	total      int64
}

// TryAcquire adds a request to a service and reports whether it did: it doesn't if the
// service has too many for a router that takes a limit of all services.
func (l *Limiter) TryAcquire(service string, limit int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allows(service, limit) {
		return false
	}
	l.add(service)
	return true
}

// Acquire adds a request to a service also if the service has too many, for one that
// takes the place of a request that ends.
func (l *Limiter) Acquire(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(service)
}

func (l *Limiter) add(service string) {
	if l.inProgress == nil {
		l.inProgress = map[string]int64{}
	}
	l.inProgress[service]++
	l.total++
}

// Allows reports whether TryAcquire would add a request now.
func (l *Limiter) Allows(service string, limit int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allows(service, limit)
}

// NearlyFull reports whether TryAcquire would refuse a service that has requests if it got
// a number of further ones.
func (l *Limiter) NearlyFull(limit, further int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	room := limit - l.total - further
	for _, n := range l.inProgress {
		if n+further >= roomFactor*(room-1) {
			return true
		}
	}
	return false
}

// allows is Allows for callers that hold the lock. A service without requests may always
// have one.
func (l *Limiter) allows(service string, limit int64) bool {
	n := l.inProgress[service]
	return n == 0 || n < roomFactor*(limit-l.total-1)
}

// Release removes a request that TryAcquire or Acquire has added.
func (l *Limiter) Release(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	if l.inProgress[service]--; l.inProgress[service] <= 0 {
		delete(l.inProgress, service)
	}
}
