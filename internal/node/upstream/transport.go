package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sloerail/internal/node/discovery"
	"sloerail/policy"
)

const (
	// defaultIdleTimeout is that of the servers where the settings name none.
	defaultIdleTimeout = 60 * time.Second
	// idleCheckInterval is the time between looks at an idle connection for whether its server closed it.
	idleCheckInterval = 5 * time.Second
	// missingRetention is how long the pool of a server that the endpoint list lacks is retained under
	// TransportConfig.RetainMissing. The balancer sends to such a server for less than that.
	missingRetention = 10 * time.Second
)

var (
	errUnknownServer  = errors.New("upstream: the server is not in the endpoint list")
	errServerDraining = errors.New("upstream: the server began to drain after it was chosen")
	// errNoDescriptor is the node's own shortage. policy can't tell it from a refused connection: both are ConnectFailed.
	errNoDescriptor = errors.New("upstream: no descriptor is left for another connection")
)

// DialFunc opens a connection, as net.Dialer.DialContext does. It is an alias, so that a config.DialFunc is one without an
// import of that package.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// TransportConfig is what a Transport takes from the configuration of a node.
type TransportConfig struct {
	Dial             DialFunc
	IdleTimeout      time.Duration // after which servers close an idle connection; 0 for the default of 60 s
	LoadReportFields []string      // names of the values of a load report, in the order of Result.LoadReport
	RetainMissing    bool          // servers that the endpoint list lacks are still sent to for a moment
}

// Transport makes attempts at servers, over connections that it pools itself. http.Transport sends a GET, or a request
// with an Idempotency-Key, again by itself when a reused connection breaks, and each such copy would be an attempt that
// the balancer never decided on. Its methods may be called from any goroutine.
type Transport struct {
	requestsSent   *metrics.Counter
	descriptors    *Descriptors
	descriptorWait time.Duration // that an attempt waits at most for a descriptor

	mu        sync.Mutex
	config    TransportConfig
	pools     map[string]*serverPool // by the server's ID
	openConns int                    // connections, those being dialed among them
	maxConns  int                    // that may be open, besides the descriptors' limit; 0 for no such limit
	waiters   descriptorQueue
}

// NewTransport makes a Transport that shares descriptors with the clients' side, and counts the requests that it has
// written completely.
func NewTransport(c TransportConfig, shared *Descriptors, requestsSent *metrics.Counter) *Transport {
	t := &Transport{requestsSent: requestsSent, pools: make(map[string]*serverPool), descriptors: shared,
		descriptorWait: descriptorWaitTimeout}
	t.Configure(c)
	return t
}

// Configure replaces the configuration. Open connections stay.
func (t *Transport) Configure(c TransportConfig) {
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config = c
}

// idleTimeout is how long an idle connection is pooled: half of the servers' limit, since what is written just as the
// server closes would end as a reset.
func (t *Transport) idleTimeout() time.Duration { return t.config.IdleTimeout / 2 }

func (t *Transport) loadReportFields() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config.LoadReportFields
}

// Descriptors is what the Transport shares with the clients' side.
func (t *Transport) Descriptors() *Descriptors { return t.descriptors }

// ConnCounts counts the connections, those being dialed among them, and those of them that are idle.
func (t *Transport) ConnCounts() (open, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		idle += len(p.idle)
	}
	return t.openConns, idle
}

// UpdateEndpoints follows the endpoint list. A server that moved or restarted gets a new pool: connections to its former
// process are of no use.
func (t *Transport) UpdateEndpoints(update discovery.Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(update.Endpoints))
	for _, e := range update.Endpoints {
		p := t.pools[e.ID]
		listed[e.ID] = true
		switch {
		case e.Availability == policy.Removed:
			t.markMissing(e.ID)
		case p == nil || p.address != e.Address || p.startedAtMillis != e.StartedAtMillis:
			t.removePool(e.ID)
			t.pools[e.ID] = &serverPool{address: e.Address, startedAtMillis: e.StartedAtMillis}
		default:
			p.missingSince = time.Time{}
		}
		if p := t.pools[e.ID]; p != nil {
			p.draining = e.Availability == policy.Draining
		}
	}
	if update.Kind == policy.ListUpdate {
		return
	}
	for id := range t.pools {
		if !listed[id] {
			t.markMissing(id)
		}
	}
}

// markMissing removes the pool of a server that the endpoint list lacks, later where such servers are retained.
func (t *Transport) markMissing(id string) {
	switch p := t.pools[id]; {
	case p == nil:
	case !t.config.RetainMissing:
		t.removePool(id)
	case p.missingSince.IsZero():
		p.missingSince = time.Now()
	}
}

func (t *Transport) removePool(id string) {
	if p := t.pools[id]; p != nil {
		t.closeOldest(p, len(p.idle))
		delete(t.pools, id)
	}
}

// CloseExpired closes the connections that were idle for too long, and those that their server closed.
func (t *Transport) CloseExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.pools {
		if !p.missingSince.IsZero() && now.Sub(p.missingSince) >= missingRetention {
			t.removePool(id)
			continue
		}
		var live []*serverConn
		for _, c := range p.idle {
			usable := now.Sub(c.lastUsed) < t.idleTimeout()
			if usable && now.Sub(c.lastChecked) >= idleCheckInterval {
				c.lastChecked, usable = now, c.isUsable()
			}
			if usable {
				live = append(live, c)
				continue
			}
			t.discard(c)
		}
		p.idle = live
	}
}

// CloseIdle closes all idle connections; those in use end with their attempts.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.pools {
		t.removePool(id)
	}
}
