// Package rwview defines the status document that a router serves to operators
// at /v1/view.
package rwview

// View is the status of one router and of the fleet as the router sees it. All
// lists are sorted by name.
type View struct {
	// Router is the router's name; Inc its incarnation in microseconds.
	Router string `json:"router"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Inc    int64  `json:"inc"`
	Policy string `json:"policy"`
	// Ready reports whether the load balancer may send requests, Draining
	// whether new requests are refused.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Rev is the highest configuration revision seen, InvalidRecords the number
	// of records whose latest revision is invalid and not applied, PlatformUp
	// whether the last call of the platform succeeded.
	Rev            int64 `json:"rev"`
	InvalidRecords int   `json:"aside"`
	PlatformUp     bool  `json:"platform"`
	// Waiting and Running count this router's requests.
	Waiting   int        `json:"waiting"`
	Running   int        `json:"running"`
	Members   []Member   `json:"members"`
	Cells     []Cell     `json:"cells"`
	Upstreams []Upstream `json:"upstreams"`
	Accounts  []Account  `json:"accounts"`
}

// Member is a router as this one sees it.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// State is "alive" (suspects included), "leaving" or "dead". A published VM
	// that was never a member is "dead" too.
	State string `json:"state"`
	Inc   int64  `json:"inc"`
}

// Cell is a cell of upstreams. Owner is the router that schedules it.
type Cell struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	Owner string `json:"owner"`
}

// Upstream is an upstream. Window and Running are known for upstreams of cells
// that this router schedules and are 0 for others.
type Upstream struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	// State is "live" or "leaving".
	State   string `json:"state"`
	Window  int    `json:"window"`
	Running int    `json:"running"`
}

// Account is a client account in one pool.
type Account struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Weight is in thousandths of a share.
	Weight int `json:"weight"`
	// Service is the cost charged to the account in the cells of the pool that
	// this router schedules, in cost units. VirtualTime is the highest virtual
	// time of the account in these cells, in cost units per share.
	Service     float64 `json:"service"`
	VirtualTime float64 `json:"virtual"`
	// Backlog is the number of requests that wait at all routers for the cells
	// that this router schedules, Running the number of its grants in use.
	Backlog int `json:"backlog"`
	Running int `json:"running"`
}
