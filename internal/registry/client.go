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
	mrand "math/rand/v2"
	"net/http"
	"time"
)

const (
	callTimeout = 3 * time.Second // for one call
	clientTries = 8               // of one write, each at the next address
	clientLeast = 50 * time.Millisecond
	clientMost  = 2 * time.Second
	answerMost  = 64 << 20 // bytes
)

// Client calls the list service at one of several addresses, and goes on to the next where that fails.
type Client struct {
	addrs []string
	at    int
	http  http.Client
}

// NewClient makes a client of the replicas at these addresses. One goroutine uses it.
func NewClient(addrs []string) *Client {
	own := http.DefaultTransport.(*http.Transport).Clone() // a shared one keeps two connections for all clients
	own.Proxy = nil
	return &Client{addrs: addrs, at: mrand.IntN(len(addrs)), http: http.Client{Timeout: callTimeout, Transport: own}}
}

// StatusError is a call that was answered, and not with what was asked for.
type StatusError struct {
	StatusCode int
	Message    string
}

func (e StatusError) Error() string { return fmt.Sprintf("answered %d: %s", e.StatusCode, e.Message) }

// Do calls, at the next address where one fails or turns the call away, until ctx ends or so many tries are
// spent. A write bears one request id throughout, so that a repeat is harmless.
func (c *Client) Do(ctx context.Context, method, path string, in, out any, match int64) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	request, wait := rand.Text(), clientLeast
	for try := 1; ; try++ {
		err := c.once(ctx, method, path, request, body, out, match)
		var refused StatusError
		final := errors.As(err, &refused) && refused.StatusCode != http.StatusServiceUnavailable
		if err == nil || final || try >= clientTries || ctx.Err() != nil {
			return err
		}
		c.at = (c.at + 1) % len(c.addrs)
		// Spread, for all clients of a replica lose it at the same moment.
		select {
		case <-time.After(wait/2 + mrand.N(wait)):
		case <-ctx.Done():
			return err
		}
		wait = min(clientMost, 2*wait)
	}
}

func (c *Client) once(ctx context.Context, method, path, request string, body []byte, out any, match int64) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addrs[c.at]+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("X-Request-Id", request)
	if match > 0 {
		req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(match)))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return StatusError{resp.StatusCode, string(bytes.TrimSpace(raw[:min(len(raw), 256)]))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

// Agent keeps one instance in the list: it registers, renews, and registers anew where the list has lost it.
type Agent struct {
	Client   *Client
	Endpoint Endpoint
	TTL      time.Duration
}

// Run keeps the instance in the list until ctx ends; then it drains it for a while, and takes it out. An outage
// of the service is survived, however long.
func (a *Agent) Run(ctx context.Context, drain time.Duration) error {
	registered := false
	wait := time.Duration(0)
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return a.leave(drain)
		}
		err := a.keep(ctx, registered)
		var refused StatusError
		switch {
		case err == nil:
			if !registered {
				slog.Info("register: in the list", "id", a.Endpoint.ID, "lease", a.TTL)
			}
			registered, wait = true, a.TTL/3
		case errors.As(err, &refused) && refused.StatusCode == http.StatusNotFound:
			slog.Warn("register: the list has lost the instance; registering anew", "id", a.Endpoint.ID)
			registered, wait = false, 0
		case errors.As(err, &refused) && refused.StatusCode == http.StatusBadRequest:
			return err
		default:
			slog.Warn("register: the list service is out of reach", "err", err)
			wait = clientMost/2 + mrand.N(clientMost)
		}
	}
}

func (a *Agent) keep(ctx context.Context, registered bool) error {
	if registered {
		return a.Client.Do(ctx, http.MethodPut, instancesPath+"/"+a.Endpoint.ID+"/lease", nil, nil, 0)
	}
	e := a.Endpoint
	return a.Client.Do(ctx, http.MethodPut, instancesPath+"/"+e.ID, registration{Address: e.Address, Zone: e.Zone,
		Kind: e.Kind, Cell: e.Cell, Phase: e.Phase, Size: &e.Size, StartTimeMs: e.StartTimeMs,
		TTLMs: a.TTL.Milliseconds(), Service: e.Service}, nil, 0)
}

// leave drains the instance, waits, and takes it out.
func (a *Agent) leave(drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain+2*callTimeout)
	defer cancel()
	err := a.Client.Do(ctx, http.MethodPut, instancesPath+"/"+a.Endpoint.ID+"/phase", map[string]string{"phase": PhaseDraining}, nil, 0)
	if err == nil {
		slog.Info("register: draining", "id", a.Endpoint.ID, "for", drain)
		select {
		case <-time.After(drain):
		case <-ctx.Done():
		}
	}
	return errors.Join(err, a.Client.Do(ctx, http.MethodDelete, instancesPath+"/"+a.Endpoint.ID, nil, nil, 0))
}

// Watch makes one call that the service may hold for a while.
func (c *Client) Watch(ctx context.Context, path string, wait time.Duration, l *EndpointList) error {
	held := *c
	held.http.Timeout = wait + callTimeout
	err := held.Do(ctx, http.MethodGet, path, nil, l, 0)
	c.at = held.at
	return err
}

func closeBody(resp *http.Response) {
	if err := resp.Body.Close(); err != nil {
		slog.Debug("registry: close a response", "error", err)
	}
}
