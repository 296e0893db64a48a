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
	callTimeout      = 3 * time.Second // per attempt
	maxAttempts      = 8               // per call, each at the next address
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 256 // of the response body, kept in a StatusError
)

// Client calls the registry at one of several addresses and fails over to the next. It is not safe for concurrent use.
type Client struct {
	addresses []string
	current   int // index of the address to call
	http      http.Client
}

// NewClient returns a client for the replicas at the given addresses. It starts with a random one.
func NewClient(addresses []string) *Client {
	// A shared transport would keep only two idle connections per address for all clients.
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &Client{addresses: addresses, current: mathrand.IntN(len(addresses)),
		http: http.Client{Timeout: callTimeout, Transport: transport}}
}

// StatusError reports a response with a status other than 200.
type StatusError struct {
	StatusCode int
	Message    string // the first bytes of the body
}

func (e StatusError) Error() string {
	return fmt.Sprintf("registry responded with status %d: %s", e.StatusCode, e.Message)
}

// isFinal reports whether a retry, at this or another replica, would get the same response.
func isFinal(err error) bool {
	var status StatusError
	return errors.As(err, &status) && status.StatusCode != http.StatusServiceUnavailable
}

// Do calls path. It encodes in as the body, or sends none if in is nil. It decodes the response into out, or discards
// the response if out is nil. ifMatch is the version that the instance must have for a write; 0 allows any.
//
// If an attempt gets no response, status 503 or a body that can't be decoded, Do retries at the next address after a
// random, exponentially growing delay, until ctx ends or maxAttempts is reached. Any other status is final. All attempts
// share one request ID, so that a retried write is carried out once. A response with a status other than 200 is returned
// as a StatusError.
func (c *Client) Do(ctx context.Context, method, path string, in, out any, ifMatch int64) error {
	call := clientCall{method: method, path: path, requestID: rand.Text(), ifMatch: ifMatch}
	if in != nil {
		var err error
		if call.body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("registry: encode request body: %w", err)
		}
	}
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, call, out)
		if err == nil || isFinal(err) || attempt >= maxAttempts || ctx.Err() != nil {
			return err
		}
		c.current = (c.current + 1) % len(c.addresses)
		// Jitter spreads the retries, as all clients of a replica lose it at the same moment.
		select {
		case <-time.After(backoff/2 + mathrand.N(backoff)):
		case <-ctx.Done():
			return err
		}
		backoff = min(maxBackoff, 2*backoff)
	}
}

// clientCall holds what all attempts of a call share.
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
		slog.Debug("registry: closing a response body failed", "error", err)
	}
}

// Watch calls path and decodes the response into list. wait is the time that path asks the registry to wait for a change;
// an attempt may take callTimeout longer.
func (c *Client) Watch(ctx context.Context, path string, wait time.Duration, list *EndpointList) error {
	watchClient := *c
	watchClient.http.Timeout = wait + callTimeout
	err := watchClient.Do(ctx, http.MethodGet, path, nil, list, 0)
	c.current = watchClient.current
	return err
}
