package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that starts with unusable settings, and against a
// check command that doesn't name the invalid field.
func TestInvalidSettings(t *testing.T) {
	path := t.TempDir() + "/local.yaml"
	require.NoError(t, os.WriteFile(path, []byte("nodeName: x\n"), 0o600))
	for _, args := range [][]string{{"--settings", path}, {"check", "--settings", path}} {
		c := command()
		c.SetArgs(args)
		require.ErrorContains(t, c.Execute(), "listen.front")
	}
}
