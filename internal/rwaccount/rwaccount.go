// Package rwaccount decodes client account records.
package rwaccount

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwvalidation"
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
const MaxWeight = maxShare * WeightUnit

const maxShare = 1_000_000

// value has the fields of both schema versions. A record may also have the
// fields of the other version if they agree.
type value struct {
	Share  *int  `json:"share"`
	Weight *int  `json:"weight"`
	Keys   []key `json:"keys"`
}

// key is a key hash in the format of either schema version.
type key struct {
	schema int
	hash   string
}

// UnmarshalJSON decodes a string (schema 1) or an object (schema 2).
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

// Decode decodes an account record of either schema version. It fails with
// RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (Account, error) {
	a := Account{Name: r.Name}
	if r.Schema != 1 && r.Schema != 2 {
		return a, rwfault.New(rwcode.RecordSchema, "account "+r.Name+": schema "+strconv.Itoa(r.Schema))
	}
	var v value
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return a, rwfault.Wrap(rwcode.RecordInvalid, err).WithDetail("account " + r.Name)
	}
	if r.Schema == 1 && v.Share != nil {
		a.Weight = min(max(*v.Share, 0), maxShare) * WeightUnit
	}
	if r.Schema == 2 && v.Weight != nil {
		a.Weight = *v.Weight
	}
	for _, k := range v.Keys {
		a.Keys = append(a.Keys, k.hash)
	}
	return a, a.check(r.Schema, v)
}

func (a Account) check(schema int, v value) error {
	var l rwvalidation.Problems
	l.Require(a.Name != "", "no name")
	l.Require(schema != 1 || v.Share != nil, "no share")
	l.Require(schema != 2 || v.Weight != nil, "no weight")
	l.Require(v.Share == nil || (*v.Share >= 1 && *v.Share <= maxShare), "share must be from 1 to "+strconv.Itoa(maxShare))
	l.Require(v.Weight == nil || (*v.Weight >= 1 && *v.Weight <= MaxWeight), "weight must be from 1 to "+strconv.Itoa(MaxWeight))
	l.Require(v.Share == nil || v.Weight == nil || *v.Weight/WeightUnit == *v.Share && *v.Weight%WeightUnit == 0,
		"share and weight contradict each other")
	seen := map[string]bool{}
	for i, k := range v.Keys {
		at := "key " + strconv.Itoa(i+1) + " "
		l.Require(k.schema == schema, at+"has the form of another schema")
		b, err := hex.DecodeString(k.hash)
		l.Require(err == nil && len(b) == sha256.Size && strings.ToLower(k.hash) == k.hash, at+"is not a SHA-256 hash in lower-case hex")
		l.Require(!seen[k.hash], at+"is repeated")
		seen[k.hash] = true
	}
	return l.Err(rwcode.RecordInvalid, "account "+a.Name)
}
