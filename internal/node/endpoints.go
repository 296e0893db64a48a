package node

import (
	"sloerail/internal/node/config"
	"sloerail/internal/node/discovery"
	"sloerail/policy"
)

// discoveryTarget returns the list service of a configuration.
func discoveryTarget(c config.Config) discovery.Target {
	return discovery.NewTarget(c.Discovery, c.Scope, c.Settings)
}

// discoveryConfig returns the configuration of the list service's client. The dial timeout is MaxQueueTime, the longest
// time for which a reachable list service queues a call.
func discoveryConfig(c config.Config) discovery.ClientConfig {
	return discovery.ClientConfig{Target: discoveryTarget(c), CacheFile: c.ListFile, Known: c.Known, Seed: c.Seed,
		Dial: c.Dialer(discovery.MaxQueueTime)}
}

// applyUpdate applies an update of the endpoint list. It converts the servers' start times to the loop's clock.
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
		endpoints[i].StartedAt = l.clock.fromUnixMilli(e.StartedAtMillis)
	}
	l.decide(policy.EndpointList{Kind: update.Kind, Endpoints: endpoints})
}
