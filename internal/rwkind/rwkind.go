// Package rwkind decodes records of request kinds.
package rwkind

import (
	"encoding/json"
	"strconv"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwvalidation"
)

// MaxUrgency is the least urgent level; 0 is the most urgent.
const MaxUrgency = 3

// DefaultRepeatWindow is the repeat window of a kind whose record has none.
const DefaultRepeatWindow = 10 * time.Minute

// Kind is a class of requests with a common urgency and pool.
type Kind struct {
	Name string
	// Urgency is 0 (most urgent) to MaxUrgency.
	Urgency int
	// Pool is the model or plain service that runs this kind.
	Pool string
	// Idempotent reports whether a request may be executed more than once.
	Idempotent bool
	// RepeatWindow is how long callers may reuse an idempotency key to retry a
	// request. It is positive.
	RepeatWindow time.Duration
}

// MaxRepeatWindow limits RepeatWindow. The router that executes the calls with
// a key stores their outcome for this long, and its memory is limited.
const MaxRepeatWindow = maxRepeatSeconds * time.Second

const maxRepeatSeconds = 24 * 60 * 60

// value has the fields of both schema versions. A record may also have the
// fields of the other version if they agree.
type value struct {
	Urgency    *int    `json:"urgency"`
	Class      *string `json:"class"`
	Pool       string  `json:"pool"`
	Idempotent bool    `json:"idempotent"`
	Repeat     int     `json:"repeat"`
}

var classes = map[string]int{"now": 0, "soon": 1, "later": 2, "batch": 3}

// Decode decodes a kind record of either schema version. It fails with
// RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (Kind, error) {
	k := Kind{Name: r.Name}
	if r.Schema != 1 && r.Schema != 2 {
		return k, rwfault.New(rwcode.RecordSchema, "kind "+r.Name+": schema "+strconv.Itoa(r.Schema))
	}
	var v value
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return k, rwfault.Wrap(rwcode.RecordInvalid, err).WithDetail("kind " + r.Name)
	}
	class, known := 0, false
	if v.Class != nil {
		class, known = classes[*v.Class]
	}
	if r.Schema == 1 && v.Urgency != nil {
		k.Urgency = *v.Urgency
	}
	if r.Schema == 2 {
		k.Urgency = class
	}
	k.Pool, k.Idempotent = v.Pool, v.Idempotent
	k.RepeatWindow = time.Duration(min(max(v.Repeat, 0), maxRepeatSeconds)) * time.Second
	if v.Repeat == 0 {
		k.RepeatWindow = DefaultRepeatWindow
	}
	var l rwvalidation.Problems
	l.Require(k.Name != "", "no name")
	l.Require(r.Schema != 1 || v.Urgency != nil, "no urgency")
	l.Require(r.Schema != 2 || v.Class != nil, "no class")
	l.Require(v.Urgency == nil || (*v.Urgency >= 0 && *v.Urgency <= MaxUrgency), "urgency must be from 0 to 3")
	l.Require(v.Class == nil || known, "class must be now, soon, later or batch")
	l.Require(v.Urgency == nil || !known || *v.Urgency == class, "urgency and class contradict each other")
	l.Require(k.Pool != "", "no pool")
	l.Require(v.Repeat >= 0 && v.Repeat <= maxRepeatSeconds, "repeat must be from 0 to "+strconv.Itoa(maxRepeatSeconds)+" seconds")
	return k, l.Err(rwcode.RecordInvalid, "kind "+r.Name)
}
