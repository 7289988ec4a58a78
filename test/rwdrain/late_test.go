package rwdrain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwresponse"
	"redwingworks.example/test/rwverdict"
)

// Guards against excusing a stopping router for a request that was sent while it
// had to accept requests, for one that it accepted and failed, and for one that it
// lost on a connection which it had no reason to close.
func TestOnlyTrueLateRefusalsAreExcused(t *testing.T) {
	announced := time.Unix(1e9, 0)
	const (
		inTime = drainTime
		late   = drainTime + time.Millisecond
	)
	draining := rwresponse.Response{Verdict: rwverdict.Refused, Code: "draining", Outcome: "not_run"}
	broken := func(detail string, unused time.Duration) rwresponse.Response {
		return rwresponse.Response{Verdict: rwverdict.Broken, Code: "connection", Detail: detail, Unused: unused}
	}
	begun := draining
	begun.Tokens = 1
	cutBody := broken("unexpected EOF", time.Second)
	cutBody.RequestID = "r1"
	cases := map[string]struct {
		sent     time.Duration
		response rwresponse.Response
		want     bool
	}{
		"draining":                          {late, draining, true},
		"draining in time":                  {inTime, draining, false},
		"draining with unknown outcome":     {late, rwresponse.Response{Verdict: rwverdict.Refused, Code: "draining", Outcome: "unknown"}, false},
		"draining after a token":            {late, begun, false},
		"another refusal":                   {late, rwresponse.Response{Verdict: rwverdict.Refused, Code: "no_upstream", Outcome: "not_run"}, false},
		"port closed":                       {late, broken("connect: connection refused", 0), true},
		"port closed in time":               {inTime, broken("connect: connection refused", 0), false},
		"close seen before sending":         {late, broken("http: server closed idle connection", 0), true},
		"close seen before sending in time": {inTime, broken("http: server closed idle connection", 0), false},
		"crossed the close":                 {late, broken("EOF", idleTime), true},
		"crossed the close in time":         {inTime, broken("EOF", idleTime), false},
		"lost on a new connection":          {late, broken("EOF", 0), false},
		"reset on a busy connection":        {late, broken("read: connection reset by peer", idleTime-1), false},
		"cut response":                      {late, cutBody, false},
		"cut stream":                        {late, broken("the stream ended without an end marker", time.Second), false},
		"wrong":                             {late, rwresponse.Response{Verdict: rwverdict.Wrong, Detail: "EOF", Unused: time.Second}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.response.Sent = announced.Add(c.sent)
			require.Equal(t, c.want, isLateRefusal(c.response, announced))
		})
	}
}
