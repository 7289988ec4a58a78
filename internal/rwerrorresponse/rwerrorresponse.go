// Package rwerrorresponse is the form in which callers get a fault: status, headers
// and JSON body.
package rwerrorresponse

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
)

// defaultRetry is told to a caller that may try again where the fault names
// no time.
const defaultRetry = time.Second

// Response is the answer to a request that failed.
type Response struct {
	// Status is the HTTP status. 429 and 503 are used only if the request
	// was not run, because clients and balancers repeat such requests.
	Status int
	// RetryAfter is how long the caller should wait; zero for no advice.
	RetryAfter time.Duration
	// Body is the JSON error.
	Body []byte
}

type envelope struct {
	Error detail `json:"error"`
}

type detail struct {
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
	Message string  `json:"message"`
	Retry   float64 `json:"retry,omitempty"`
}

// New returns the refusal for a fault.
func New(f *rwfault.Fault) Response {
	r := Response{Status: status(f), RetryAfter: f.RetryAfter}
	if r.RetryAfter <= 0 && advised(r.Status) {
		r.RetryAfter = defaultRetry
	}
	data, err := json.Marshal(envelope{detail{
		Code:    f.Code.String(),
		Outcome: f.Outcome.String(),
		Message: f.Error(),
		Retry:   r.RetryAfter.Seconds(),
	}})
	if err != nil {
		data = []byte(`{"error":{"code":"internal","outcome":"unknown"}}`)
	}
	r.Body = data
	return r
}

func advised(status int) bool {
	return status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}

// Write sends the refusal as the answer to a request.
func (r Response) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

func status(f *rwfault.Fault) int {
	s := byCode(f.Code)
	repeated := s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable
	if repeated && f.Outcome != rwoutcome.NotRun {
		return http.StatusBadGateway
	}
	return s
}

func byCode(c rwcode.Code) int {
	switch c {
	case rwcode.Unauthorized:
		return http.StatusUnauthorized
	case rwcode.UnknownAccount, rwcode.UnknownPool, rwcode.UnknownKind, rwcode.UnknownPath:
		return http.StatusNotFound
	case rwcode.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case rwcode.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case rwcode.BadRequest, rwcode.KeyMissing, rwcode.TicketInvalid, rwcode.CallerGone:
		return http.StatusBadRequest
	case rwcode.SlowBody:
		return http.StatusRequestTimeout
	case rwcode.QueueFull, rwcode.QueueBytes:
		return http.StatusTooManyRequests
	case rwcode.DeadlineExceeded, rwcode.UpstreamTimeout:
		return http.StatusGatewayTimeout
	case rwcode.UpstreamMalformed, rwcode.UpstreamMismatch, rwcode.UpstreamTruncated, rwcode.OutcomeUnknown:
		return http.StatusBadGateway
	case rwcode.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
