package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"sloerail/internal/node/decode"
	"sloerail/policy"
)

const (
	minBackoff = 25 * time.Millisecond
	// maxBackoff guards the rule on drains: what a pushed list's agent has counts as told, also while
	// the node pauses after a failed call.
	maxBackoff   = 200 * time.Millisecond
	maxListBytes = 8 << 20 // bytes of one answer; a longer one isn't a list
)

// List is the whole list of servers, or what changed in it.
type List struct {
	Revision  int64
	Complete  bool
	Endpoints []Endpoint
}

// Endpoint is one entry; UpSince is in Unix milliseconds, and 0 means long ago.
type Endpoint struct {
	policy.Endpoint
	Address         string
	StartedAtMillis int64
}

var phaseAvailability = map[string]policy.Availability{
	"up": policy.Running, "draining": policy.Draining, "removed": policy.Removed,
}

// listForm and entryForm are discovery's form.
type (
	listForm struct {
		Revision      *int64      `json:"revision"`
		Complete      bool        `json:"complete"`
		SavedAtMillis int64       `json:"saved_ms,omitempty"` // of a kept list
		Endpoints     []entryForm `json:"members"`
	}
	entryForm struct {
		ID              string   `json:"id"`
		Address         string   `json:"host_port"`
		Zone            string   `json:"locality"`
		Kind            string   `json:"flavor"`
		Cell            int64    `json:"cell"`
		State           string   `json:"phase"`
		Weight          *float64 `json:"size"`
		StartedAtMillis float64  `json:"up_since_ms"`
	}
)

// wire is m as discovery writes it.
func (m Endpoint) wire() entryForm {
	f := entryForm{ID: m.ID, Address: m.Address, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: &m.Weight,
		StartedAtMillis: float64(m.StartedAtMillis)}
	for word, phase := range phaseAvailability {
		if phase == m.Availability {
			f.State = word
		}
	}
	return f
}

// ParseList reads discovery's form. A list with one bad entry is bad as a whole: what it would
// otherwise leave out might be a drain.
func ParseList(raw []byte) (List, error) {
	var f listForm
	if err := decode.JSON(raw, &f); err != nil {
		return List{}, err
	}
	if f.Revision == nil {
		return List{}, errors.New("revision: missing")
	}
	l := List{Revision: *f.Revision, Complete: f.Complete}
	for i, e := range f.Endpoints {
		phase, ok := phaseAvailability[e.State]
		switch {
		case e.ID == "":
			return List{}, fmt.Errorf("members[%d].id: missing", i)
		case !ok:
			return List{}, fmt.Errorf("members[%d].phase: unknown word %q", i, e.State)
		case !(e.StartedAtMillis >= 0 && e.StartedAtMillis < 1<<53):
			return List{}, fmt.Errorf("members[%d].up_since_ms: out of range", i)
		}
		if phase != policy.Removed {
			if err := decode.CheckAddress(e.Address); err != nil {
				return List{}, fmt.Errorf("members[%d].host_port: %w", i, err)
			}
		}
		m := Endpoint{Address: e.Address, StartedAtMillis: int64(e.StartedAtMillis), Endpoint: policy.Endpoint{ID: e.ID,
			Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: 1, Availability: phase}}
		if e.Weight != nil {
			m.Weight = *e.Weight
		}
		l.Endpoints = append(l.Endpoints, m)
	}
	return l, nil
}

// Update is what discovery has to tell the loop.
type Update struct {
	Kind      policy.ListKind
	Endpoints []Endpoint
}

// Client watches the list of servers from a connection of its own.
type Client struct {
	addresses     []string // of the service's replicas; one is called at a time
	replica       int
	http          *http.Client
	cache         *listCache // nil for none
	subscribe     bool       // watch only when the module has asked, and tell it of failures
	timeouts      Timeouts
	scope         scope
	revision      int64
	watchRequests chan bool   // the module's newest wish to be kept told
	retargets     chan Target // the newest, where the configuration names another
	jitter        *rand.Rand  // spreads calls after failures among nodes
	notify        func(Update)
}

// ClientConfig is what a Client starts with.
type ClientConfig struct {
	Target
	CacheFile string // where the list is cached on disk; empty for nowhere
	Known     List   // the list as last known, whose revision the first watch starts from
	Seed      uint64 // spreads nodes over the replicas, and their calls after failures
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Target is what the configuration says of discovery.
type Target struct {
	Addresses string
	Subscribe bool
	Timeouts  Timeouts
	Scope     string
}

var (
	ErrRetargeted = errors.New("discovery has moved") // since the call was made
	ErrSilent     = errors.New("the call fell silent")
)

// UnknownRevision stands for a revision of no list: the answer is then the list as a whole, at once.
const UnknownRevision = -1

// listURLs are where the list is at each of the addresses, which commas part.
func listURLs(addrs string) (all []string) {
	for addr := range strings.SplitSeq(addrs, ",") {
		all = append(all, "http://"+addr+"/registry/instances")
	}
	return all
}

func NewClient(c ClientConfig, notify func(Update)) *Client {
	urls, scope := listURLs(c.Addresses), scope{query: c.Scope}
	return &Client{
		addresses: urls, replica: int(c.Seed % uint64(len(urls))), cache: newListCache(c.CacheFile, c.Known),
		subscribe: c.Subscribe, timeouts: c.Timeouts, scope: scope, revision: scope.firstRevision(c.Known.Revision),
		jitter: rand.New(rand.NewPCG(c.Seed, 0xd1)), watchRequests: make(chan bool, 1),
		retargets: make(chan Target, 1), notify: notify,
		http: &http.Client{
			// A Transport of its own, so neither a proxy nor the requests share its connection.
			Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1,
				DialContext: c.Dial},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// SetWatching passes the module's wish on; a newer one takes the place of one not yet heard. Only the loop
// calls it, and it never blocks.
func (d *Client) SetWatching(on bool) {
	select {
	case <-d.watchRequests:
	default:
	}
	d.watchRequests <- on
}

// Retarget names another address for discovery, which takes the place of one not yet heard. One goroutine
// calls it, and it never blocks.
func (d *Client) Retarget(target Target) {
	select {
	case <-d.retargets:
	default:
	}
	d.retargets <- target
}

// applyTarget leaves the old address. Its revisions need not be the new one's, so the whole list is fetched.
func (d *Client) applyTarget(target Target) {
	if urls := listURLs(target.Addresses); !slices.Equal(urls, d.addresses) || target.Scope != d.scope.query {
		slog.Info("discovery: moved", "address", target.Addresses)
		d.addresses, d.replica, d.revision = urls, d.replica%len(urls), UnknownRevision
		d.scope = scope{query: target.Scope}
	}
	d.subscribe, d.timeouts = target.Subscribe, target.Timeouts
	d.http.CloseIdleConnections()
}

// Run watches until ctx ends.
func (d *Client) Run(ctx context.Context) {
	defer d.http.CloseIdleConnections()
	if d.cache != nil {
		defer d.cache.save(true)
	}
	watching, backoff := !d.subscribe, time.Duration(0)
	for ctx.Err() == nil {
		if d.subscribe {
			watching = d.nextWatchState(ctx, watching)
		}
		if !watching {
			continue
		}
		list, err := d.watchOrRetarget(ctx)
		if err != nil && !errors.Is(err, ErrRetargeted) { // the next replica may be there
			d.replica = (d.replica + 1) % len(d.addresses)
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrRetargeted):
			backoff = 0
		case err == nil:
			backoff = 0
			d.Apply(list)
		case errors.Is(err, ErrSilent): // the clock of what it missed runs: it is opened anew at once
			slog.Warn("discovery: a call fell silent", "for", d.callTimeout())
		case d.subscribe: // the module says when to try again
			slog.Warn("discovery: a watch failed", "err", err)
			watching = false
			d.notify(Update{Kind: policy.ListUnavailable})
		default: // pushed lists: the last one stays, and the module need not know
			if backoff == 0 {
				slog.Warn("discovery: out of reach, keeping the last list", "err", err)
			}
			backoff = nextBackoff(backoff)
			sleep(ctx, time.Duration((0.5+0.5*d.jitter.Float64())*float64(backoff)))
		}
	}
}

// nextWatchState takes the module's newest wish; it waits for one only while there is nothing to watch.
func (d *Client) nextWatchState(ctx context.Context, watching bool) bool {
	if watching {
		select {
		case on := <-d.watchRequests:
			return on
		default:
			return true
		}
	}
	select {
	case on := <-d.watchRequests:
		return on
	case to := <-d.retargets:
		d.applyTarget(to)
		return true // the new address is not the one that failed
	case <-ctx.Done():
		return false
	}
}

// watchOrRetarget watches once, and hangs up when discovery moves meanwhile.
func (d *Client) watchOrRetarget(ctx context.Context) (List, error) {
	ctx, hangUp := context.WithCancel(ctx)
	defer hangUp()
	var l List
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		l, err = d.watch(ctx)
	}()
	var due <-chan time.Time // to keep what came since the list was last written
	if d.cache != nil && d.cache.dirty {
		due = time.After(minCacheInterval)
	}
	for {
		select {
		case <-done:
			return l, err
		case <-due:
			d.cache.save(false)
			due = nil
		case to := <-d.retargets:
			hangUp()
			<-done
			d.applyTarget(to)
			return List{}, ErrRetargeted
		}
	}
}

// watch makes one call, which waits for something newer than the revision held.
func (d *Client) watch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, d.callTimeout(), ErrSilent)
	defer cancel()
	l, err := d.fetch(ctx)
	if err != nil && context.Cause(ctx) == ErrSilent {
		err = ErrSilent
	}
	return l, err
}

// callTimeout is how long the next call may take.
func (d *Client) callTimeout() time.Duration {
	if d.revision == UnknownRevision {
		return d.timeouts.FullList
	}
	return d.timeouts.Watch
}

// fetch reads one answer.
func (d *Client) fetch(ctx context.Context) (List, error) {
	url := d.addresses[d.replica]
	if d.revision != UnknownRevision {
		url += fmt.Sprintf("?index=%d&wait=%d", d.revision, d.timeouts.Wait.Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.scope.appendTo(url), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, d.scope.statusError(resp)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return List{}, err
	}
	if len(raw) > maxListBytes {
		return List{}, fmt.Errorf("the list is over %d bytes", maxListBytes)
	}
	l, err := ParseList(raw)
	if err != nil {
		return List{}, fmt.Errorf("malformed list skipped: %w", err)
	}
	// Our own service's revisions only grow, from one epoch to the next as well.
	if resp.Header.Get(epochHeader) != "" && l.Revision < d.revision {
		return List{}, fmt.Errorf("revision %d after %d: a replica that lags", l.Revision, d.revision)
	}
	if err := d.scope.check(resp.Header, l.Complete); err != nil {
		d.revision = UnknownRevision
		return List{}, err
	}
	return l, nil
}

const epochHeader = "X-Registry-Epoch" // in the answers of our own list service

// Apply passes on what a watch brought. An empty delta is told only where the module awaits an answer.
func (d *Client) Apply(l List) {
	d.revision = max(0, l.Revision)
	if d.cache != nil {
		d.cache.apply(l)
		d.cache.save(false)
	}
	switch {
	case l.Complete:
		d.notify(Update{Kind: policy.ListReplace, Endpoints: l.Endpoints})
	case len(l.Endpoints) > 0 || d.subscribe:
		d.notify(Update{Kind: policy.ListUpdate, Endpoints: l.Endpoints})
	}
}

// nextBackoff is how long to pause after one more failure in a row.
func nextBackoff(last time.Duration) time.Duration {
	return min(maxBackoff, max(minBackoff, 2*last))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
