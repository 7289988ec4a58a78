// Package rwview is what a router shows to operators at /v1/view.
package rwview

// View is the state of one router as it sees itself and the fleet. Lists are
// sorted by name.
type View struct {
	// Router is the router's name; Inc its incarnation in microseconds.
	Router string `json:"router"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Inc    int64  `json:"inc"`
	Policy string `json:"policy"`
	// Ready is whether the balancer may send requests, Draining whether new
	// requests are refused.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Rev is the highest revision of the configuration in force, Aside the
	// number of records set aside, Platform whether the platform answers.
	Rev            int64 `json:"rev"`
	InvalidRecords int   `json:"aside"`
	PlatformUp     bool  `json:"platform"`
	// Waiting and Running are this router's requests.
	Waiting   int        `json:"waiting"`
	Running   int        `json:"running"`
	Members   []Member   `json:"members"`
	Cells     []Cell     `json:"cells"`
	Upstreams []Upstream `json:"upstreams"`
	Accounts  []Account  `json:"accounts"`
}

// Member is another router as this one sees it.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// State is "alive", "suspect", "leaving" or "dead".
	State string `json:"state"`
	Inc   int64  `json:"inc"`
}

// Cell is a cell of upstreams and the router that schedules it.
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
	// State is "live", "leaving" or "failing" (backed off).
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
	// Service is what the account received in the pool as far as this router
	// knows, in cost units; Virtual is that divided by its share.
	Service     float64 `json:"service"`
	VirtualTime float64 `json:"virtual"`
	// Backlog is the number of requests waiting at this router, Running the
	// number that are on an upstream.
	Backlog int `json:"backlog"`
	Running int `json:"running"`
}
