// Package rwtally counts how the requests of client accounts end at one router.
// Log lines about single requests are cut in a flood; these counts are exact.
package rwtally

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// maxAccounts bounds the accounts that are counted by name between two reports; the
// requests of further ones are counted under Others.
const maxAccounts = 256

// Others is the name under which the requests of further accounts are counted.
const Others = "(others)"

// Tally counts requests by account and outcome. The zero value has no counts. It
// is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	accounts map[string]map[string]int64
}

// Account is how the requests of one account ended.
type Account struct {
	Name string
	// Requests is the sum of Outcomes.
	Requests int64
	// Outcomes holds the number of requests by their outcome.
	Outcomes map[string]int64
}

// Add counts a request of an account that has ended.
func (t *Tally) Add(account, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accounts == nil {
		t.accounts = map[string]map[string]int64{}
	}
	if t.accounts[account] == nil && len(t.accounts) >= maxAccounts {
		account = Others
	}
	if t.accounts[account] == nil {
		t.accounts[account] = map[string]int64{}
	}
	t.accounts[account][outcome]++
}

// Take returns the n accounts with most requests since its last call, the largest
// first, and forgets all counts.
func (t *Tally) Take(n int) []Account {
	t.mu.Lock()
	counts := t.accounts
	t.accounts = nil
	t.mu.Unlock()
	list := make([]Account, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		a := Account{Name: name, Outcomes: counts[name]}
		for _, k := range a.Outcomes {
			a.Requests += k
		}
		list = append(list, a)
	}
	slices.SortStableFunc(list, func(a, b Account) int { return cmp.Compare(b.Requests, a.Requests) })
	return list[:min(n, len(list))]
}
