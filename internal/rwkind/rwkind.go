// Package rwkind decodes records of kinds of work.
package rwkind

import (
	"encoding/json"
	"strconv"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

// MaxUrgency is the least urgent level; 0 is the most urgent.
const MaxUrgency = 3

// DefaultRepeat is how long callers may repeat an idempotency key where the
// record gives no time.
const DefaultRepeat = 10 * time.Minute

// Kind is a kind of work that client accounts send.
type Kind struct {
	Name string
	// Urgency is 0 (most urgent) to MaxUrgency.
	Urgency int
	// Pool is the model or plain service that runs this kind.
	Pool string
	// Idempotent is whether a call may be run more than once.
	Idempotent bool
	// Repeat is how long callers may repeat an idempotency key; positive.
	Repeat time.Duration
}

type schema1 struct {
	Urgency    int    `json:"urgency"`
	Pool       string `json:"pool"`
	Idempotent bool   `json:"idempotent"`
	Repeat     int    `json:"repeat"`
}

type schema2 struct {
	Class      string `json:"class"`
	Pool       string `json:"pool"`
	Idempotent bool   `json:"idempotent"`
	Repeat     int    `json:"repeat"`
}

var classes = map[string]int{"now": 0, "soon": 1, "later": 2, "batch": 3}

// Decode reads a kind of either schema version. Errors are faults with the
// code RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (Kind, error) {
	k := Kind{Name: r.Name}
	repeat := 0
	switch r.Schema {
	case 1:
		var v schema1
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return k, rwfault.Wrap(rwcode.RecordInvalid, err)
		}
		k.Urgency, k.Pool, k.Idempotent, repeat = v.Urgency, v.Pool, v.Idempotent, v.Repeat
	case 2:
		var v schema2
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return k, rwfault.Wrap(rwcode.RecordInvalid, err)
		}
		u, ok := classes[v.Class]
		if !ok {
			return k, rwfault.New(rwcode.RecordInvalid, "kind "+r.Name+": unknown class "+v.Class)
		}
		k.Urgency, k.Pool, k.Idempotent, repeat = u, v.Pool, v.Idempotent, v.Repeat
	default:
		return k, rwfault.New(rwcode.RecordSchema, strconv.Itoa(r.Schema))
	}
	k.Repeat = time.Duration(repeat) * time.Second
	if repeat == 0 {
		k.Repeat = DefaultRepeat
	}
	return k, k.check()
}

func (k Kind) check() error {
	if k.Urgency < 0 || k.Urgency > MaxUrgency {
		return rwfault.New(rwcode.RecordInvalid, "kind "+k.Name+": urgency is outside 0 to 3")
	}
	if k.Pool == "" {
		return rwfault.New(rwcode.RecordInvalid, "kind "+k.Name+": no pool")
	}
	if k.Repeat < 0 {
		return rwfault.New(rwcode.RecordInvalid, "kind "+k.Name+": repeat is negative")
	}
	return nil
}
