// Package rwcaller sends requests to routers and checks that each response is
// complete and belongs to its request.
package rwcaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwresponse"
	"redwingworks.example/test/rwverdict"
)

const (
	dialTimeout   = time.Second
	maxIdleConns  = 256
	maxLineBytes  = 1 << 20
	maxBodyBytes  = 16 << 20
	retryInterval = 100 * time.Millisecond
)

// Caller sends requests. Its exported fields are set before the first one.
type Caller struct {
	// Pick returns a router's address, preferably none of those to avoid.
	Pick func(account string, avoid ...string) string
	// Retries is the maximum number of retries of a request with a key. A
	// refusal with the outcome ran and a wrong response are not retried.
	Retries int

	client  *http.Client
	mu      sync.Mutex
	seenIDs map[string]bool
}

// New returns a caller that sends requests to the routers that pick returns.
func New(pick func(account string, avoid ...string) string, retries int) *Caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &Caller{
		Pick:    pick,
		Retries: retries,
		client:  &http.Client{Transport: transport},
		seenIDs: map[string]bool{},
	}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Send sends a request. A request with a key is retried through other routers
// while its outcome allows it, at most Retries times.
func (c *Caller) Send(ctx context.Context, j rwjob.Job) rwresponse.Response {
	start := time.Now()
	var tried, failedOutcomes []string
	for n := 1; ; n++ {
		router, picked := c.Pick(j.Account, tried...), time.Now()
		a := rwresponse.Response{Verdict: rwverdict.Refused, Code: "no_router", Outcome: "not_run"}
		if router != "" {
			a = c.attempt(ctx, j, router, start)
			tried = append(tried, router)
		}
		if a.Verdict != rwverdict.Complete {
			failedOutcomes = append(failedOutcomes, a.Outcome)
		}
		a.Router, a.Picked, a.Attempts, a.FailedOutcomes = router, picked, n, failedOutcomes
		if j.Key == "" || n > c.Retries || !shouldRetry(a) || !sleep(ctx) {
			return a
		}
	}
}

// shouldRetry reports whether a retry with the same key is useful.
func shouldRetry(a rwresponse.Response) bool {
	return a.Verdict == rwverdict.Broken || a.Verdict == rwverdict.Refused && a.Outcome != "ran"
}

func sleep(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

func newRequest(ctx context.Context, j rwjob.Job, router string) (*http.Request, error) {
	url, body := "http://"+router+"/v1/call/"+j.Pool+"/run", []byte(j.Body)
	if j.Engine {
		var err error
		url = "http://" + router + "/v1/chat/completions"
		body, err = json.Marshal(completion{j.Pool, j.Stream, []message{
			{"system", j.Prompt},
			{"user", fmt.Sprintf("#%d", j.Tokens)},
		}})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+j.CallerKey)
	req.Header.Set("Redwing-Kind", j.Kind)
	setHeader(req, "Idempotency-Key", j.Key)
	setHeader(req, "Redwing-Hint", headerNumber(j.Hint))
	setHeader(req, "Redwing-Deadline", headerNumber(int(j.Deadline.Milliseconds())))
	// The transport would resend a request with a key by itself when an idle
	// connection breaks. The caller must count all attempts.
	req.GetBody = nil
	return req, nil
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

func headerNumber(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func (c *Caller) attempt(ctx context.Context, j rwjob.Job, router string, start time.Time) rwresponse.Response {
	var t timeline
	ctx = httptrace.WithClientTrace(ctx, t.trace())
	req, err := newRequest(ctx, j, router)
	if err != nil {
		return connectionError(err)
	}
	resp, err := c.client.Do(req)
	sent, unused := t.sent(time.Now())
	if err != nil {
		a := connectionError(err)
		a.Sent, a.Unused = sent, unused
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a := c.readResponse(resp, j, start)
	a.Sent, a.Unused = sent, unused
	return a
}

// timeline records when an attempt was sent. The transport can call its hooks
// after the attempt has ended.
type timeline struct {
	mu sync.Mutex
	// unusedSince is when the connection became idle or, if it was passed on at
	// once, when the attempt got it; zero if it is new.
	unusedSince, written time.Time
}

func (t *timeline) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.unusedSince, t.written = time.Time{}, time.Time{}
			if c.Reused {
				t.unusedSince = time.Now().Add(-c.IdleTime)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.written = time.Now()
		},
	}
}

// sent returns when the request had been written, or now if it was not, and how
// long its connection had been unused then.
func (t *timeline) sent(now time.Time) (at time.Time, unused time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at = now
	if !t.written.IsZero() {
		at = t.written
	}
	if !t.unusedSince.IsZero() {
		unused = at.Sub(t.unusedSince)
	}
	return at, unused
}

func (c *Caller) readResponse(resp *http.Response, j rwjob.Job, start time.Time) rwresponse.Response {
	a := rwresponse.Response{RequestID: resp.Header.Get("Redwing-Request")}
	switch {
	case resp.StatusCode != http.StatusOK:
		a = readRefusal(resp, a)
	case !j.Engine:
		a = c.readCallResponse(resp, j, a, start)
	case j.Stream:
		a = c.readStream(resp, j, a, start)
	default:
		a = c.readCompletion(resp, j, a, start)
	}
	a.TotalTime = time.Since(start)
	if a.Verdict == rwverdict.Complete && !c.isNewID(a.RequestID) {
		return wrongResponse(a, "two responses have the same request ID")
	}
	return a
}

// isNewID reports whether no response had the request ID before. A retried key
// gets the response of the first attempt, but a request is not retried after a
// complete response.
func (c *Caller) isNewID(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seenIDs[id] {
		return false
	}
	c.seenIDs[id] = true
	return true
}

func connectionError(err error) rwresponse.Response {
	return rwresponse.Response{Verdict: rwverdict.Broken, Code: "connection", Detail: err.Error()}
}

func wrongResponse(a rwresponse.Response, detail string) rwresponse.Response {
	a.Verdict, a.Detail = rwverdict.Wrong, detail
	return a
}

type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	} `json:"error"`
}

func readRefusal(resp *http.Response, a rwresponse.Response) rwresponse.Response {
	var body errorBody
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || body.Error.Code == "" || body.Error.Outcome == "" {
		return wrongResponse(a, fmt.Sprintf("status %d without an error body: %.80q", resp.StatusCode, data))
	}
	a.Verdict = rwverdict.Refused
	a.Code, a.Outcome, a.Detail = body.Error.Code, body.Error.Outcome, body.Error.Message
	a.RetryAfter = resp.Header.Get("Retry-After") != ""
	return a
}

func (c *Caller) readCallResponse(resp *http.Response, j rwjob.Job, a rwresponse.Response, start time.Time) rwresponse.Response {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return connectionError(err)
	}
	a.TimeToFirstToken = time.Since(start)
	var body struct{ Request, Key, Echo string }
	if err := json.Unmarshal(data, &body); err != nil {
		return wrongResponse(a, "malformed response of a plain service: "+err.Error())
	}
	if body.Echo != j.Body || body.Key != j.Key {
		return wrongResponse(a, "the response belongs to another call: "+body.Echo)
	}
	return a
}

func (c *Caller) readCompletion(resp *http.Response, j rwjob.Job, a rwresponse.Response, start time.Time) rwresponse.Response {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return connectionError(err)
	}
	a.TimeToFirstToken = time.Since(start)
	var body struct {
		ID, Text string
		Usage    int
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return wrongResponse(a, "malformed response: "+err.Error())
	}
	var want strings.Builder
	for i := range j.Tokens {
		fmt.Fprintf(&want, "%s/%d ", a.RequestID, i)
	}
	a.Tokens = body.Usage
	if body.ID != a.RequestID || body.Text != want.String() || body.Usage != j.Tokens {
		return wrongResponse(a, fmt.Sprintf("%d of %d tokens, or the text of another request", body.Usage, j.Tokens))
	}
	return a
}

type chunk struct {
	ID     string
	Index  int
	Text   string
	Finish string
}

func (c *Caller) readStream(resp *http.Response, j rwjob.Job, a rwresponse.Response, start time.Time) rwresponse.Response {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	event := ""
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if event == "error" {
			return streamError(data, a)
		}
		if data == "[DONE]" {
			return checkStreamEnd(j, a)
		}
		if a.TimeToFirstToken == 0 {
			a.TimeToFirstToken = time.Since(start)
		}
		var k chunk
		if err := json.Unmarshal([]byte(data), &k); err != nil {
			return wrongResponse(a, "malformed chunk: "+err.Error())
		}
		if k.ID != a.RequestID || k.Index != a.Tokens || k.Text != fmt.Sprintf("%s/%d ", a.RequestID, a.Tokens) {
			return wrongResponse(a, fmt.Sprintf("chunk %d of %s instead of chunk %d of %s", k.Index, k.ID, a.Tokens, a.RequestID))
		}
		a.Tokens++
	}
	a.Verdict, a.Code, a.Detail = rwverdict.Broken, "connection", "the stream ended without an end marker"
	return a
}

func streamError(data string, a rwresponse.Response) rwresponse.Response {
	var body errorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Code == "" {
		return wrongResponse(a, "malformed error event: "+data)
	}
	a.Verdict = rwverdict.Refused
	a.Code, a.Outcome, a.Detail = body.Error.Code, body.Error.Outcome, body.Error.Message
	return a
}

func checkStreamEnd(j rwjob.Job, a rwresponse.Response) rwresponse.Response {
	if a.Tokens != j.Tokens {
		return wrongResponse(a, fmt.Sprintf("the stream looks complete after %d of %d tokens", a.Tokens, j.Tokens))
	}
	return a
}
