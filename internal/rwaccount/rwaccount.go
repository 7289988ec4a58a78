// Package rwaccount decodes client account records.
package rwaccount

import (
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

// WeightUnit is the weight of one share.
const WeightUnit = 1000

// Account is a client account.
type Account struct {
	Name string
	// Weight is the account's share of capacity in thousandths, at least 1.
	Weight int
	// Keys are SHA-256 hashes of the caller keys, in lower-case hex.
	Keys []string
}

// MaxWeight bounds a weight, so that sums of weights can't overflow.
const MaxWeight = 1_000_000 * WeightUnit

// value has the fields of both schema versions. A record may carry the field
// of the other version too, as long as it says the same.
type value struct {
	Share  *int  `json:"share"`
	Weight *int  `json:"weight"`
	Keys   []key `json:"keys"`
}

// key is a hash in the form of either schema version.
type key struct {
	schema int
	hash   string
}

// UnmarshalJSON reads a string (schema 1) or an object (schema 2).
func (k *key) UnmarshalJSON(data []byte) error {
	if data[0] == '"' {
		k.schema = 1
		return json.Unmarshal(data, &k.hash)
	}
	var v struct {
		Hash string `json:"hash"`
	}
	err := json.Unmarshal(data, &v)
	k.schema, k.hash = 2, v.Hash
	return err
}

// Decode reads an account of either schema version. Errors are faults with
// the code RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (Account, error) {
	a := Account{Name: r.Name}
	if r.Schema != 1 && r.Schema != 2 {
		return a, rwfault.New(rwcode.RecordSchema, "account "+r.Name+": schema "+strconv.Itoa(r.Schema))
	}
	var v value
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return a, rwfault.Wrap(rwcode.RecordInvalid, err).WithDetail("account " + r.Name)
	}
	for _, k := range v.Keys {
		if k.schema != r.Schema {
			return a, a.invalid("a key has the form of another schema")
		}
		a.Keys = append(a.Keys, k.hash)
	}
	switch {
	case v.Share != nil && (*v.Share < 1 || *v.Share > MaxWeight/WeightUnit):
		return a, a.invalid("share must be from 1 to " + strconv.Itoa(MaxWeight/WeightUnit))
	case v.Share != nil && v.Weight != nil && *v.Weight != *v.Share*WeightUnit:
		return a, a.invalid("share and weight contradict each other")
	case r.Schema == 1 && v.Share != nil:
		a.Weight = *v.Share * WeightUnit
	case r.Schema == 2 && v.Weight != nil:
		a.Weight = *v.Weight
	}
	return a, a.check()
}

func (a Account) check() error {
	if a.Name == "" {
		return a.invalid("no name")
	}
	if a.Weight < 1 || a.Weight > MaxWeight {
		return a.invalid("the share or weight is missing or out of range")
	}
	seen := map[string]bool{}
	for _, k := range a.Keys {
		if b, err := hex.DecodeString(k); err != nil || len(b) != 32 || strings.ToLower(k) != k {
			return a.invalid("a key is not a SHA-256 hash in lower-case hex")
		}
		if seen[k] {
			return a.invalid("a key is repeated")
		}
		seen[k] = true
	}
	return nil
}

func (a Account) invalid(why string) error {
	return rwfault.New(rwcode.RecordInvalid, "account "+a.Name+": "+why)
}
