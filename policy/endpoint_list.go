package policy

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	// resubscribeBackoffBase is the mean wait before a failed subscription to the list is repeated. It doubles
	// with each further failure up to resubscribeBackoffMax, which leaves time for several tries before a
	// change of the list has to be followed. A node that doesn't subscribe has its own backoff, in
	// internal/node/discovery/backoff.go.
	resubscribeBackoffBase = 500 * time.Millisecond
	resubscribeBackoffMax  = time.Second
	// maxBackoffDoublings keeps the shift by the number of failures in range.
	maxBackoffDoublings = 8
	// maxRetainTime bounds how long servers are retained that most of a zone's list entries vanish with.
	maxRetainTime = 5 * time.Second
	// initialLatencyDivisor divides the latency objective of the first class of the settings into the mean
	// latency that is assumed of a new server: it spaces attempts until the first responses.
	initialLatencyDivisor = 4
)

// endpointList owns the state of the subscription to the list of servers, and of the servers that it takes
// away.
type endpointList struct {
	failures    int           // failed calls in a row
	retainFor   time.Duration // how long servers are retained that vanish with most of their zone
	unavailable int           // listed servers that get no work: they drain or are ejected
}

// configure sets how long servers are retained: well within the grace of drains, which they may have missed.
func (l *endpointList) configure(drainGrace time.Duration) {
	l.retainFor = maxRetainTime
	if drainGrace > 0 {
		l.retainFor = min(maxRetainTime, drainGrace/2)
	}
}

// nextBackoff is the wait before the next call after one that failed, spread among nodes.
func (l *endpointList) nextBackoff(pollInterval time.Duration, rng *rand.Rand) time.Duration {
	longest := min(resubscribeBackoffMax, cmp.Or(pollInterval/4, resubscribeBackoffMax))
	mean := min(longest, resubscribeBackoffBase<<min(l.failures, maxBackoffDoublings))
	l.failures++
	return time.Duration((0.5 + rng.Float64()) * float64(mean))
}

func (b *Balancer) subscribeList() { b.emit(Action{Kind: WatchList, Enabled: true}) }

// subscribeListAfter subscribes to the list after a wait.
func (b *Balancer) subscribeListAfter(wait time.Duration) {
	b.emit(Action{Kind: SetTimer, Wait: wait, Token: listTimerToken})
}

// onEndpointList takes over the list of servers or a change of it, or subscribes again if there is none.
func (b *Balancer) onEndpointList(e EndpointList) {
	if e.Kind == ListUnavailable {
		b.subscribeListAfter(b.list.nextBackoff(b.settings.Rules.PollInterval, b.rng))
		return
	}
	b.followSubscription(e.Kind)
	var missing []*server
	for _, endpoint := range e.Endpoints {
		if endpoint.Availability != Removed {
			b.upsertEndpoint(endpoint)
		} else if s := b.servers[endpoint.ID]; s != nil {
			missing = append(missing, s)
		}
	}
	if e.Kind != ListUpdate { // what a whole list lacks is missing
		missing = append(missing, b.missingEndpoints(e.Endpoints)...)
	}
	b.retainMissing(missing)
	b.refreshOrder()
	b.dispatchQueued()
}

// followSubscription subscribes to the list once the cached one has been read. Nodes of a large fleet may
// all be starting, so they spread their calls.
func (b *Balancer) followSubscription(kind ListKind) {
	switch {
	case kind == ListCached && b.settings.SubscribeList && b.isLargeFleet():
		longest := min(2*resubscribeBackoffMax, b.settings.Rules.DrainGrace)
		b.subscribeListAfter(time.Duration(b.rng.Float64() * float64(longest)))
	case kind == ListCached && b.settings.SubscribeList:
		b.subscribeList()
	default:
		b.list.failures = 0
	}
}

// upsertEndpoint takes over one entry of the list. A server that has started anew is a new one.
func (b *Balancer) upsertEndpoint(endpoint Endpoint) {
	s := b.servers[endpoint.ID]
	if s == nil || s.StartedAt != endpoint.StartedAt {
		if s != nil {
			b.packing.changed = append(b.packing.changed, s)
		}
		s = b.newServer()
		b.servers[endpoint.ID] = s
	}
	zone := b.zones.find(endpoint.Zone)
	if s.Endpoint != endpoint || s.zone != zone {
		b.packing.changed = append(b.packing.changed, s)
	}
	if s.segment != nil && s.Zone != endpoint.Zone {
		b.packing.serversByZone[s.Zone]--
		b.packing.serversByZone[endpoint.Zone]++
	}
	s.Endpoint, s.missingSince, s.zone = endpoint, 0, zone
	if zone.takeVanished() {
		b.zones.startRecovery(zone, b.now)
	}
}

// newServer makes a server that nothing is known of. It begins with a random part of a token, so that nodes
// that are notified of a starting server together don't all send to it at once.
func (b *Balancer) newServer() *server {
	return &server{
		meanLatency:  b.settings.Classes[0].LatencyObjective.Seconds() / initialLatencyDivisor,
		warmupBudget: warmupBudget{tokens: b.rng.Float64(), refilledAt: b.now},
	}
}

// missingEndpoints are the servers that a whole list lacks.
func (b *Balancer) missingEndpoints(list []Endpoint) (missing []*server) {
	listed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		if endpoint.Availability != Removed {
			listed[endpoint.ID] = true
		}
	}
	for id, s := range b.servers {
		if !listed[id] {
			missing = append(missing, s)
		}
	}
	return missing
}

// retainMissing drops the servers that the list lacks. Where it lacks more than half of a zone's running
// servers at once, and they were not drained before, the list is more likely at fault than the servers, so
// they are retained for a while.
func (b *Balancer) retainMissing(missing []*server) {
	runningInZone := make(map[string]int)
	for _, s := range missing {
		if s.Availability == Running {
			runningInZone[s.Zone]++
		}
	}
	for _, s := range missing {
		isMostOfZone := b.packing.serversByZone[s.Zone] < 2*runningInZone[s.Zone]
		if !b.settings.RetainMissing || !isMostOfZone || s.Availability != Running {
			b.dropServer(s)
		} else if s.missingSince == 0 {
			s.missingSince = b.now
			b.emit(Action{Kind: SetTimer, Wait: b.list.retainFor, Token: retainTimerToken})
		}
	}
}

// releaseRetained drops the servers that have been retained for long enough. If they are listed again
// later, their zone recovers by a small share.
func (b *Balancer) releaseRetained() {
	for _, s := range b.servers {
		if s.missingSince > 0 && b.now-s.missingSince >= b.list.retainFor {
			b.dropServer(s)
			if s.zone != nil {
				s.zone.serversVanished = true
			}
		}
	}
	b.refreshOrder()
}

// dropServer forgets a server that the list has taken away.
func (b *Balancer) dropServer(s *server) {
	delete(b.servers, s.ID)
	b.packing.changed = append(b.packing.changed, s)
}

// countUnavailable updates the count of listed servers that get no work.
func (b *Balancer) countUnavailable(s *server) {
	unavailable := b.servers[s.ID] == s && (s.outlier.ejected || s.Availability != Running)
	switch {
	case unavailable && !s.contribution.unavailable:
		b.list.unavailable++
	case !unavailable && s.contribution.unavailable:
		b.list.unavailable--
	}
	s.contribution.unavailable = unavailable
}
