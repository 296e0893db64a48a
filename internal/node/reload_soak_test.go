package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

const (
	soakSeeds       = 4
	soakDuration    = 40 * time.Second // of virtual time
	soakServers     = 6
	serversPerCell  = 2
	soakMaxAttempts = 4
	// maxReloadInterval is the longest time between two changes of the configuration.
	maxReloadInterval = 1500 * time.Millisecond
	// maxSendInterval is the longest time between the starts of two requests.
	maxSendInterval = 120 * time.Millisecond
	// maxHeadTime and maxBodyTime are the longest times that a client takes for a head and for a body.
	maxHeadTime = 1800 * time.Millisecond
	maxBodyTime = 500 * time.Millisecond
)

// soakConfig is a configuration of the class "charge". dropped tells that it has no such class.
type soakConfig struct {
	services    string
	dropped     bool
	retrySafety policy.RetrySafety
	perCell     bool
	maxAttempts int
	appliedAt   time.Time
}

// reloadSoak sends requests to a node whose configuration changes again and again, each by the configuration that its
// client goes by, and checks the runs of each request against that configuration.
type reloadSoak struct {
	t    *testing.T
	seed uint64
	node *reloadableNode

	mu      sync.Mutex
	configs []soakConfig
	runs    map[string][]int // by request ID: the cells of the servers that ran it, in order
}

// The random streams of a soak, which all begin with its seed. A server's stream is numbered from serverStream on.
const (
	requestStream = iota
	reloadStream
	serverStream
)

func (s *reloadSoak) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

// drawConfig draws a configuration.
func drawConfig(rng *rand.Rand) soakConfig {
	c := soakConfig{maxAttempts: 1 + rng.IntN(soakMaxAttempts)}
	switch rng.IntN(5) {
	case 0:
		c.services, c.retrySafety = ","+unsafeCharge, policy.NonIdempotent
	case 1:
		c.services, c.retrySafety = ","+idempotentCharge, policy.Idempotent
	case 2:
		c.services, c.retrySafety = ","+keyedCharge, policy.IdempotencyKeyed
	case 3:
		c.services, c.retrySafety, c.perCell = ","+keyedCellCharge, policy.IdempotencyKeyed, true
	default:
		c.dropped = true
	}
	return c
}

// clientConfig returns the configuration that clients go by: the newest one that was applied a formerClassPeriod ago.
func (s *reloadSoak) clientConfig() soakConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.configs) {
		if time.Since(c.appliedAt) >= formerClassPeriod {
			return c
		}
	}
	return s.configs[0]
}

// serve runs a request at a server of a cell: one in three fails after it ran, and some are turned away unrun.
func (s *reloadSoak) serve(cell int, rng *rand.Rand, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rng.IntN(8) == 0 {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.runs[id] = append(s.runs[id], cell)
	if rng.IntN(3) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// request sends one request in the form of a configuration, slowly, and checks the response and the runs.
func (s *reloadSoak) request(id string, c soakConfig, headTime, bodyTime time.Duration) {
	var headers []string
	if c.retrySafety == policy.IdempotencyKeyed {
		headers = []string{"Idempotency-Key: k-" + id}
	}
	body := "paid"
	if c.retrySafety == policy.Idempotent {
		body = ""
	}
	head := chargeHead(downstream.MethodFor(policy.Class{RetrySafety: c.retrySafety}), id, len(body), headers...)
	parts := []string{head[:len(head)/2], head[len(head)/2:]}
	pauses := []time.Duration{headTime, bodyTime}
	if body != "" {
		parts = append(parts, body)
	}
	status := s.node.send(parts, func(part int) { time.Sleep(pauses[part]) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check(id, c, status, s.runs[id])
}

// check checks the response to a request and its runs against the configuration that its client went by.
func (s *reloadSoak) check(id string, c soakConfig, status int, runs []int) {
	switch status {
	case http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusTooManyRequests:
	default:
		s.t.Errorf("request %s (%+v): got status %d, want the request to be accepted", id, c, status)
	}
	if len(runs) > c.maxAttempts {
		s.t.Errorf("request %s (%+v): got %d runs, want at most the number of attempts", id, c, len(runs))
	}
	if c.retrySafety == policy.NonIdempotent && len(runs) > 1 {
		s.t.Errorf("non-idempotent request %s ran %d times", id, len(runs))
	}
	for _, cell := range runs {
		if c.perCell && cell != runs[0] {
			s.t.Errorf("request %s (%+v) ran in the cells %v, want one cell", id, c, runs)
		}
	}
	if status == http.StatusServiceUnavailable && len(runs) > 0 && (c.retrySafety == policy.NonIdempotent || c.perCell) {
		s.t.Errorf("request %s (%+v) was rejected as never run, after %d runs", id, c, len(runs))
	}
}

// reload changes the configuration until the end.
func (s *reloadSoak) reload(end time.Time) {
	rng := s.newRand(reloadStream)
	for time.Now().Before(end) {
		c := drawConfig(rng)
		time.Sleep(drawTime(rng, maxReloadInterval))
		s.node.change(c.services, c.maxAttempts)
		s.mu.Lock()
		c.appliedAt = time.Now()
		s.configs = append(s.configs, c)
		s.mu.Unlock()
	}
}

// drawTime draws a time below longest.
func drawTime(rng *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(longest)))
}

// run plays the soak.
func (s *reloadSoak) run() {
	rng, end := s.newRand(requestStream), time.Now().Add(soakDuration)
	var wg sync.WaitGroup
	wg.Go(func() { s.reload(end) })
	for i := 0; time.Now().Before(end); i++ {
		headTime, bodyTime := drawTime(rng, maxHeadTime), drawTime(rng, maxBodyTime)
		if rng.IntN(3) == 0 {
			headTime = 0
		}
		if c := s.clientConfig(); !c.dropped {
			wg.Go(func() { s.request(fmt.Sprint("r", i), c, headTime, bodyTime) })
		}
		time.Sleep(drawTime(rng, maxSendInterval))
	}
	wg.Wait()
}

// Guards against any request that is handled by another configuration than its client's: while the configuration changes
// every 0.8 s on the mean, slow requests keep the form, the retry safety, the dedup scope and the attempts that they were
// sent under.
func TestRequestsKeepTheirConfigurationUnderRandomReloads(t *testing.T) {
	for seed := range uint64(soakSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				s := &reloadSoak{t: t, seed: seed, runs: make(map[string][]int)}
				first := soakConfig{services: "," + unsafeCharge, maxAttempts: soakMaxAttempts, appliedAt: time.Now()}
				s.configs = []soakConfig{first}
				cellOf := func(server int) int { return server / serversPerCell }
				var servers []string
				for i := range soakServers {
					rng := s.newRand(serverStream + uint64(i))
					servers = append(servers, nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
						s.serve(cellOf(i), rng, w, r)
					}))
				}
				s.node = newReloadableNode(t, first.services, first.maxAttempts, servers, cellOf)
				s.run()
			})
		})
	}
}
