package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"sloerail/policy"
)

const (
	backoffMin = 25 * time.Millisecond
	// backoffMax guards the rule on drains: what a pushed list's agent has counts as told, also while
	// the node pauses after a failed call.
	backoffMax  = 200 * time.Millisecond
	maxListSize = 8 << 20 // bytes of one answer; a longer one isn't a list
)

// list is the whole list of servers, or what changed in it.
type list struct {
	Revision int64
	Complete bool
	Members  []member
}

// member is one entry; UpSince is in Unix milliseconds, and 0 means long ago.
type member struct {
	policy.Endpoint
	Addr    string
	UpSince int64
}

var phases = map[string]policy.Availability{
	"up": policy.Running, "draining": policy.Draining, "removed": policy.Removed,
}

// listForm and entryForm are discovery's form.
type (
	listForm struct {
		Revision *int64      `json:"revision"`
		Complete bool        `json:"complete"`
		SavedMs  int64       `json:"saved_ms,omitempty"` // of a kept list
		Members  []entryForm `json:"members"`
	}
	entryForm struct {
		ID       string   `json:"id"`
		HostPort string   `json:"host_port"`
		Locality string   `json:"locality"`
		Flavor   string   `json:"flavor"`
		Cell     int64    `json:"cell"`
		Phase    string   `json:"phase"`
		Size     *float64 `json:"size"`
		UpSince  float64  `json:"up_since_ms"`
	}
)

// form is m as discovery writes it.
func (m member) form() entryForm {
	f := entryForm{ID: m.ID, HostPort: m.Addr, Locality: m.Zone, Flavor: m.Kind, Cell: m.Cell, Size: &m.Weight,
		UpSince: float64(m.UpSince)}
	for word, phase := range phases {
		if phase == m.Availability {
			f.Phase = word
		}
	}
	return f
}

// parseList reads discovery's form. A list with one bad entry is bad as a whole: what it would
// otherwise leave out might be a drain.
func parseList(raw []byte) (list, error) {
	var f listForm
	if err := unmarshal(raw, &f); err != nil {
		return list{}, err
	}
	if f.Revision == nil {
		return list{}, errors.New("revision: missing")
	}
	l := list{Revision: *f.Revision, Complete: f.Complete}
	for i, e := range f.Members {
		phase, ok := phases[e.Phase]
		switch {
		case e.ID == "":
			return list{}, fmt.Errorf("members[%d].id: missing", i)
		case !ok:
			return list{}, fmt.Errorf("members[%d].phase: unknown word %q", i, e.Phase)
		case !(e.UpSince >= 0 && e.UpSince < 1<<53):
			return list{}, fmt.Errorf("members[%d].up_since_ms: out of range", i)
		}
		if phase != policy.Removed {
			if err := checkAddress(e.HostPort); err != nil {
				return list{}, fmt.Errorf("members[%d].host_port: %w", i, err)
			}
		}
		m := member{Addr: e.HostPort, UpSince: int64(e.UpSince), Endpoint: policy.Endpoint{ID: e.ID,
			Zone: e.Locality, Kind: e.Flavor, Cell: e.Cell, Weight: 1, Availability: phase}}
		if e.Size != nil {
			m.Weight = *e.Size
		}
		l.Members = append(l.Members, m)
	}
	return l, nil
}

// news is what discovery has to tell the loop.
type news struct {
	kind    policy.ListKind
	members []member
}

// discovery watches the list of servers from a connection of its own.
type discovery struct {
	urls      []string // of the service's replicas; one is called at a time
	at        int
	client    *http.Client
	kept      *keeper // nil for none
	subscribe bool    // watch only when the module has asked, and tell it of failures
	times     callTimes
	scope     scopeState
	revision  int64
	asks      chan bool   // the module's newest wish to be kept told
	moves     chan target // the newest, where the configuration names another
	rng       *rand.Rand  // spreads calls after failures among nodes
	tell      func(any)
}

// target is what the configuration says of discovery.
type target struct {
	addr      string
	subscribe bool
	times     callTimes
	scope     string
}

var (
	errMoved  = errors.New("discovery has moved") // since the call was made
	errSilent = errors.New("the call fell silent")
)

// wholeList stands for a revision of no list: the answer is then the list as a whole, at once.
const wholeList = -1

// registryURLs are where the list is at each of the addresses, which commas part.
func registryURLs(addrs string) (all []string) {
	for addr := range strings.SplitSeq(addrs, ",") {
		all = append(all, "http://"+addr+"/registry/instances")
	}
	return all
}

func newDiscovery(c Config, tell func(any)) *discovery {
	urls, scope := registryURLs(c.Discovery), scopeState{query: c.Scope}
	return &discovery{
		urls: urls, at: int(c.Seed % uint64(len(urls))), kept: newKeeper(c), subscribe: c.Settings.SubscribeList,
		times: newCallTimes(c.Settings), scope: scope, revision: scope.firstRevision(c.Known.Revision),
		rng: rand.New(rand.NewPCG(c.Seed, 0xd1)), asks: make(chan bool, 1),
		moves: make(chan target, 1), tell: tell,
		client: &http.Client{
			// A Transport of its own, so neither a proxy nor the requests share its connection.
			Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1,
				DialContext: c.dialer(queueTime)},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// ask passes the module's wish on; a newer one takes the place of one not yet heard. Only the loop
// calls it, and it never blocks.
func (d *discovery) ask(on bool) {
	select {
	case <-d.asks:
	default:
	}
	d.asks <- on
}

// move names another address for discovery, which takes the place of one not yet heard. One goroutine
// calls it, and it never blocks.
func (d *discovery) move(to target) {
	select {
	case <-d.moves:
	default:
	}
	d.moves <- to
}

// moveTo leaves the old address. Its revisions need not be the new one's, so the whole list is fetched.
func (d *discovery) moveTo(to target) {
	if urls := registryURLs(to.addr); !slices.Equal(urls, d.urls) || to.scope != d.scope.query {
		slog.Info("discovery: moved", "address", to.addr)
		d.urls, d.at, d.revision = urls, d.at%len(urls), wholeList
		d.scope = scopeState{query: to.scope}
	}
	d.subscribe, d.times = to.subscribe, to.times
	d.client.CloseIdleConnections()
}

// run watches until ctx ends.
func (d *discovery) run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	if d.kept != nil {
		defer d.kept.save(true)
	}
	watching, backoff := !d.subscribe, time.Duration(0)
	for ctx.Err() == nil {
		if d.subscribe {
			watching = d.heed(ctx, watching)
		}
		if !watching {
			continue
		}
		l, err := d.call(ctx)
		if err != nil && !errors.Is(err, errMoved) { // the next replica may be there
			d.at = (d.at + 1) % len(d.urls)
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errMoved):
			backoff = 0
		case err == nil:
			backoff = 0
			d.learn(l)
		case errors.Is(err, errSilent): // the clock of what it missed runs: it is opened anew at once
			slog.Warn("discovery: a call fell silent", "for", d.patience())
		case d.subscribe: // the module says when to try again
			slog.Warn("discovery: a watch failed", "err", err)
			watching = false
			d.tell(news{kind: policy.ListUnavailable})
		default: // pushed lists: the last one stays, and the module need not know
			if backoff == 0 {
				slog.Warn("discovery: out of reach, keeping the last list", "err", err)
			}
			backoff = nextBackoff(backoff)
			pause(ctx, time.Duration((0.5+0.5*d.rng.Float64())*float64(backoff)))
		}
	}
}

// heed takes the module's newest wish; it waits for one only while there is nothing to watch.
func (d *discovery) heed(ctx context.Context, watching bool) bool {
	if watching {
		select {
		case on := <-d.asks:
			return on
		default:
			return true
		}
	}
	select {
	case on := <-d.asks:
		return on
	case to := <-d.moves:
		d.moveTo(to)
		return true // the new address is not the one that failed
	case <-ctx.Done():
		return false
	}
}

// call watches once, and hangs up when discovery moves meanwhile.
func (d *discovery) call(ctx context.Context) (list, error) {
	ctx, hangUp := context.WithCancel(ctx)
	defer hangUp()
	var l list
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		l, err = d.watch(ctx)
	}()
	var due <-chan time.Time // to keep what came since the list was last written
	if d.kept != nil && d.kept.dirty {
		due = time.After(keepEvery)
	}
	for {
		select {
		case <-done:
			return l, err
		case <-due:
			d.kept.save(false)
			due = nil
		case to := <-d.moves:
			hangUp()
			<-done
			d.moveTo(to)
			return list{}, errMoved
		}
	}
}

// watch makes one call, which waits for something newer than the revision held.
func (d *discovery) watch(ctx context.Context) (list, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, d.patience(), errSilent)
	defer cancel()
	l, err := d.fetch(ctx)
	if err != nil && context.Cause(ctx) == errSilent {
		err = errSilent
	}
	return l, err
}

// patience is how long the next call may take.
func (d *discovery) patience() time.Duration {
	if d.revision == wholeList {
		return d.times.whole
	}
	return d.times.patience
}

// fetch reads one answer.
func (d *discovery) fetch(ctx context.Context) (list, error) {
	url := d.urls[d.at]
	if d.revision != wholeList {
		url += fmt.Sprintf("?index=%d&wait=%d", d.revision, d.times.wait.Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.scope.addTo(url), nil)
	if err != nil {
		return list{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list{}, d.scope.refusal(resp)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize+1))
	if err != nil {
		return list{}, err
	}
	if len(raw) > maxListSize {
		return list{}, fmt.Errorf("the list is over %d bytes", maxListSize)
	}
	l, err := parseList(raw)
	if err != nil {
		return list{}, fmt.Errorf("malformed list skipped: %w", err)
	}
	// Our own service's revisions only grow, from one epoch to the next as well.
	if resp.Header.Get(epochHeader) != "" && l.Revision < d.revision {
		return list{}, fmt.Errorf("revision %d after %d: a replica that lags", l.Revision, d.revision)
	}
	if err := d.scope.check(resp.Header, l.Complete); err != nil {
		d.revision = wholeList
		return list{}, err
	}
	return l, nil
}

const epochHeader = "X-Registry-Epoch" // in the answers of our own list service

// learn passes on what a watch brought. An empty delta is told only where the module awaits an answer.
func (d *discovery) learn(l list) {
	d.revision = max(0, l.Revision)
	if d.kept != nil {
		d.kept.take(l)
		d.kept.save(false)
	}
	switch {
	case l.Complete:
		d.tell(news{policy.ListReplace, l.Members})
	case len(l.Members) > 0 || d.subscribe:
		d.tell(news{policy.ListUpdate, l.Members})
	}
}

// nextBackoff is how long to pause after one more failure in a row.
func nextBackoff(last time.Duration) time.Duration {
	return min(backoffMax, max(backoffMin, 2*last))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
