package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func execute(t *testing.T, args ...string) (string, error) {
	var out bytes.Buffer
	c := command()
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

// Guards against scripts that publish records in spite of faults: the exit status
// must report faults, and must be 0 for warnings and valid files.
func TestCheckFailsForFaults(t *testing.T) {
	out, err := execute(t, "check", "internal/rwrecordcheck/testdata/good.json")
	require.NoError(t, err)
	require.Equal(t, "1 files, 10 records, 0 faults, 0 warnings\n", out)
	out, err = execute(t, "check", "internal/rwrecordcheck/testdata/good.json", "internal/rwrecordcheck/testdata/bad.json")
	require.Error(t, err)
	require.Contains(t, out, "2 files, 31 records")
	_, err = execute(t, "check", "missing.json")
	require.Error(t, err)
}

// Guards against a follow command that stops at the first failed request, and
// against a view command that hides the failure.
func TestUnreachableRouter(t *testing.T) {
	_, err := execute(t, "view", "127.0.0.1:1")
	require.Error(t, err)
	out, err := execute(t, "follow", "127.0.0.1:1", "--count", "2", "--interval", "1ms")
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(out, "not_ready"))
	_, err = execute(t, "follow", "127.0.0.1:1", "--interval", "0s")
	require.Error(t, err)
}
