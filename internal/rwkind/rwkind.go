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

// MaxRepeat bounds Repeat. A home keeps the outcome of each key so long, and
// its memory is bounded.
const MaxRepeat = 24 * time.Hour

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
	urgency, err := k.urgency(r.Schema, v)
	if err != nil {
		return k, err
	}
	if v.Repeat < 0 || v.Repeat > int(MaxRepeat/time.Second) {
		return k, k.invalid("repeat must be from 0 to " + strconv.Itoa(int(MaxRepeat/time.Second)) + " seconds")
	}
	k.Urgency, k.Pool, k.Idempotent = urgency, v.Pool, v.Idempotent
	k.Repeat = time.Duration(v.Repeat) * time.Second
	if v.Repeat == 0 {
		k.Repeat = DefaultRepeat
	}
	return k, k.check()
}

// urgency returns the urgency by the field of the schema version.
func (k Kind) urgency(schema int, v value) (int, error) {
	class, known := 0, false
	if v.Class != nil {
		class, known = classes[*v.Class]
	}
	switch {
	case v.Class != nil && !known:
		return 0, k.invalid("unknown class " + *v.Class)
	case v.Class != nil && v.Urgency != nil && *v.Urgency != class:
		return 0, k.invalid("urgency and class contradict each other")
	case schema == 2 && v.Class != nil:
		return class, nil
	case schema == 1 && v.Urgency != nil:
		return *v.Urgency, nil
	default:
		return 0, k.invalid("no urgency or class")
	}
}

func (k Kind) check() error {
	switch {
	case k.Name == "":
		return k.invalid("no name")
	case k.Urgency < 0 || k.Urgency > MaxUrgency:
		return k.invalid("urgency is outside 0 to 3")
	case k.Pool == "":
		return k.invalid("no pool")
	default:
		return nil
	}
}

func (k Kind) invalid(why string) error {
	return rwfault.New(rwcode.RecordInvalid, "kind "+k.Name+": "+why)
}
