package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sloerail/policy"
)

// maxFormerCalls is how many calls to former targets may be in progress beside the call to the current one. Each takes a
// descriptor.
const maxFormerCalls = 2

// jitterStream separates the random numbers of the backoff from other random numbers with the same seed.
const jitterStream = 0xd1

// Client watches the list service. SetWatching and Retarget don't block and may be called while Run runs, each by one
// goroutine at a time.
type Client struct {
	http          *http.Client
	notify        func(Update)
	watchRequests chan bool   // the latest SetWatching call that Run has not handled yet
	retargets     chan Target // the latest Retarget call that Run has not handled yet
	ended         chan *call  // calls that have ended
	calls         sync.WaitGroup

	// Run's goroutine uses the fields below.
	current   *call    // to the current target; nil while there is none
	former    []*call  // to former targets, oldest first, until they or newer ones are answered
	addresses []string // host:port of the replicas
	replica   int      // index of the replica to call
	subscribe bool
	timeouts  Timeouts
	scope     scope
	revision  int64 // of the current list
	cache     *listCache
	backoff   backoff
}

// Target is the part of a Client's configuration that a reload can change.
type Target struct {
	Addresses string // host:port of the replicas, separated by commas
	Subscribe bool   // watch only while SetWatching has turned watching on, and notify of failures
	Timeouts  Timeouts
	Scope     string // the query that ParseScope returned; empty for no scope
}

// NewTarget returns a Target for the replicas at addresses, separated by commas, with the timeouts of the settings.
func NewTarget(addresses, scope string, settings policy.Settings) Target {
	return Target{Addresses: addresses, Subscribe: settings.SubscribeList, Timeouts: newTimeouts(settings), Scope: scope}
}

// ClientConfig is the initial configuration of a Client.
type ClientConfig struct {
	Target
	CacheFile string // path of the cached list; empty for no cache
	Known     List   // the last known list; the client watches for newer revisions
	Seed      uint64 // spreads nodes over the replicas, and their retries over time
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewClient returns a client that passes each Update to notify, which Run and Apply call.
func NewClient(c ClientConfig, notify func(Update)) *Client {
	addresses, scope := strings.Split(c.Addresses, ","), scope{query: c.Scope}
	return &Client{
		http: &http.Client{
			// A separate Transport: it uses no proxy, and shares no connection with the requests that the node forwards.
			Transport:     &http.Transport{DisableCompression: true, MaxConnsPerHost: 1 + maxFormerCalls, DialContext: c.Dial},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		notify:        notify,
		watchRequests: make(chan bool, 1),
		retargets:     make(chan Target, 1),
		ended:         make(chan *call, 1+maxFormerCalls),
		addresses:     addresses,
		replica:       int(c.Seed % uint64(len(addresses))),
		subscribe:     c.Subscribe,
		timeouts:      c.Timeouts,
		scope:         scope,
		revision:      scope.firstRevision(c.Known.Revision),
		cache:         newListCache(c.CacheFile, c.Known),
		backoff:       backoff{jitter: rand.New(rand.NewPCG(c.Seed, jitterStream))},
	}
}

// SetWatching turns watching on or off, for a Target with Subscribe. It replaces an earlier call that Run has not
// handled yet.
func (c *Client) SetWatching(on bool) {
	select {
	case <-c.watchRequests:
	default:
	}
	c.watchRequests <- on
}

// Retarget switches to another Target. It replaces an earlier call that Run has not handled yet.
func (c *Client) Retarget(target Target) {
	select {
	case <-c.retargets:
	default:
	}
	c.retargets <- target
}

// Run watches the list service until ctx ends.
//
// It makes one call at a time, and Retarget begins another at once. The calls to former targets go on meanwhile, since new
// targets in a row would otherwise give up each call before its response. A response counts unless a newer call was answered
// before, so at least the oldest call is always waited for, and the list is late by no more than two calls take.
func (c *Client) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.http.CloseIdleConnections()
	defer c.calls.Wait()
	defer cancel()
	if c.cache != nil {
		defer c.cache.save(true)
	}
	watching := !c.subscribe
	for ctx.Err() == nil {
		if c.subscribe {
			watching = c.nextWatchState(ctx, watching)
		}
		if !watching {
			continue
		}
		list, err := c.watch(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			c.backoff.reset()
			c.Apply(list)
		default:
			watching = c.handleFailure(ctx, err)
		}
	}
}

// nextWatchState reports whether to watch now. While watching is off, it waits for SetWatching, Retarget, the end of a call
// to a former target or the end of ctx.
func (c *Client) nextWatchState(ctx context.Context, watching bool) bool {
	if watching {
		select {
		case on := <-c.watchRequests:
			return on
		default:
			return true
		}
	}
	select {
	case on := <-c.watchRequests:
		return on
	case ended := <-c.ended:
		c.endFormer(ended)
		return false
	case target := <-c.retargets:
		c.applyTarget(target)
		return true // if a failed call to the former target ended watching, the new one may respond
	case <-ctx.Done():
		return false
	}
}

// handleFailure selects the replica for the next call, waits for the backoff if there is one, and reports whether to
// continue watching.
func (c *Client) handleFailure(ctx context.Context, err error) (watching bool) {
	if errors.Is(err, ErrScopeMismatch) {
		c.revision = UnknownRevision
		c.backoff.reset()
		return true
	}
	c.replica = (c.replica + 1) % len(c.addresses)
	switch {
	case errors.Is(err, ErrTimeout): // retry at once: a change may have come during the call
		slog.Warn("discovery: watch timed out", "after", c.callTimeout(), "error", err)
		return true
	case c.subscribe: // the node decides when to watch again
		slog.Warn("discovery: watch failed", "error", err)
		c.notify(Update{Kind: policy.ListUnavailable})
		return false
	}
	if c.backoff.firstFailure() {
		slog.Warn("discovery: list service unreachable, keeping the last list", "error", err)
	}
	c.backoff.wait(ctx)
	return true
}

// applyTarget switches to another target, and reports whether it has another list. Revisions at another address or in another
// scope may not be comparable with the current one, so the next call asks for the full list then.
func (c *Client) applyTarget(target Target) (otherList bool) {
	addresses := strings.Split(target.Addresses, ",")
	otherList = !slices.Equal(addresses, c.addresses) || target.Scope != c.scope.query
	if otherList {
		slog.Info("discovery: list service or scope changed", "address", target.Addresses, "scope", target.Scope)
		c.addresses, c.replica, c.revision = addresses, c.replica%len(addresses), UnknownRevision
		c.scope = scope{query: target.Scope}
	}
	c.backoff.reset()
	c.subscribe, c.timeouts = target.Subscribe, target.Timeouts
	c.http.CloseIdleConnections()
	return otherList
}

// watch makes a call to the current target and waits until it has ended. After Retarget, that is another call.
func (c *Client) watch(ctx context.Context) (List, error) {
	c.current = c.startCall(ctx)
	var saveDue <-chan time.Time // for changes since the cache was last written
	if c.cache != nil && c.cache.dirty {
		saveDue = time.After(minCacheInterval)
	}
	for {
		select {
		case ended := <-c.ended:
			if ended == c.current {
				return c.endCurrent()
			}
			c.endFormer(ended)
		case <-saveDue:
			c.cache.save(false)
			saveDue = nil
		case target := <-c.retargets:
			c.retarget(ctx, target)
		case <-ctx.Done():
			return List{}, ctx.Err()
		}
	}
}

// retarget switches to another target while a call is in progress. For another list it begins another call, and the one in
// progress becomes a former one. It is given up if there are maxFormerCalls that are older.
func (c *Client) retarget(ctx context.Context, target Target) {
	if !c.applyTarget(target) {
		c.current.setTimeout(c.callTimeout())
		return
	}
	if len(c.former) < maxFormerCalls {
		c.former = append(c.former, c.current)
	} else {
		c.current.giveUp()
	}
	c.current = c.startCall(ctx)
}

// endCurrent returns the result of the call to the current target, which has ended. After a response, the former calls are
// given up.
func (c *Client) endCurrent() (List, error) {
	ended := c.current
	c.current = nil
	if ended.err == nil {
		c.scope = ended.scope
		c.dropFormer(len(c.former))
	}
	return ended.list, ended.err
}

// endFormer uses the response to a call to a former target, unless a newer call was answered before.
func (c *Client) endFormer(ended *call) {
	i := slices.Index(c.former, ended)
	switch {
	case i < 0: // given up
	case ended.err != nil:
		c.former = slices.Delete(c.former, i, i+1)
	default:
		c.dropFormer(i + 1)
		c.publish(ended.list, false) // its revision may mean nothing to the current target
	}
	c.http.CloseIdleConnections() // the one to the former target
}

// dropFormer gives up the n oldest calls to former targets.
func (c *Client) dropFormer(n int) {
	for _, dropped := range c.former[:n] {
		dropped.giveUp()
	}
	c.former = slices.Delete(c.former, 0, n)
}

// Apply updates the revision and the cache with a response of the list service, and notifies the node. For a response
// without changes it notifies only with Subscribe, where the node waits for a response. Run calls it; a caller that
// calls Apply itself, as a hollow node does, must not call Run, because both use the same state without a lock.
func (c *Client) Apply(list List) {
	c.revision = max(0, list.Revision)
	c.publish(list, c.subscribe)
}

// publish updates the cache with a response and notifies the node. A response without changes is notified if it is awaited.
func (c *Client) publish(list List, awaited bool) {
	if c.cache != nil {
		c.cache.apply(list)
		c.cache.save(false)
	}
	switch {
	case list.Complete:
		c.notify(Update{Kind: policy.ListReplace, Endpoints: list.Endpoints})
	case len(list.Endpoints) > 0 || awaited:
		c.notify(Update{Kind: policy.ListUpdate, Endpoints: list.Endpoints})
	}
}
