// Package rwpace decides when bulk bytes may cross one direction of a machine's
// link. A link sends in the order of arrival, so control messages wait behind all
// bulk bytes that were handed to it before. Prompts that filled a link of 10 Mbit/s
// held up the answers of owners and the probes of members by half a second; the
// router then took every other one for lost.
package rwpace

import (
	"math"
	"sync"
	"time"
)

const (
	// pacedRatio is the fraction of the link's rate at which bulk bytes are let
	// through. Control messages and the heads of requests, which nothing holds back,
	// take the rest.
	pacedRatio = 0.8
	// burst is the time of the link whose bulk bytes may be in its queue.
	burst = 20 * time.Millisecond
	// loadTime is the time constant of the load.
	loadTime = 300 * time.Millisecond
)

// Pacer is one direction of a link. Its methods may be called concurrently.
type Pacer struct {
	// rate is the link's rate in bytes per second, or 0 if it is not known. Nothing
	// waits then.
	rate float64

	mu sync.Mutex
	// clearAt is when all bytes so far have crossed at the paced rate.
	clearAt time.Time
	// queued is the number of bulk bytes that wait for their turn.
	queued int
	// recent is the number of bytes as of recentAt, each of which counts less with
	// time.
	recent   float64
	recentAt time.Time
}

// New returns a pacer for a rate in bytes per second, or 0 if it is not known.
func New(bytesPerSecond float64) *Pacer { return &Pacer{rate: max(bytesPerSecond, 0)} }

// Count counts bytes that don't wait. Bulk bytes wait longer for them.
func (p *Pacer) Count(now time.Time, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(now, n)
}

// Reserve counts bulk bytes and returns how long they have to wait.
func (p *Pacer) Reserve(now time.Time, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := p.delay(now)
	p.count(now, n)
	return wait
}

// Admit queues bulk bytes if they will start within a time from now, and reports
// whether it did. Start or Cancel must be called once with the same number.
func (p *Pacer) Admit(now time.Time, n int, within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delay(now)+p.duration(p.queued) >= within {
		return false
	}
	p.queued += n
	return true
}

// Start counts queued bytes if none before them have to wait any more. Otherwise it
// returns how long to wait until it is called again. The bytes that were queued first
// must be started first.
func (p *Pacer) Start(now time.Time, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait := p.delay(now); wait > 0 {
		return wait
	}
	p.queued -= n
	p.count(now, n)
	return 0
}

// Cancel takes queued bytes back.
func (p *Pacer) Cancel(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued -= n
}

// Delay returns how long further bulk bytes would have to wait.
func (p *Pacer) Delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay(now) + p.duration(p.queued)
}

// Load returns the fraction of the link's rate that was in use in the last
// moments, or 0 if the rate is not known.
func (p *Pacer) Load(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return 0
	}
	p.decay(now)
	return p.recent / (p.rate * loadTime.Seconds())
}

// delay returns how long the next bulk bytes have to wait. The caller must hold the
// lock.
func (p *Pacer) delay(now time.Time) time.Duration { return max(p.clearAt.Add(-burst).Sub(now), 0) }

// count adds bytes. The caller must hold the lock.
func (p *Pacer) count(now time.Time, n int) {
	if p.rate == 0 {
		return
	}
	if p.clearAt.Before(now) {
		p.clearAt = now
	}
	p.clearAt = p.clearAt.Add(p.duration(n))
	p.decay(now)
	p.recent += float64(n)
}

// decay lets the bytes so far count less. The caller must hold the lock.
func (p *Pacer) decay(now time.Time) {
	if past := now.Sub(p.recentAt); past > 0 {
		p.recent *= math.Exp(-past.Seconds() / loadTime.Seconds())
		p.recentAt = now
	}
}

// duration returns the time of a number of bytes at the paced rate.
func (p *Pacer) duration(n int) time.Duration {
	if p.rate == 0 {
		return 0
	}
	return time.Duration(float64(n) / (pacedRatio * p.rate) * float64(time.Second))
}
