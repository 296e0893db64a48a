package policy

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	// resubscribeBackoffBase is the mean wait before a failed subscription to the list is retried. Each further
	// failure doubles the mean, up to resubscribeBackoffMax or a quarter of the poll interval, whichever is
	// shorter. The maximum leaves time for several tries within the time in which a node must apply a change of
	// the list. A node that doesn't subscribe has a separate backoff, in internal/node/discovery/backoff.go.
	resubscribeBackoffBase = 500 * time.Millisecond
	resubscribeBackoffMax  = time.Second
	// maxBackoffDoublings keeps the shift in nextBackoff from overflowing.
	maxBackoffDoublings = 8
	// maxRetainTime is the maximum time for which servers are retained if most of their zone is missing from the
	// list. Retained servers stay in service though they aren't listed.
	maxRetainTime = 5 * time.Second
	// initialLatencyDivisor determines the mean latency that is assumed for a new server: the latency objective
	// of the first class in the settings is divided by it. Until the first responses, the assumed latency
	// determines how far apart attempts at the server are sent if its limit is below 1.
	initialLatencyDivisor = 4
)

// endpointList is the state of the subscription to the list of servers and of the listed servers as a whole.
type endpointList struct {
	failures    int           // failed calls for the list in a row
	retainFor   time.Duration // how long servers are retained if most of their zone is missing
	unavailable int           // servers, listed or retained, that are draining or ejected
}

// configure sets how long servers are retained. The time is at most half of drainGrace, because a missing
// server may be draining without the node having learned of it, and would stop serving after drainGrace. A
// drainGrace of 0 sets no bound.
func (l *endpointList) configure(drainGrace time.Duration) {
	l.retainFor = maxRetainTime
	if drainGrace > 0 {
		l.retainFor = min(maxRetainTime, drainGrace/2)
	}
}

// nextBackoff counts a failed call and returns the wait before the next one. The wait is random, from 0.5 to
// 1.5 times its mean, so that nodes don't all call at the same time.
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

// onEndpointList applies a list of servers or an update of it. If the list is unavailable, it schedules
// another subscription.
func (b *Balancer) onEndpointList(e EndpointList) {
	if e.Kind == ListUnavailable {
		b.subscribeListAfter(b.list.nextBackoff(b.settings.Rules.PollInterval, b.rng))
		return
	}
	b.updateSubscription(e.Kind)
	var missing []*server
	for _, endpoint := range e.Endpoints {
		if endpoint.Availability != Removed {
			b.upsertEndpoint(endpoint)
		} else if s := b.servers[endpoint.ID]; s != nil {
			missing = append(missing, s)
		}
	}
	if e.Kind != ListUpdate { // a whole list: servers that it lacks are missing
		missing = append(missing, b.missingServers(e.Endpoints)...)
	}
	b.retainMissing(missing)
	b.refreshOrder()
	b.dispatchQueued()
}

// updateSubscription subscribes to the list after the cached list has been read, if the settings require it.
// A node of a large fleet first waits for a random time, because all nodes may be starting. In all other
// cases, updateSubscription resets the backoff.
func (b *Balancer) updateSubscription(kind ListKind) {
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

// upsertEndpoint applies one entry of the list. A server that has restarted counts as a new server.
func (b *Balancer) upsertEndpoint(endpoint Endpoint) {
	s := b.servers[endpoint.ID]
	if s == nil || s.StartedAt != endpoint.StartedAt {
		if s != nil {
			b.packing.changed = append(b.packing.changed, s)
		}
		s = b.newServer()
		b.servers[endpoint.ID] = s
	}
	zone := b.zones.findOrCreate(endpoint.Zone)
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

// newServer returns a server without any measurements. Its warm-up budget starts with a random fraction of a
// token, so that nodes that learn of a starting server at the same time don't all send to it at once.
func (b *Balancer) newServer() *server {
	return &server{
		meanLatency:  b.settings.Classes[0].LatencyObjective.Seconds() / initialLatencyDivisor,
		warmupBudget: warmupBudget{tokens: b.rng.Float64(), refilledAt: b.now},
	}
}

// missingServers returns the servers that a whole list lacks.
func (b *Balancer) missingServers(list []Endpoint) (missing []*server) {
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

// retainMissing drops or retains the servers that the list lacks. If more than half of a zone's running
// servers are missing at once, without having been drained, a wrong list is more likely than a loss of the
// servers. In that case, and if the settings permit it, the running servers are retained for a while.
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

// releaseRetained drops the servers that have been retained for retainFor. If a server of their zone is
// listed later, the zone starts with a small traffic share, which then grows (startRecovery).
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

// dropServer removes a server that is no longer listed.
func (b *Balancer) dropServer(s *server) {
	delete(b.servers, s.ID)
	b.packing.changed = append(b.packing.changed, s)
}

// countUnavailable counts a server in endpointList.unavailable, or stops counting it, as its state requires.
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
