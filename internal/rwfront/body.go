package rwfront

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"redwingworks.example/internal/rwbody"
	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwexchange"
	"redwingworks.example/internal/rwfault"
)

const (
	// includedBodyBytes is the part of a body, and of what is buffered of a response, that
	// the memory of any request in progress includes; only what is beyond takes memory of
	// the budget. A body of 60 KiB whose length is not announced needs it while its
	// segments are joined.
	includedBodyBytes = 128 << 10
	// maxDiscardedBytes and lingerTime bound what is read of a body after its refusal.
	maxDiscardedBytes = 16 << 20
)

// openMemory returns the claim of a request on the budget. If others take its memory,
// its read of the body ends at once.
func (f *Handler) openMemory(w http.ResponseWriter) *rwbudget.Claim {
	return f.Memory.Open(time.Now(), "bodies", includedBodyBytes, func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}

// endAfterResponse closes the connection after the response and bounds how long the
// rest of the body is read. Otherwise net/http would read it before it sends the
// response, and without a deadline would wait for it forever.
func endAfterResponse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
}

// refuseAndDiscard refuses a request whose body finds no memory, and reads on for a
// short time without keeping anything: many callers send a whole body before they read,
// and lose the refusal if the connection is reset while they send.
func (f *Handler) refuseAndDiscard(w http.ResponseWriter, r *http.Request, x *rwexchange.Exchange, fault *rwfault.Fault) {
	x.Memory.Close()
	rc := http.NewResponseController(w)
	// HTTP/2, which has no such reset, doesn't need it and fails.
	_ = rc.EnableFullDuplex()
	f.refuse(w, x, fault)
	_ = rc.Flush()
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}

// readBody reads the body of a request up to a limit, or of any length for 0.
func (f *Handler) readBody(w http.ResponseWriter, r *http.Request, x *rwexchange.Exchange, limit int64) *rwfault.Fault {
	x.Memory = f.openMemory(w)
	x.Memory.Join(x.Service)
	if r.ContentLength == 0 {
		x.Memory.Pin()
		return nil
	}
	rc := http.NewResponseController(w)
	// net/http resets the deadline at the end of the body.
	_ = rc.SetReadDeadline(x.Start.Add(cmp.Or(f.BodyTimeout, defaultBodyTimeout)))
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	// A drain that cancels the request also ends the read, which doesn't look at
	// the context. After other cancellations, the read fails by itself.
	stop := context.AfterFunc(r.Context(), func() {
		if cancelled(r.Context()) != nil {
			_ = rc.SetReadDeadline(time.Now())
		}
	})
	defer stop()
	data, err := rwbody.Read(body, r.ContentLength, x.Memory)
	if !x.Memory.Pin() {
		err = rwbody.ErrNoMemory
	}
	if err != nil {
		endAfterResponse(w)
		return bodyFault(r, err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	x.Request.Body = data
	return nil
}

// bodyFault returns the fault for an error of reading a body.
func bodyFault(r *http.Request, err error) *rwfault.Fault {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, rwbody.ErrNoMemory):
		return rwfault.Wrap(rwcode.TooManyRequests, err).WithRetryAfter(overloadRetryAfter)
	case errors.As(err, &tooLarge):
		return rwfault.Wrap(rwcode.BodyTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		if fault := cancelled(r.Context()); fault != nil {
			return fault
		}
		// net/http cancels the context of the request after each read error, so
		// that alone doesn't mean that the caller has left.
		return rwfault.Wrap(rwcode.SlowBody, err)
	case r.Context().Err() != nil:
		return rwfault.Wrap(rwcode.CallerGone, err)
	default:
		return rwfault.Wrap(rwcode.SlowBody, err)
	}
}

// cancelled returns the fault with which the router itself cancelled the context of
// a request, or nil.
func cancelled(ctx context.Context) *rwfault.Fault {
	if fault := rwfault.FromContext(ctx); fault != nil && fault.Code != rwcode.CallerGone {
		return fault
	}
	return nil
}
