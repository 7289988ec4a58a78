// Package rwerrorresponse converts faults to HTTP error responses for callers:
// status, headers and JSON body.
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

// defaultRetryAfter is the retry delay in responses that need one if the fault has
// none.
const defaultRetryAfter = time.Second

// Response is the response to a request that failed.
type Response struct {
	// Status is the HTTP status. 429 and 503 are used only if the request was
	// not run, because clients and load balancers retry such requests.
	Status int
	// RetryAfter is how long the caller should wait before a retry; zero for
	// none.
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

// New returns the response for a fault.
func New(f *rwfault.Fault) Response {
	r := Response{Status: status(f), RetryAfter: f.RetryAfter}
	if r.RetryAfter <= 0 && needsRetryAfter(r.Status) {
		r.RetryAfter = defaultRetryAfter
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

// needsRetryAfter reports whether responses with the status have a retry delay.
func needsRetryAfter(status int) bool {
	return status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}

// Write sends the response.
func (r Response) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

func status(f *rwfault.Fault) int {
	s := statusOfCode(f.Code)
	retried := s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable
	if retried && f.Outcome != rwoutcome.NotRun {
		return http.StatusBadGateway
	}
	return s
}

func statusOfCode(c rwcode.Code) int {
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
