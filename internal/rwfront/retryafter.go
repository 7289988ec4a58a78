package rwfront

import (
	"slices"
	"time"

	"redwingworks.example/internal/rwexchange"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwretryafter"
)

// maxUnwantingGrants is how many grants of engines that want no requests from this
// router a request may get before it is refused. Each costs a round trip to the owner.
const maxUnwantingGrants = 3

// unwantingDetail follows the name of a service in the faults of requests that were not
// sent because upstreams want none from this router.
const unwantingDetail = ": upstreams want no requests"

// noteRetryAfter records that an upstream wants no requests from this router for a
// time, if there is one.
func (f *Handler) noteRetryAfter(dest destination, d time.Duration) {
	if d <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retryAfter == nil {
		f.retryAfter = rwretryafter.New()
	}
	f.retryAfter.Add(time.Now(), dest.id, dest.startMillis, d)
	f.Metrics.Add("upstream_retry_after", 1)
}

// wantsRequests reports whether an upstream wants requests from this router. The caller
// must hold the lock.
func (f *Handler) wantsRequests(now time.Time, in rwinstance.Instance) bool {
	return f.retryAfter == nil || f.retryAfter.Left(now, in.ID, in.StartMillis) == 0
}

// wanting returns those of the upstreams that want requests from this router. The
// caller must hold the lock.
func (f *Handler) wanting(now time.Time, list []rwinstance.Instance) []rwinstance.Instance {
	unwanting := func(in rwinstance.Instance) bool { return !f.wantsRequests(now, in) }
	if !slices.ContainsFunc(list, unwanting) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), unwanting)
}

// withoutUnwanting returns a request for an engine that avoids those which want no
// requests from this router. It reports false if there is none left.
func (f *Handler) withoutUnwanting(x *rwexchange.Exchange, r rwplacement.Request) (rwplacement.Request, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retryAfter == nil {
		return r, true
	}
	now := time.Now()
	avoid, left := slices.Clone(r.Avoid), false
	for _, in := range x.Suitable(f.Published().Usable(x.Service)) {
		if !f.wantsRequests(now, in) {
			avoid = append(avoid, in.ID)
		} else if !x.Avoids(in.ID) {
			left = true
		}
	}
	if len(avoid) == len(r.Avoid) {
		return r, true
	}
	r.Avoid = avoid
	return r, left
}
