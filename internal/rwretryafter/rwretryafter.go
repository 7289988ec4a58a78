// Package rwretryafter remembers until when upstreams want no requests from this
// router: an upstream that refuses a request may say so with Retry-After. The package
// reads no clock and does no I/O.
package rwretryafter

import (
	"strconv"
	"strings"
	"time"
)

const (
	// MaxDelay bounds the time that an upstream can ask for, so that one with a
	// senseless value is used again before its operator looks for the reason.
	MaxDelay = time.Minute
	// maxParsed bounds what Parse returns, so that it fits a Duration.
	maxParsed = 24 * time.Hour
	// maxUpstreams bounds the table; a fleet has hundreds of upstreams, few of which
	// refuse requests at the same time.
	maxUpstreams = 1024
)

// Parse returns the time of a Retry-After field in seconds, which may have fractions, of
// at most a day. Dates, malformed and negative times count as missing and give 0.
func Parse(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxParsed.Seconds()) * float64(time.Second))
}

// Table holds the times of upstreams. It is not safe for concurrent use.
type Table struct {
	until map[string]entry
}

type entry struct {
	startMillis int64
	until       time.Time
}

// New returns an empty table.
func New() *Table { return &Table{until: map[string]entry{}} }

// Add records that the incarnation of an upstream which started at startMillis wants
// no requests for a time from now, at most MaxDelay. A longer time that was recorded
// before stays.
func (t *Table) Add(now time.Time, id string, startMillis int64, d time.Duration) {
	if d <= 0 {
		return
	}
	e := entry{startMillis, now.Add(min(d, MaxDelay))}
	old, known := t.until[id]
	if known && (old.startMillis > startMillis || old.startMillis == startMillis && old.until.After(e.until)) {
		return
	}
	if !known && len(t.until) >= maxUpstreams {
		t.makeRoom(now)
	}
	t.until[id] = e
}

// makeRoom removes the times that have ended, or the one that ends first.
func (t *Table) makeRoom(now time.Time) {
	first := ""
	for id, e := range t.until {
		if !now.Before(e.until) {
			delete(t.until, id)
			continue
		}
		if first == "" || e.until.Before(t.until[first].until) {
			first = id
		}
	}
	if len(t.until) >= maxUpstreams {
		delete(t.until, first)
	}
}

// Left returns for how long the incarnation of an upstream wants no requests.
func (t *Table) Left(now time.Time, id string, startMillis int64) time.Duration {
	e, ok := t.until[id]
	if !ok || e.startMillis != startMillis {
		return 0
	}
	return max(e.until.Sub(now), 0)
}
