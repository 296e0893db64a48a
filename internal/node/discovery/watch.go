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

// call is one call of the list service. The goroutine that makes it uses its fields until the call has ended.
type call struct {
	address   string // host:port of the replica
	url       string
	revision  int64 // of the list that changes are asked for; UnknownRevision if the full list is
	scope     scope
	startedAt time.Time
	cancel    context.CancelCauseFunc
	timeout   *time.Timer // cancels the call with ErrTimeout

	list List  // the response, if err is nil
	err  error // a *WatchError
}

// startCall starts a call to the current target. Once it has ended it is sent to c.ended, unless ctx has ended. The list
// service holds the call until there is something newer than the current revision, but at most for Timeouts.Wait. A call
// for the full list has no wait.
func (c *Client) startCall(ctx context.Context) *call {
	callCtx, cancel := context.WithCancelCause(ctx)
	started := &call{address: c.addresses[c.replica], url: c.callURL(), revision: c.revision, scope: c.scope,
		startedAt: time.Now(), cancel: cancel}
	started.timeout = time.AfterFunc(c.callTimeout(), func() { cancel(ErrTimeout) })
	c.calls.Go(func() {
		started.run(callCtx, c.http)
		select {
		case c.ended <- started:
		case <-ctx.Done():
		}
	})
	return started
}

// giveUp cancels a call, whose response is not wanted any more.
func (l *call) giveUp() { l.cancel(context.Canceled) }

// setTimeout changes the timeout of a call that is in progress.
func (l *call) setTimeout(timeout time.Duration) {
	l.timeout.Reset(time.Until(l.startedAt.Add(timeout)))
}

// run makes the call and sets its result.
func (l *call) run(ctx context.Context, client *http.Client) {
	defer l.giveUp() // frees the context
	defer l.timeout.Stop()
	list, err := l.fetch(ctx, client)
	if err == nil {
		l.list = list
		return
	}
	if errors.Is(context.Cause(ctx), ErrTimeout) {
		err = ErrTimeout
	}
	l.err = &WatchError{Address: l.address, Err: err}
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

// fetch makes the call and reads the response.
func (l *call) fetch(ctx context.Context, client *http.Client) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return List{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		if failed := (*url.Error)(nil); errors.As(err, &failed) { // WatchError names the address already
			err = failed.Err
		}
		return List{}, err
	}
	defer func() { _ = resp.Body.Close() }() // all that is needed has been read
	if resp.StatusCode != http.StatusOK {
		return List{}, l.scope.statusError(resp)
	}
	list, err := readList(resp.Body)
	if err != nil {
		return List{}, err
	}
	if resp.Header.Get(epochHeader) != "" && list.Revision < l.revision {
		return List{}, fmt.Errorf("%w: got revision %d, already have %d", ErrStaleReplica, list.Revision, l.revision)
	}
	return list, l.scope.check(resp.Header, list.Complete)
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
