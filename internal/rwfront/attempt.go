package rwfront

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconn"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwexchange"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwssereader"
)

// attempt sends the request to one upstream and passes its answer on. It
// returns a fault unless the caller has a whole answer.
func (f *Handler) attempt(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, p destination) (rwplacement.End, *rwfault.Fault) {
	// A pending exchange ends with this function, whatever its result.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := f.Pool.Do(ctx, f.upstreamRequest(x, p))
	if err != nil {
		fault := rwfault.From(err)
		if fault.Outcome != rwoutcome.NotRun {
			x.Sent++
			x.Ran++
		}
		return endFor(fault), fault
	}
	defer answer.Close()
	x.Sent++
	switch j := answer.Info; {
	case j.WrongInstance:
		drain(answer)
		return rwplacement.Unreachable, rwfault.New(rwcode.UpstreamMismatch, "another upstream has the address")
	case j.NotRun:
		drain(answer)
		return rwplacement.Refused, rwfault.New(rwcode.UpstreamRefused, p.id)
	}
	x.Ran++
	x.KeepAlive = answer.Info.KeepAlive
	if x.Route.Kind == rwrouteconfig.Stream && answer.HTTP.StatusCode == http.StatusOK {
		return f.forwardStream(ctx, w, x, p, answer)
	}
	return f.forwardWhole(ctx, w, x, answer)
}

func (f *Handler) upstreamRequest(x *rwexchange.Exchange, p destination) rwconn.Request {
	q := x.Request
	after := q.LastEventID
	if x.LastEventID >= 0 {
		after = strconv.FormatInt(x.LastEventID, 10)
	}
	return rwconn.Request{
		Key:    rwconn.Key{ID: p.id, Addr: p.addr, StartMillis: p.startMillis},
		Method: q.Method, Target: q.Target, Host: q.Host, Body: q.Body, ID: q.ID,
		Header: f.Dialect.Encode(q, rwdialect.ForwardOptions{
			Account: x.Account.Name, Instance: p.id, TimeLeft: time.Until(x.Deadline), LastEventID: after, CopySource: p.copySource,
		}),
	}
}

// drain reads the short body of a refusal, so that the connection can be kept.
func drain(a *rwconn.Response) {
	const most = 64 << 10
	_, _ = io.CopyN(io.Discard, a.Body(), most)
}

// endFor says what a fault means for the upstream.
func endFor(fault *rwfault.Fault) rwplacement.End {
	switch fault.Code {
	case rwcode.CallerGone, rwcode.DeadlineExceeded:
		return rwplacement.Abandoned
	case rwcode.UpstreamUnreachable:
		return rwplacement.Unreachable
	default:
		return rwplacement.Failed
	}
}

// outcomeUnknown is the fault of an attempt that may have run.
func outcomeUnknown(ctx context.Context, code rwcode.Code, err error) *rwfault.Fault {
	if f := rwfault.FromContext(ctx); f != nil {
		return f.WithOutcome(rwoutcome.Unknown)
	}
	return rwfault.Wrap(code, err).WithOutcome(rwoutcome.Unknown)
}

// forwardWhole passes an answer on that is not a stream, once all of it is there.
func (f *Handler) forwardWhole(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, a *rwconn.Response) (rwplacement.End, *rwfault.Fault) {
	body, err := io.ReadAll(io.LimitReader(a.Body(), maxResponseBytes))
	if err != nil {
		fault := outcomeUnknown(ctx, rwcode.UpstreamTruncated, err)
		return endFor(fault), fault
	}
	status := a.HTTP.StatusCode
	if !a.Info.Authentic && status < http.StatusBadRequest {
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamMalformed, "the answer is not the upstream's").
			WithOutcome(rwoutcome.Unknown)
	}
	failed := status >= http.StatusInternalServerError
	if failed && f.canTryAnother(x) {
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamFailed, strconv.Itoa(status)).WithOutcome(rwoutcome.Ran)
	}
	if x.HeadSent {
		// A resumed stream can't turn into another answer.
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamFailed, strconv.Itoa(status)).WithOutcome(rwoutcome.Ran)
	}
	f.writeHead(w, a, status, len(body))
	_, _ = w.Write(body)
	f.recordServed(x, status)
	if failed {
		return rwplacement.Failed, nil
	}
	return rwplacement.Served, nil
}

// canTryAnother reports whether a request that an upstream failed may be sent to
// another one; the failure is passed on otherwise.
func (f *Handler) canTryAnother(x *rwexchange.Exchange) bool {
	return x.Route.Retryable() && x.Ran < x.Route.MaxAttempts && x.Sent < maxUpstreams
}

// writeHead passes on the head of an answer. A negative length means chunks.
func (f *Handler) writeHead(w http.ResponseWriter, a *rwconn.Response, status, length int) {
	h := w.Header()
	closing := h.Get("Connection")
	maps.Copy(h, a.HTTP.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length"} {
		h.Del(name)
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	w.WriteHeader(status)
}

// forwardStream passes events on as they arrive. A router that has more streams than
// its machine can serve lets the events of a short time come together.
func (f *Handler) forwardStream(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, p destination, a *rwconn.Response) (rwplacement.End, *rwfault.Fault) {
	if !a.Info.Authentic {
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamMalformed, "the answer is not the upstream's").
			WithOutcome(rwoutcome.Unknown)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(x.Deadline.Add(time.Second))
	events := rwssereader.New(a.Body())
	reported := false
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !x.HeadSent {
				f.writeHead(w, a, http.StatusOK, -1)
				x.HeadSent = true
			}
			f.recordServed(x, http.StatusOK)
			return rwplacement.Served, nil
		}
		if err != nil {
			fault := outcomeUnknown(ctx, rwfault.From(err).Code, err)
			return endFor(fault), fault
		}
		if !reported {
			p.firstEvent()
			reported = true
		}
		if e.ID >= 0 && e.ID <= x.LastEventID {
			continue
		}
		if x.LastEventID >= 0 && e.ID > x.LastEventID+1 {
			return rwplacement.Failed, rwfault.New(rwcode.UpstreamMalformed, "an event is missing before "+strconv.FormatInt(e.ID, 10)).
				WithOutcome(rwoutcome.Unknown)
		}
		now := time.Now()
		if !x.HeadSent {
			f.writeHead(w, a, http.StatusOK, -1)
			x.HeadSent = true
			x.FirstEventAt, x.LastEventAt = now, now
		}
		x.MaxGap, x.LastEventAt = max(x.MaxGap, now.Sub(x.LastEventAt)), now
		if _, err := w.Write(e.Raw); err != nil {
			return rwplacement.Abandoned, rwfault.Wrap(rwcode.CallerGone, err).WithOutcome(rwoutcome.Unknown)
		}
		if e.ID >= 0 {
			x.LastEventID = e.ID
		}
		if events.Buffered() {
			continue
		}
		_ = rc.Flush()
		if pause := f.FlushDelay(); pause > 0 {
			time.Sleep(pause)
		}
	}
}

// recordServed notes a request that has its answer.
func (f *Handler) recordServed(x *rwexchange.Exchange, status int) {
	first := time.Since(x.Start)
	if !x.FirstEventAt.IsZero() {
		first = x.FirstEventAt.Sub(x.Start)
	}
	if f.ObserveLatency != nil {
		f.ObserveLatency(first)
	}
	f.Metrics.Add("served", 1)
	rwlog.Info(&f.Log, rwlog.RequestFinished).Str("id", x.Request.ID).Int("status", status).
		Str("route", x.Route.Name).Str("account", x.Account.Name).Str("upstream", x.Upstream).
		Int("attempts", x.Ran).Dur("first", first).Dur("took", time.Since(x.Start)).
		Dur("forecast", x.Decision.Forecast).Dur("gap", x.MaxGap).Int64("last", x.LastEventID).Dur("keep", x.KeepAlive).Send()
}
