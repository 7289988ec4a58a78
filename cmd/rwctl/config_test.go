package main

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"redwingworks.example/platform/rwfakestore"
)

const (
	goodConfig   = "internal/rwconfigcheck/testdata/good.json"
	badConfig    = "internal/rwconfigcheck/testdata/bad.json"
	brokenConfig = "internal/rwconfigcheck/testdata/broken.json"
	nextConfig   = "internal/rwconfigdiff/testdata/to.json"
)

// writeWarning writes a configuration with a cold rate of 0, which is a warning.
func writeWarning(t *testing.T) string {
	name := filepath.Join(t.TempDir(), "config.json")
	const value = `{"version":9,"routes":[{"name":"r","host":"h","prefix":"/","kind":"safe","service":"s"}],"services":[{"name":"s","coldStartS":1}],"limits":{"idleTimeoutMs":1000}}`
	require.NoError(t, os.WriteFile(name, []byte(value), 0o600))
	return name
}

// Guards against scripts that publish a configuration in spite of errors, or that
// take a check which wasn't made for one with warnings.
func TestConfigExitStatus(t *testing.T) {
	for name, c := range map[string]struct {
		args   []string
		status int
	}{
		"valid":                {[]string{goodConfig}, 0},
		"valid, JSON":          {[]string{goodConfig, "--json"}, 0},
		"warnings, compared":   {[]string{writeWarning(t), "--against", goodConfig}, 1},
		"warnings":             {[]string{writeWarning(t)}, 1},
		"small machine":        {[]string{goodConfig, "--memory", "12"}, 1},
		"large machine":        {[]string{goodConfig, "--memory", "284"}, 0},
		"low cold bound":       {[]string{goodConfig, "--cold-overage", "0.1", "--cold-slack", "1"}, 1},
		"errors":               {[]string{badConfig}, 2},
		"rejected":             {[]string{brokenConfig}, 2},
		"same version":         {[]string{goodConfig, "--against", goodConfig}, 2},
		"invalid in force":     {[]string{goodConfig, "--against", brokenConfig}, 2},
		"missing file":         {[]string{"missing.json"}, 2},
		"missing in force":     {[]string{goodConfig, "--against", "missing.json"}, 2},
		"store is unreachable": {[]string{goodConfig, "--store", "127.0.0.1:1"}, 2},
		"two in force":         {[]string{goodConfig, "--store", "127.0.0.1:1", "--against", goodConfig}, 2},
		"unknown flag":         {[]string{goodConfig, "--odd"}, 2},
		"negative memory":      {[]string{goodConfig, "--memory", "-1"}, 2},
		"no file":              {nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := execute(t, append([]string{"config"}, c.args...)...)
			require.Equal(t, c.status, exitStatus(err), out)
			require.NotEmpty(t, out)
			require.NotContains(t, out, "secret-key")
		})
	}
}

// Guards against a comparison with something else than what the store has, and against
// an output that operators or scripts can't read.
func TestConfigAgainstStore(t *testing.T) {
	store := rwfakestore.New()
	server := httptest.NewServer(store)
	defer server.Close()
	addr := server.Listener.Addr().String()
	out, err := execute(t, "config", nextConfig, "--store", addr)
	require.Equal(t, 2, exitStatus(err))
	require.Contains(t, out, "not compared")

	inForce, err := os.ReadFile(goodConfig)
	require.NoError(t, err)
	store.Put("op/config", string(inForce))
	out, err = execute(t, "config", nextConfig, "--store", addr)
	require.Equal(t, 2, exitStatus(err))
	require.NotContains(t, out, "secret-key")
	goldie.New(t).Assert(t, "config", []byte(out))

	asFile, err := execute(t, "config", nextConfig, "--against", goodConfig)
	require.Equal(t, 2, exitStatus(err))
	require.Equal(t, out, asFile)

	out, err = execute(t, "config", nextConfig, "--store", addr, "--json")
	require.Equal(t, 2, exitStatus(err))
	require.NotContains(t, out, "secret-key")
	require.True(t, json.Valid([]byte(out)))
	goldie.New(t).Assert(t, "config_json", []byte(out))
}

// Guards against lists that are null in JSON if they are empty.
func TestConfigWithoutFindingsAsJSON(t *testing.T) {
	out, err := execute(t, "config", goodConfig, "--json")
	require.NoError(t, err)
	require.JSONEq(t, `{"version":7,"errors":0,"warnings":0,"findings":[],"comparedWith":null,"differences":[]}`, out)
}
