package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	listPath = "/registry/instances"
	// epochHeader is set in the responses of sloerail's own list service, whose revisions never decrease.
	epochHeader = "X-Registry-Epoch"
	// maxListBytes bounds a response of the list service.
	maxListBytes = 8 << 20
)

// watch makes one call. The list service holds it until there is something newer than the current revision, but at most
// for Timeouts.Wait. A call for the full list has no wait. The error is a *WatchError.
func (c *Client) watch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.callTimeout(), ErrTimeout)
	defer cancel()
	list, err := c.fetch(ctx)
	if err == nil {
		return list, nil
	}
	if errors.Is(context.Cause(ctx), ErrTimeout) {
		err = ErrTimeout
	}
	return List{}, &WatchError{Address: c.addresses[c.replica], Err: err}
}

// callTimeout returns the timeout of the next call.
func (c *Client) callTimeout() time.Duration {
	if c.revision == UnknownRevision {
		return c.timeouts.FullList
	}
	return c.timeouts.Watch
}

// callURL returns the URL of the next call.
func (c *Client) callURL() string {
	u := "http://" + c.addresses[c.replica] + listPath
	if c.revision != UnknownRevision {
		u += fmt.Sprintf("?index=%d&wait=%d", c.revision, c.timeouts.Wait.Milliseconds())
	}
	return c.scope.appendTo(u)
}

// fetch makes the next call and reads the response.
func (c *Client) fetch(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.callURL(), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if call := (*url.Error)(nil); errors.As(err, &call) { // WatchError names the address already
			err = call.Err
		}
		return List{}, err
	}
	defer func() { _ = resp.Body.Close() }() // all that is needed has been read
	if resp.StatusCode != http.StatusOK {
		return List{}, c.scope.statusError(resp)
	}
	list, err := readList(resp.Body)
	if err != nil {
		return List{}, err
	}
	if resp.Header.Get(epochHeader) != "" && list.Revision < c.revision {
		return List{}, fmt.Errorf("%w: got revision %d, already have %d", ErrStaleReplica, list.Revision, c.revision)
	}
	if err := c.scope.check(resp.Header, list.Complete); err != nil {
		c.revision = UnknownRevision
		return List{}, err
	}
	return list, nil
}

// readList reads and parses the body of a response.
func readList(body io.Reader) (List, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err != nil {
		return List{}, err
	}
	if len(raw) > maxListBytes {
		return List{}, ErrListTooLong
	}
	list, err := ParseList(raw)
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformedList, err)
	}
	return list, nil
}
