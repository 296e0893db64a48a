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
	"time"

	"sloerail/policy"
)

// jitterStream sets the random numbers of the backoff apart from others that have the same seed.
const jitterStream = 0xd1

// Client watches the list service. SetWatching and Retarget may be called from other goroutines than Run's, each from
// one at a time; they don't block.
type Client struct {
	http          *http.Client
	notify        func(Update)
	watchRequests chan bool   // the newest call of SetWatching that Run has not seen yet
	retargets     chan Target // the newest call of Retarget that Run has not seen yet

	// Run's goroutine alone uses what follows.
	addresses []string // host:port of the replicas
	replica   int      // the index of the one that is called
	subscribe bool
	timeouts  Timeouts
	scope     scope
	revision  int64 // of the list held
	cache     *listCache
	backoff   backoff
}

// Target is what the configuration says of the list service.
type Target struct {
	Addresses string // host:port of the replicas, which commas separate
	Subscribe bool   // watch only while SetWatching asks for it, and notify of failures
	Timeouts  Timeouts
	Scope     string // the query that ParseScope made; empty for the whole list
}

// NewTarget is the list service at the addresses under the settings.
func NewTarget(addresses, scope string, settings policy.Settings) Target {
	return Target{Addresses: addresses, Subscribe: settings.SubscribeList, Timeouts: newTimeouts(settings), Scope: scope}
}

// ClientConfig is what a Client starts with.
type ClientConfig struct {
	Target
	CacheFile string // where the list is cached on disk; empty for nowhere
	Known     List   // the list as last known, from whose revision on the client watches
	Seed      uint64 // spreads nodes over the replicas, and their calls after failures
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewClient makes a client that passes what it learns to notify, from Run's goroutine.
func NewClient(c ClientConfig, notify func(Update)) *Client {
	addresses, scope := strings.Split(c.Addresses, ","), scope{query: c.Scope}
	return &Client{
		http: &http.Client{
			// A Transport of its own, so neither a proxy nor the requests share its connection.
			Transport:     &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: c.Dial},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		notify:        notify,
		watchRequests: make(chan bool, 1),
		retargets:     make(chan Target, 1),
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

// SetWatching turns watching on or off, for a Target with Subscribe. It replaces an earlier call that Run has not seen.
func (c *Client) SetWatching(on bool) {
	select {
	case <-c.watchRequests:
	default:
	}
	c.watchRequests <- on
}

// Retarget follows a changed configuration. It replaces an earlier call that Run has not seen.
func (c *Client) Retarget(target Target) {
	select {
	case <-c.retargets:
	default:
	}
	c.retargets <- target
}

// Run watches until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
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
		list, err := c.watchOrRetarget(ctx)
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

// nextWatchState is whether to watch now. It waits for a call of SetWatching only while there is nothing to watch.
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
	case target := <-c.retargets:
		c.applyTarget(target)
		return true // the new address is not the one that failed
	case <-ctx.Done():
		return false
	}
}

// handleFailure chooses the replica to call next, pauses if it has to, and reports whether to go on watching.
func (c *Client) handleFailure(ctx context.Context, err error) (watching bool) {
	if errors.Is(err, ErrRetargeted) || errors.Is(err, ErrScopeMismatch) {
		c.backoff.reset()
		return true
	}
	c.replica = (c.replica + 1) % len(c.addresses)
	switch {
	case errors.Is(err, ErrTimeout): // a change may have come meanwhile: there is no time to pause
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

// applyTarget goes over to another configuration. Revisions at another address or of another scope need not be
// comparable with the one held, so the whole list is fetched there.
func (c *Client) applyTarget(target Target) {
	if addresses := strings.Split(target.Addresses, ","); !slices.Equal(addresses, c.addresses) || target.Scope != c.scope.query {
		slog.Info("discovery: list service changed", "address", target.Addresses, "scope", target.Scope)
		c.addresses, c.replica, c.revision = addresses, c.replica%len(addresses), UnknownRevision
		c.scope = scope{query: target.Scope}
	}
	c.subscribe, c.timeouts = target.Subscribe, target.Timeouts
	c.http.CloseIdleConnections()
}

// watchOrRetarget watches once. A call of Retarget ends the watch with ErrRetargeted.
func (c *Client) watchOrRetarget(ctx context.Context) (List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var list List
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		list, err = c.watch(ctx)
	}()
	var saveDue <-chan time.Time // for changes that came since the cache was last written
	if c.cache != nil && c.cache.dirty {
		saveDue = time.After(minCacheInterval)
	}
	for {
		select {
		case <-done:
			return list, err
		case <-saveDue:
			c.cache.save(false)
			saveDue = nil
		case target := <-c.retargets:
			cancel()
			<-done
			c.applyTarget(target)
			return List{}, ErrRetargeted
		}
	}
}

// Apply takes a list that a watch brought, and passes it on. An answer without changes is passed on only with
// Subscribe, where the node waits for one. Run calls it; a caller that feeds lists itself, as a hollow node does, must
// not call Run, for both use the same state without a lock.
func (c *Client) Apply(list List) {
	c.revision = max(0, list.Revision)
	if c.cache != nil {
		c.cache.apply(list)
		c.cache.save(false)
	}
	switch {
	case list.Complete:
		c.notify(Update{Kind: policy.ListReplace, Endpoints: list.Endpoints})
	case len(list.Endpoints) > 0 || c.subscribe:
		c.notify(Update{Kind: policy.ListUpdate, Endpoints: list.Endpoints})
	}
}
