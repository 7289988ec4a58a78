// Package rwkind decodes records of kinds of work.
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

// DefaultRepeatWindow is how long callers may repeat an idempotency key where the
// record gives no time.
const DefaultRepeatWindow = 10 * time.Minute

// Kind is a kind of work that client accounts send.
type Kind struct {
	Name string
	// Urgency is 0 (most urgent) to MaxUrgency.
	Urgency int
	// Pool is the model or plain service that runs this kind.
	Pool string
	// Idempotent is whether a call may be run more than once.
	Idempotent bool
	// RepeatWindow is how long callers may repeat an idempotency key; positive.
	RepeatWindow time.Duration
}

// MaxRepeatWindow bounds Repeat. A home keeps the outcome of each key so long, and
// its memory is bounded.
const MaxRepeatWindow = maxRepeatSeconds * time.Second

const maxRepeatSeconds = 24 * 60 * 60

// value has the fields of both schema versions. A record may carry the field
// of the other version too, as long as it says the same.
type value struct {
	Urgency    *int    `json:"urgency"`
	Class      *string `json:"class"`
	Pool       string  `json:"pool"`
	Idempotent bool    `json:"idempotent"`
	Repeat     int     `json:"repeat"`
}

var classes = map[string]int{"now": 0, "soon": 1, "later": 2, "batch": 3}

// Decode reads a kind of either schema version. Errors are faults with the
// code RecordSchema or RecordInvalid.
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
