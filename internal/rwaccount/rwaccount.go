// Package rwaccount decodes client account records.
package rwaccount

import (
	"encoding/hex"
	"encoding/json"
	"strconv"

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

type schema1 struct {
	Share int      `json:"share"`
	Keys  []string `json:"keys"`
}

type schema2 struct {
	Weight int `json:"weight"`
	Keys   []struct {
		Hash string `json:"hash"`
	} `json:"keys"`
}

// Decode reads an account of either schema version. Errors are faults with
// the code RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (Account, error) {
	a := Account{Name: r.Name}
	switch r.Schema {
	case 1:
		var v schema1
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return a, rwfault.Wrap(rwcode.RecordInvalid, err)
		}
		a.Weight = v.Share * WeightUnit
		a.Keys = v.Keys
	case 2:
		var v schema2
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return a, rwfault.Wrap(rwcode.RecordInvalid, err)
		}
		a.Weight = v.Weight
		for _, k := range v.Keys {
			a.Keys = append(a.Keys, k.Hash)
		}
	default:
		return a, rwfault.New(rwcode.RecordSchema, strconv.Itoa(r.Schema))
	}
	return a, a.check()
}

func (a Account) check() error {
	if a.Weight < 1 {
		return rwfault.New(rwcode.RecordInvalid, "account "+a.Name+": the share must be positive")
	}
	for _, k := range a.Keys {
		if b, err := hex.DecodeString(k); err != nil || len(b) != 32 {
			return rwfault.New(rwcode.RecordInvalid, "account "+a.Name+": a key is not a SHA-256 hash in hex")
		}
	}
	return nil
}
