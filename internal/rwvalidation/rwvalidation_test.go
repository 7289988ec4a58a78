package rwvalidation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Guards against an error that names only the first or the last problem, and
// against an error without any problem.
func TestErrListsAllProblems(t *testing.T) {
	var p Problems
	p.Require(true, "a")
	require.NoError(t, p.Err(rwcode.RecordInvalid, "x"))
	p.Require(false, "b")
	p.Require(false, "c")
	err := p.Err(rwcode.RecordInvalid, "x")
	require.EqualError(t, err, "record_invalid: x: b; c")
	require.True(t, rwfault.Is(err, rwcode.RecordInvalid))
}
