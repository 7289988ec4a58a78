package rwtally

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTakeReturnsTheLargestAccounts(t *testing.T) {
	var tally Tally
	for account, n := range map[string]int{"a": 1, "b": 3, "c": 2} {
		for range n {
			tally.Add(account, "served")
		}
	}
	tally.Add("c", "refused")
	tally.Add("c", "refused")
	require.Equal(t, []Account{
		{Name: "c", Requests: 4, Outcomes: map[string]int64{"served": 2, "refused": 2}},
		{Name: "b", Requests: 3, Outcomes: map[string]int64{"served": 3}},
	}, tally.Take(2))
	require.Empty(t, tally.Take(2))
}

// Guards against a table that grows with the names that callers make up.
func TestAccountsAreBounded(t *testing.T) {
	var tally Tally
	for i := range maxAccounts + 10 {
		tally.Add(strconv.Itoa(i), "served")
	}
	list := tally.Take(2 * maxAccounts)
	require.Len(t, list, maxAccounts+1)
	require.Equal(t, Account{Name: Others, Requests: 10, Outcomes: map[string]int64{"served": 10}}, list[0])
}
