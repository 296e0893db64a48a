package node

import (
	"sloerail/internal/node/config"
	"sloerail/internal/node/discovery"
	"sloerail/policy"
)

// discoveryTarget is the list service that a configuration names.
func discoveryTarget(c config.Config) discovery.Target {
	return discovery.NewTarget(c.Discovery, c.Scope, c.Settings)
}

// discoveryConfig is the configuration of the list service's client. A dial is bounded by
// MaxQueueTime, the longest that a service which can be reached makes a call wait.
func discoveryConfig(c config.Config) discovery.ClientConfig {
	return discovery.ClientConfig{Target: discoveryTarget(c), CacheFile: c.ListFile, Known: c.Known, Seed: c.Seed,
		Dial: c.Dialer(discovery.MaxQueueTime)}
}

// applyUpdate takes a change of the endpoint list. The balancer gets the servers' start times by the node's clock.
func (l *loop) applyUpdate(update discovery.Update) {
	if update.Kind != policy.ListUnavailable {
		l.up.UpdateEndpoints(update)
	}
	if update.Kind == policy.ListReplace || update.Kind == policy.ListCached {
		clear(l.endpoints)
	}
	endpoints := make([]policy.Endpoint, len(update.Endpoints))
	for i, e := range update.Endpoints {
		if e.Availability == policy.Removed {
			delete(l.endpoints, e.ID)
		} else {
			l.endpoints[e.ID] = e
		}
		endpoints[i] = e.Endpoint
		endpoints[i].StartedAt = l.clock.unix(e.StartedAtMillis)
	}
	l.decide(policy.EndpointList{Kind: update.Kind, Endpoints: endpoints})
}
