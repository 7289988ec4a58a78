package rwflow_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwflow"
)

// Guards against renamed keys in the file of rwload --flows, which users write:
// encoding/json ignores unknown keys, so a closed loop would send nothing.
func TestFile(t *testing.T) {
	const file = `[
		{"Account":"a","CallerKey":"c","Kind":"k","Pool":"p","Engine":true,"Waiting":3,"MinTokens":1,"MaxTokens":9,"Prompts":2,"Hints":true},
		{"Account":"b","CallerKey":"d","Kind":"l","Pool":"q","Rate":2.5,"Keyed":true,"Deadline":1000000000}
	]`
	var got []rwflow.Flow
	require.NoError(t, json.Unmarshal([]byte(file), &got))
	require.Equal(t, []rwflow.Flow{
		{Account: "a", CallerKey: "c", Kind: "k", Pool: "p", Engine: true, Concurrency: 3, MinTokens: 1, MaxTokens: 9, Prompts: 2, Hints: true},
		{Account: "b", CallerKey: "d", Kind: "l", Pool: "q", Rate: 2.5, Keyed: true, Deadline: time.Second},
	}, got)
}
