package main

// The published configuration, as PROTOCOL.md and `fleetbench wire` show it.

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	SessionAffinity bool   `json:"sessionAffinity"`
	StreamResume    bool   `json:"streamResume"`
	GapTargetMs     int    `json:"gapTargetMs,omitempty"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

type config struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []tenant         `json:"tenants"`
}

const (
	modelService = "drafts-1"
	deskService  = "desk-1"
)

// baseConfig has the routes of the sheet of pero-sayuz: a stream that may be resumed,
// one that may not, orders and their status.
func baseConfig(tenants []tenant) config {
	return config{
		Version: 7,
		Routes: []route{
			{Name: "r-folio", Host: hostName, Prefix: "/folio/", Kind: "stream", TimeoutMs: 8000, TargetLatencyMs: 400, Priority: 1, Service: modelService, MaxAttempts: 2, SessionAffinity: true, StreamResume: true, GapTargetMs: 300},
			{Name: "r-reply", Host: hostName, Prefix: "/reply/", Kind: "stream", TimeoutMs: 10000, TargetLatencyMs: 300, Priority: 1, Service: modelService, MaxAttempts: 2, SessionAffinity: true, StreamResume: true, GapTargetMs: 300},
			{Name: "r-verse", Host: hostName, Prefix: "/verse/", Kind: "stream", TimeoutMs: 5000, TargetLatencyMs: 400, Priority: 1, Service: modelService, MaxAttempts: 1, SessionAffinity: true, GapTargetMs: 300},
			{Name: "r-order", Host: hostName, Prefix: "/order/", Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Service: deskService, MaxAttempts: 1, Public: false},
			{Name: "r-status", Host: hostName, Prefix: "/status/", Kind: "safe", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Service: deskService, MaxAttempts: 2, Public: false},
		},
		Services: []map[string]any{
			{"name": modelService, "healthCheckPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 128, "kvCapacityTokens": 1364233, "kvTokenBytes": 18432, "linkMbps": 370000.0, "moves": true, "backups": true,
				"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			{"name": deskService, "healthCheckPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		Limits:  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 840000},
		Tenants: tenants,
	}
}
