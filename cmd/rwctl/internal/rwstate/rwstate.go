// Package rwstate reads the state that a router serves to operators.
package rwstate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwview"
)

// maxResponseBytes bounds a response. The view of a fleet with 380 nodes, 600 servers
// and 3,100 accounts is about 1 MB.
const maxResponseBytes = 16 << 20

// State is the view and the counters of one router at about the same time.
type State struct {
	View rwview.View
	// Refusals, Retries and Denied are counts by code; Denied counts retries
	// refused by the retry budget.
	Refusals map[string]int64
	Retries  map[string]int64
	Denied   map[string]int64
}

// Read reads the state from a router's operations address. It fails with
// NotReady.
func Read(ctx context.Context, addr string) (State, error) {
	var s State
	if err := get(ctx, "http://"+addr+"/v1/view", &s.View); err != nil {
		return s, err
	}
	var vars struct {
		Refusals map[string]int64 `json:"refusals"`
		Retries  map[string]int64 `json:"retries"`
		Denied   map[string]int64 `json:"denied"`
	}
	err := get(ctx, "http://"+addr+"/debug/vars", &vars)
	s.Refusals, s.Retries, s.Denied = vars.Refusals, vars.Retries, vars.Denied
	return s, err
}

func get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return rwfault.Wrap(rwcode.NotReady, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return rwfault.Wrap(rwcode.NotReady, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return rwfault.New(rwcode.NotReady, url+": "+resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return rwfault.Wrap(rwcode.NotReady, err).WithDetail(url)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return rwfault.Wrap(rwcode.NotReady, err).WithDetail(url)
	}
	return nil
}
