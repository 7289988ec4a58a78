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
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwssereader"
)

// attempt sends the request to one upstream and forwards the response. It
// returns a fault unless the caller has a complete response.
func (f *Handler) attempt(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, dest destination) (rwplacement.End, *rwfault.Fault) {
	// The exchange with the upstream ends when this function returns, whatever
	// its result.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := f.Pool.Do(ctx, f.upstreamRequest(x, dest))
	if err != nil {
		fault := rwfault.From(err)
		if fault.Outcome != rwoutcome.NotRun {
			x.Sent++
			x.Ran++
		}
		return endFor(fault), fault
	}
	defer resp.Close()
	x.Sent++
	switch info := resp.Info; {
	case info.WrongInstance:
		drain(resp)
		return rwplacement.Unreachable, rwfault.New(rwcode.UpstreamMismatch, "another instance has the address")
	case info.NotRun:
		drain(resp)
		return rwplacement.Refused, rwfault.New(rwcode.UpstreamRefused, dest.id)
	}
	x.Ran++
	x.KeepAlive = resp.Info.KeepAlive
	if x.Route.Kind == rwrouteconfig.Stream && resp.HTTP.StatusCode == http.StatusOK {
		return f.forwardStream(ctx, w, x, dest, resp)
	}
	return f.forwardBuffered(ctx, w, x, resp)
}

func (f *Handler) upstreamRequest(x *rwexchange.Exchange, dest destination) rwconn.Request {
	q := x.Request
	after := q.LastEventID
	if x.LastEventID >= 0 {
		after = strconv.FormatInt(x.LastEventID, 10)
	}
	return rwconn.Request{
		Key:    rwconn.Key{ID: dest.id, Addr: dest.addr, StartMillis: dest.startMillis},
		Method: q.Method, Target: q.Target, Host: q.Host, Body: q.Body, ID: q.ID,
		Header: f.Dialect.Encode(q, rwdialect.ForwardOptions{
			Account: x.Account.Name, Instance: dest.id, TimeLeft: time.Until(x.Deadline), LastEventID: after, CopySource: dest.copySource,
		}),
	}
}

// drain reads the short body of a refusal, so that the connection can be
// reused.
func drain(resp *rwconn.Response) {
	const maxBytes = 64 << 10
	_, _ = io.CopyN(io.Discard, resp.Body(), maxBytes)
}

// endFor returns the end of a request on its upstream for a fault.
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

// outcomeUnknown returns the fault of an attempt that may have run.
func outcomeUnknown(ctx context.Context, code rwcode.Code, err error) *rwfault.Fault {
	if f := rwfault.FromContext(ctx); f != nil {
		return f.WithOutcome(rwoutcome.Unknown)
	}
	return rwfault.Wrap(code, err).WithOutcome(rwoutcome.Unknown)
}

// forwardBuffered forwards a response that is not a stream once it is complete.
func (f *Handler) forwardBuffered(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, resp *rwconn.Response) (rwplacement.End, *rwfault.Fault) {
	body, err := io.ReadAll(io.LimitReader(resp.Body(), maxResponseBytes))
	if err != nil {
		fault := outcomeUnknown(ctx, rwcode.UpstreamTruncated, err)
		return endFor(fault), fault
	}
	status := resp.HTTP.StatusCode
	if !resp.Info.Authentic && status < http.StatusBadRequest {
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamMalformed, "response is not authentic").
			WithOutcome(rwoutcome.Unknown)
	}
	failed := status >= http.StatusInternalServerError
	if failed && f.canTryAnother(x) {
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamFailed, strconv.Itoa(status)).WithOutcome(rwoutcome.Ran)
	}
	if x.HeadSent {
		// A resumed stream can't turn into a different response.
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamFailed, strconv.Itoa(status)).WithOutcome(rwoutcome.Ran)
	}
	f.writeHead(w, resp, status, len(body))
	_, _ = w.Write(body)
	f.recordServed(x, status)
	if failed {
		return rwplacement.Failed, nil
	}
	return rwplacement.Served, nil
}

// canTryAnother reports whether a request that failed at an upstream may be
// sent to another one. Otherwise the failure is forwarded to the caller.
func (f *Handler) canTryAnother(x *rwexchange.Exchange) bool {
	return x.Route.Retryable() && x.Ran < x.Route.MaxAttempts && x.Sent < maxUpstreams
}

// writeHead forwards the head of a response. A negative length means chunked
// encoding.
func (f *Handler) writeHead(w http.ResponseWriter, resp *rwconn.Response, status, length int) {
	h := w.Header()
	closing := h.Get("Connection")
	maps.Copy(h, resp.HTTP.Header)
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

// forwardStream forwards events as they arrive. If the machine is short of CPU
// time, events are collected for FlushDelay and written together.
func (f *Handler) forwardStream(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, dest destination, resp *rwconn.Response) (rwplacement.End, *rwfault.Fault) {
	if !resp.Info.Authentic {
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamMalformed, "response is not authentic").
			WithOutcome(rwoutcome.Unknown)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(x.Deadline.Add(time.Second))
	events := rwssereader.New(resp.Body())
	reported := false
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !x.HeadSent {
				f.writeHead(w, resp, http.StatusOK, -1)
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
			dest.firstEvent()
			reported = true
			x.Software = dest.software
			f.Begun(x.StreamID(), rworigin.Origin{
				Service: x.Service, Software: x.Software, Upstream: dest.id, StartMillis: dest.startMillis,
			})
		}
		if e.ID >= 0 && e.ID <= x.LastEventID {
			continue
		}
		if x.LastEventID >= 0 && e.ID > x.LastEventID+1 {
			return rwplacement.Failed, rwfault.New(rwcode.UpstreamMalformed, "missing event before "+strconv.FormatInt(e.ID, 10)).
				WithOutcome(rwoutcome.Unknown)
		}
		now := time.Now()
		if !x.HeadSent {
			f.writeHead(w, resp, http.StatusOK, -1)
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
		if delay := f.FlushDelay(); delay > 0 {
			time.Sleep(delay)
		}
	}
}

// recordServed counts and logs a request whose response was forwarded.
func (f *Handler) recordServed(x *rwexchange.Exchange, status int) {
	first := time.Since(x.Start)
	if !x.FirstEventAt.IsZero() {
		first = x.FirstEventAt.Sub(x.Start)
	}
	if f.ObserveLatency != nil {
		f.ObserveLatency(first)
	}
	f.Metrics.Add("served", 1)
	f.addRequest(rwlog.Info(&f.Log, rwlog.RequestFinished), x).Int("status", status).
		Str("route", x.Route.Name).Str("account", x.Account.Name).Str("upstream", x.Upstream).
		Int("attempts", x.Ran).Dur("first", first).Dur("took", time.Since(x.Start)).
		Dur("forecast", x.Decision.Forecast).Dur("gap", x.MaxGap).Int64("last", x.LastEventID).Dur("keep", x.KeepAlive).Send()
}
