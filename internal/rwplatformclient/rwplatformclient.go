// Package rwplatformclient is the client of the platform service.
package rwplatformclient

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

// maxBodyBytes bounds a response, which is decoded in memory: a faulty service may
// send without end. All records have about 0.7 MB at the size in two years, and the
// largest value has 1 MB.
const maxBodyBytes = 16 << 20

// Client reads and watches the records of one platform service.
type Client struct {
	client *http.Client
	base   string
}

type listing struct {
	Rev   int64             `json:"rev"`
	Items []rwrecord.Record `json:"items"`
}

type watchQuery struct {
	After int64 `url:"after"`
	Wait  int   `url:"wait"`
}

// boundedClient makes reads of a response's body fail beyond maxBodyBytes. This
// includes those of sling, which reads each body to its end.
type boundedClient struct{ client *http.Client }

// Do implements sling.Doer.
func (b boundedClient) Do(req *http.Request) (*http.Response, error) {
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxBodyBytes)
	return resp, nil
}

// New returns a client for a base URL such as "http://10.0.0.1:7000/".
func New(base string, client *http.Client) *Client {
	return &Client{client: client, base: base}
}

// Read returns all records. It fails with PlatformDown or PlatformMalformed.
func (s *Client) Read(ctx context.Context) ([]rwrecord.Record, error) {
	return s.get(ctx, sling.New().Base(s.base).Get("v1/records"))
}

// Watch waits for records with a revision above after and returns them, or none
// if the wait time ends. It fails with PlatformDown or PlatformMalformed.
func (s *Client) Watch(ctx context.Context, after int64, wait time.Duration) ([]rwrecord.Record, error) {
	q := watchQuery{After: after, Wait: int(wait / time.Second)}
	return s.get(ctx, sling.New().Base(s.base).Get("v1/watch").QueryStruct(q))
}

func (s *Client) get(ctx context.Context, call *sling.Sling) ([]rwrecord.Record, error) {
	req, err := call.Request()
	if err != nil {
		return nil, rwfault.Wrap(rwcode.Internal, err)
	}
	var l listing
	resp, err := call.Doer(boundedClient{s.client}).Do(req.WithContext(ctx), &l, nil)
	if resp == nil {
		return nil, rwfault.Wrap(rwcode.PlatformDown, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, rwfault.New(rwcode.PlatformDown, resp.Status)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, rwfault.New(rwcode.PlatformMalformed, "the response has more than "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	if err != nil {
		return nil, rwfault.Wrap(rwcode.PlatformMalformed, err)
	}
	if resp.ContentLength == 0 {
		// sling decodes no body of this length.
		return nil, rwfault.New(rwcode.PlatformMalformed, "the response is empty")
	}
	return l.Items, nil
}
