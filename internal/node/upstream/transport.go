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
	// defaultIdleTimeout is the servers' idle timeout if the settings have none.
	defaultIdleTimeout = 60 * time.Second
	// idleCheckInterval is the time between checks whether the server closed an idle connection.
	idleCheckInterval = 5 * time.Second
	// missingRetention is how long TransportConfig.RetainMissing keeps the pool of a server missing from the endpoint
	// list. The balancer stops sending to such a server sooner.
	missingRetention = 10 * time.Second
)

var (
	errUnknownServer  = errors.New("upstream: server not in the endpoint list")
	errServerDraining = errors.New("upstream: server began to drain after it was chosen")
	// errNoDescriptor means that the node itself is out of descriptors. policy can't tell this from a refused connection:
	// both are ConnectFailed.
	errNoDescriptor = errors.New("upstream: no free descriptor for another connection")
)

// DialFunc opens a connection, as net.Dialer.DialContext does. It is an alias so that a config.DialFunc can be used
// without importing package config.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// TransportConfig is the part of a node's configuration that a Transport uses.
type TransportConfig struct {
	Dial             DialFunc
	IdleTimeout      time.Duration // after which servers close an idle connection; 0 means 60 s
	LoadReportFields []string      // names of the values of a load report, in the order of Result.LoadReport
	RetainMissing    bool          // keep the pools of servers missing from the endpoint list for missingRetention
}

// Transport makes attempts at servers and pools the connections. Its methods may be called from any goroutine.
//
// http.Transport can't be used: when a reused connection breaks, it retries a GET, or a request with an
// Idempotency-Key, by itself. Each such retry would be an attempt that the balancer didn't decide on.
type Transport struct {
	requestsSent   *metrics.Counter
	descriptors    *Descriptors
	descriptorWait time.Duration // how long an attempt waits for a descriptor at most

	mu        sync.Mutex
	config    TransportConfig
	pools     map[string]*serverPool // by the server's ID
	openConns int                    // number of connections, including those being dialed
	maxConns  int                    // limit of openConns, in addition to the limit by descriptors; 0 for none
	waiters   descriptorQueue
}

// NewTransport returns a Transport that shares descriptors with the client connections. requestsSent counts the requests
// that it has written completely.
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

// idleTimeout returns how long an idle connection is pooled: half the servers' idle timeout, since a request written just
// as the server closes the connection would fail with a reset.
func (t *Transport) idleTimeout() time.Duration { return t.config.IdleTimeout / 2 }

func (t *Transport) loadReportFields() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config.LoadReportFields
}

// Descriptors returns the descriptors that the Transport shares with the client connections.
func (t *Transport) Descriptors() *Descriptors { return t.descriptors }

// ConnCounts returns the number of connections, including those being dialed, and how many of them are idle.
func (t *Transport) ConnCounts() (open, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		idle += len(p.idle)
	}
	return t.openConns, idle
}

// UpdateEndpoints applies a change of the endpoint list to the pools. A server with a new address or start time gets a
// new pool, and the idle connections to its former process are closed.
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

// markMissing removes the pool of a server missing from the endpoint list. With RetainMissing, CloseExpired removes it
// later.
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

// CloseExpired closes connections that were idle for too long or closed by their server, and removes the pools of servers
// that have been missing for missingRetention.
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

// CloseIdle removes all pools and closes the idle connections. Connections in use are closed when their attempts end.
// New attempts fail until UpdateEndpoints adds their servers again.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.pools {
		t.removePool(id)
	}
}
