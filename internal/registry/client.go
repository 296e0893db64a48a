package registry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"time"
)

const (
	callTimeout      = 3 * time.Second // for one attempt
	maxAttempts      = 8               // of one call, each at the next address
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 256 // of a response's text in an error
)

// Client calls the registry at one of several addresses, and fails over to the next. One goroutine uses it.
type Client struct {
	addresses []string
	current   int // index of the address that is called
	http      http.Client
}

// NewClient returns a client of the replicas at these addresses, which begins at a random one.
func NewClient(addresses []string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone() // a shared one keeps two idle connections for all clients
	transport.Proxy = nil
	return &Client{addresses: addresses, current: mathrand.IntN(len(addresses)),
		http: http.Client{Timeout: callTimeout, Transport: transport}}
}

// StatusError is a response with another status than 200.
type StatusError struct {
	StatusCode int
	Message    string // the first bytes of the body
}

func (e StatusError) Error() string { return fmt.Sprintf("answered %d: %s", e.StatusCode, e.Message) }

// isFinal reports whether the same call would get the same response from another replica, or later.
func isFinal(err error) bool {
	var status StatusError
	return errors.As(err, &status) && status.StatusCode != http.StatusServiceUnavailable
}

// Do calls a path with a body (nil for none), and decodes the response into out (nil for none). ifMatch is the version
// that a write requires, 0 for any. An attempt without a response that can be read and decoded, or with the status 503,
// is retried at the next address with exponential backoff, until ctx ends or maxAttempts; any other status is final.
// All attempts have one request id, so that a retried write is carried out once. The error of a response with another
// status than 200 is a StatusError.
func (c *Client) Do(ctx context.Context, method, path string, in, out any, ifMatch int64) error {
	call := clientCall{method: method, path: path, requestID: rand.Text(), ifMatch: ifMatch}
	if in != nil {
		var err error
		if call.body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("registry: encode a call: %w", err)
		}
	}
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, call, out)
		if err == nil || isFinal(err) || attempt >= maxAttempts || ctx.Err() != nil {
			return err
		}
		c.current = (c.current + 1) % len(c.addresses)
		// Jitter, as all clients of a replica lose it at the same moment.
		select {
		case <-time.After(backoff/2 + mathrand.N(backoff)):
		case <-ctx.Done():
			return err
		}
		backoff = min(maxBackoff, 2*backoff)
	}
}

// clientCall is what all attempts of a call have in common.
type clientCall struct {
	method, path string
	requestID    string
	body         []byte
	ifMatch      int64
}

func (c *Client) attempt(ctx context.Context, call clientCall, out any) error {
	url := "http://" + c.addresses[c.current] + call.path
	req, err := http.NewRequestWithContext(ctx, call.method, url, bytes.NewReader(call.body))
	if err != nil {
		return err
	}
	req.Header.Set(requestIDHeader, call.requestID)
	if call.ifMatch > 0 {
		req.Header.Set("If-Match", etag(call.ifMatch))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		message := bytes.TrimSpace(raw[:min(len(raw), maxErrorBytes)])
		return StatusError{StatusCode: resp.StatusCode, Message: string(message)}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

func closeBody(resp *http.Response) {
	if err := resp.Body.Close(); err != nil {
		slog.Debug("registry: close a response", "error", err)
	}
}

// Watch calls a path whose response may take as long as wait.
func (c *Client) Watch(ctx context.Context, path string, wait time.Duration, list *EndpointList) error {
	watchClient := *c
	watchClient.http.Timeout = wait + callTimeout
	err := watchClient.Do(ctx, http.MethodGet, path, nil, list, 0)
	c.current = watchClient.current
	return err
}
