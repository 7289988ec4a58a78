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
	"redwingworks.example/internal/rwcrash"
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

// crashTime is how long after the first event the end of an engine may be due to its
// response.
const crashTime = 300 * time.Millisecond

// attempt sends the request to one upstream and forwards the response. It
// returns a fault unless the caller has a complete response.
func (f *Handler) attempt(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, dest destination) (rwplacement.End, *rwfault.Fault) {
	// The exchange with the upstream ends when this function returns, whatever
	// its result.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := time.Now()
	x.AttemptEvents, x.AttemptEventAt = 0, time.Time{}
	resp, err := f.Pool.Do(ctx, f.upstreamRequest(x, dest))
	if err != nil {
		fault := rwfault.From(err)
		if fault.Outcome != rwoutcome.NotRun {
			x.Sent++
			x.Ran++
		}
		if fault.Code == rwcode.UpstreamTruncated && x.Engine != nil {
			f.noteBroken(x, dest, false)
		}
		return endFor(fault), fault
	}
	defer resp.Close()
	x.Sent++
	f.noteRetryAfter(dest, resp.Info.RetryAfter)
	switch info := resp.Info; {
	case info.WrongInstance:
		drain(resp)
		return rwplacement.Unreachable, rwfault.New(rwcode.UpstreamMismatch, "another instance has the address")
	case info.NotRun:
		drain(resp)
		return rwplacement.Refused, rwfault.New(rwcode.UpstreamRefused, dest.id)
	}
	if f.Alive != nil && x.Engine != nil {
		f.Alive(x.Service, dest.id, dest.startMillis, sent)
	}
	x.Ran++
	x.KeepAlive = resp.Info.KeepAlive
	var end rwplacement.End
	var fault *rwfault.Fault
	if x.Route.Kind == rwrouteconfig.Stream && resp.HTTP.StatusCode == http.StatusOK {
		end, fault = f.forwardStream(ctx, w, x, dest, resp)
	} else {
		end, fault = f.forwardResponse(ctx, w, x, resp)
	}
	if fault != nil && fault.Code == rwcode.UpstreamTruncated && x.Engine != nil {
		f.noteBroken(x, dest, true)
	}
	return end, fault
}

// noteBroken logs a connection to an engine that broke off, before or within the
// response, and reports a crash of the engine if no more than the first events had
// arrived. What an engine wrote last may be lost with its connection.
func (f *Handler) noteBroken(x *rwexchange.Exchange, dest destination, hasHead bool) {
	since := time.Duration(0)
	if !x.AttemptEventAt.IsZero() {
		since = time.Since(x.AttemptEventAt)
	}
	prompt := x.Request.Prompt
	ids := prompt.SharedIDs()
	if f.Crashed != nil && since < crashTime && len(ids) > 0 {
		f.Crashed(rwcrash.Crash{
			Service: x.Service, Upstream: dest.id, StartMillis: dest.startMillis,
			Trial: x.Trial, Prompt: prompt.OwnID(), Parts: ids,
		})
	}
	f.addRequest(rwlog.Info(&f.Log, rwlog.ResponseBroken), x).Str("service", x.Service).Str("upstream", dest.id).
		Int64("born", dest.startMillis).Bool("head", hasHead).Int("events", x.AttemptEvents).Dur("since", since).
		Strs("parts", ids).Send()
}

// noteWritten reports that a response was written on the parts of the prompt.
func (f *Handler) noteWritten(x *rwexchange.Exchange) {
	if ids := x.Request.Prompt.SharedIDs(); f.ResponseWritten != nil && x.Engine != nil && len(ids) > 0 {
		f.ResponseWritten(x.Service, ids)
	}
}

func (f *Handler) upstreamRequest(x *rwexchange.Exchange, dest destination) rwconn.Request {
	q := x.Request
	after := q.LastEventID
	if x.LastEventID >= 0 {
		after = strconv.FormatInt(x.LastEventID, 10)
	}
	return rwconn.Request{
		Key:      rwconn.Key{ID: dest.id, Addr: dest.addr, StartMillis: dest.startMillis},
		NotAfter: dest.notAfter,
		Method:   q.Method, Target: q.Target, Host: q.Host, Body: q.Body, ID: q.ID,
		Header: f.Dialect.Encode(q, rwdialect.ForwardOptions{
			Account: x.Account.Name, Instance: dest.id, TimeLeft: time.Until(x.Deadline), LastEventID: after, CopySource: dest.copySource,
		}),
	}
}

// drain reads the short body of a refusal, so that the connection can be
// reused. A connection that ends with the response can't be.
func drain(resp *rwconn.Response) {
	const maxBytes = 64 << 10
	if !resp.EndsWithConnection() {
		_, _ = io.CopyN(io.Discard, resp.Body(), maxBytes)
	}
}

// endFor returns the end of a request on its upstream for a fault.
func endFor(fault *rwfault.Fault) rwplacement.End {
	switch fault.Code {
	case rwcode.CallerGone, rwcode.DeadlineExceeded, rwcode.GrantExpired:
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

// forwardResponse forwards a response that is not a stream. It is buffered up to
// maxBufferedBytes, or less if memory is short, so that the request can still be sent to
// another upstream if the response breaks off before its end.
func (f *Handler) forwardResponse(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, resp *rwconn.Response) (rwplacement.End, *rwfault.Fault) {
	buffered, taken, whole, err := bufferResponse(resp.Body(), x.Memory)
	defer func() { x.Memory.Grow(time.Now(), -taken) }()
	if err != nil {
		fault := outcomeUnknown(ctx, rwcode.UpstreamTruncated, err)
		return endFor(fault), fault
	}
	status := resp.HTTP.StatusCode
	if !resp.Info.Authentic && (status < http.StatusBadRequest || resp.Info.RequestID == "") {
		// Additional bytes can look like a failure; an upstream names the request.
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamMalformed, "response is not authentic").
			WithOutcome(rwoutcome.Unknown)
	}
	failed := status >= http.StatusInternalServerError || claimsNotRun(status)
	if failed && f.canTryAnother(x) {
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamFailed, strconv.Itoa(status)).WithOutcome(rwoutcome.Ran)
	}
	if claimsNotRun(status) && !x.Route.Retryable() {
		// The upstream has not said that the request didn't run.
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamFailed, strconv.Itoa(status)).WithOutcome(rwoutcome.Unknown)
	}
	if x.HeadSent {
		// A resumed stream can't turn into a different response.
		return rwplacement.Failed, rwfault.New(rwcode.UpstreamFailed, strconv.Itoa(status)).WithOutcome(rwoutcome.Ran)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(x.Deadline.Add(writeSlack))
	f.writeHead(ctx, w, x, resp, status)
	if err := writeBuffered(w, x.Memory, buffered); err != nil {
		return rwplacement.Abandoned, rwfault.Wrap(rwcode.CallerGone, err).WithOutcome(rwoutcome.Unknown)
	}
	if !whole {
		if fault := f.forwardRest(ctx, w, x, resp, len(buffered)); fault != nil {
			return endFor(fault), fault
		}
	}
	f.recordServed(ctx, x, status)
	if failed {
		return rwplacement.Failed, nil
	}
	return rwplacement.Served, nil
}

// claimsNotRun reports whether callers take a status as a promise that the request
// has not run and will not.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// forwardRest forwards the part of a response's body that was not buffered, after total
// bytes that were.
func (f *Handler) forwardRest(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, resp *rwconn.Response, total int) *rwfault.Fault {
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body().Read(buf)
		if total += n; total > maxResponseBytes {
			return rwfault.New(rwcode.UpstreamMalformed, "response is too long").WithOutcome(rwoutcome.Unknown)
		}
		if n > 0 {
			if err := writePart(w, x.Memory, buf[:n]); err != nil {
				return rwfault.Wrap(rwcode.CallerGone, err).WithOutcome(rwoutcome.Unknown)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return outcomeUnknown(ctx, rwcode.UpstreamTruncated, err)
		}
	}
}

// canTryAnother reports whether a request that failed at an upstream may be
// sent to another one. Otherwise the failure is forwarded to the caller.
func (f *Handler) canTryAnother(x *rwexchange.Exchange) bool {
	return x.Route.Retryable() && x.Ran < x.Route.MaxAttempts && x.Sent < maxUpstreams
}

// writeHead forwards the head of a response. The caller's response is framed as the
// upstream's is: with its length, with chunks, or with neither, so that it ends with
// the connection. A frame of its own would declare complete what the router can't
// know to be complete. A stream never has a length, since a part of its events may
// come from another upstream.
func (f *Handler) writeHead(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, resp *rwconn.Response, status int) {
	h := w.Header()
	closing := h.Get("Connection")
	maps.Copy(h, resp.HTTP.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade"} {
		h.Del(name)
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	framed := resp.HTTP.Body == http.NoBody || resp.HTTP.ContentLength >= 0
	if x.Route.Kind == rwrouteconfig.Stream && status == http.StatusOK {
		framed = false
	}
	if !framed {
		h.Del("Content-Length")
	}
	if resp.EndsWithConnection() {
		// net/http then sends no chunks and closes the connection.
		h.Set("Transfer-Encoding", "identity")
	}
	x.HeadSent = true
	x.EndsWithConnection = !framed && (x.OldProtocol || resp.EndsWithConnection())
	if x.EndsWithConnection {
		f.ResetOnClose(ctx, true)
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
	_ = rc.SetWriteDeadline(x.Deadline.Add(writeSlack))
	events := rwssereader.New(resp.Body())
	resumed := x.HeadSent
	reported, written := false, false
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if fault := endOfStream(x, resp, reported); fault != nil {
				return endFor(fault), fault
			}
			if !x.HeadSent {
				f.writeHead(ctx, w, x, resp, http.StatusOK)
			}
			f.recordServed(ctx, x, http.StatusOK)
			return rwplacement.Served, nil
		}
		if err != nil {
			fault := outcomeUnknown(ctx, rwfault.From(err).Code, err)
			return endFor(fault), fault
		}
		if resumed && e.Comment {
			continue
		}
		if (resumed || x.ResumesStream()) && !e.Comment && (e.Malformed || e.ID < 0) {
			return rwplacement.Failed, rwfault.New(rwcode.UpstreamMalformed, "no event of the stream").WithOutcome(rwoutcome.Unknown)
		}
		x.AttemptEvents++
		if !written && x.AttemptEvents > 1 && time.Since(x.AttemptEventAt) >= crashTime {
			written = true
			f.noteWritten(x)
		}
		if !reported {
			x.AttemptEventAt = time.Now()
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
			f.writeHead(ctx, w, x, resp, http.StatusOK)
			x.FirstEventAt, x.LastEventAt = now, now
		}
		x.MaxGap, x.LastEventAt = max(x.MaxGap, now.Sub(x.LastEventAt)), now
		if err := writePart(w, x.Memory, e.Raw); err != nil {
			return rwplacement.Abandoned, rwfault.Wrap(rwcode.CallerGone, err).WithOutcome(rwoutcome.Unknown)
		}
		if e.ID >= 0 {
			x.LastEventID = e.ID
		}
		if events.Buffered() {
			continue
		}
		if err := writeToCaller(w, x.Memory, rc.Flush); errors.Is(err, errUnread) {
			return rwplacement.Abandoned, rwfault.Wrap(rwcode.CallerGone, err).WithOutcome(rwoutcome.Unknown)
		}
		if delay := f.FlushDelay(); delay > 0 {
			time.Sleep(delay)
		}
	}
}

// endOfStream returns the fault of a stream that ended between two events, or nil if
// its end may be passed on. A whole response without an event doesn't complete a stream
// that was resumed here. The end of a connection doesn't show whether the stream
// is complete: it can't be passed on as the end of a response with chunks, and a
// response without an event is taken for broken off, unless the caller resumes a
// stream of which it may have all events.
func endOfStream(x *rwexchange.Exchange, resp *rwconn.Response, hasEvents bool) *rwfault.Fault {
	if x.HeadSent && !hasEvents {
		return rwfault.New(rwcode.UpstreamTruncated, "the stream was resumed, and the response has no event").
			WithOutcome(rwoutcome.Unknown)
	}
	if !resp.EndsWithConnection() {
		return nil
	}
	if x.HeadSent && !x.EndsWithConnection || !hasEvents && !x.ResumesStream() {
		return rwfault.New(rwcode.UpstreamTruncated, "the connection ended, and the response has neither a length nor chunks").
			WithOutcome(rwoutcome.Unknown)
	}
	return nil
}

// recordServed counts and logs a request whose response was forwarded.
func (f *Handler) recordServed(ctx context.Context, x *rwexchange.Exchange, status int) {
	if x.EndsWithConnection {
		f.ResetOnClose(ctx, false)
	}
	first := time.Since(x.Start)
	if !x.FirstEventAt.IsZero() {
		first = x.FirstEventAt.Sub(x.Start)
	}
	if f.ObserveLatency != nil {
		f.ObserveLatency(first)
	}
	f.Metrics.Add("served", 1)
	if status == http.StatusOK {
		f.noteWritten(x)
	}
	f.count(x, "served")
	f.addRequest(rwlog.Info(&f.Log, rwlog.RequestFinished), x).Int("status", status).
		Str("route", x.Route.Name).Str("account", x.Account.Name).Str("upstream", x.Upstream).
		Int("attempts", x.Ran).Dur("first", first).Dur("took", time.Since(x.Start)).
		Dur("forecast", x.Decision.Forecast).Dur("gap", x.MaxGap).Int64("last", x.LastEventID).Dur("keep", x.KeepAlive).Bool("unframed", x.EndsWithConnection).Send()
}
