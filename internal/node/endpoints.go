package node

import (
	"sloerail/internal/node/config"
	"sloerail/internal/node/discovery"
	"sloerail/policy"
)

// discoveryTarget is what the configuration says of the list service.
func discoveryTarget(c config.Config) discovery.Target {
	return discovery.NewTarget(c.Discovery, c.Scope, c.Settings)
}

// discoveryConfig is that of the client of the list service.
func discoveryConfig(c config.Config) discovery.ClientConfig {
	return discovery.ClientConfig{Target: discoveryTarget(c), CacheFile: c.ListFile, Known: c.Known, Seed: c.Seed,
		Dial: c.Dialer(discovery.MaxQueueTime)}
}

// applyUpdate takes a change of the endpoint list.
func (l *loop) applyUpdate(n discovery.Update) {
	if n.Kind != policy.ListUnavailable {
		l.up.update(n)
	}
	if n.Kind == policy.ListReplace || n.Kind == policy.ListCached {
		clear(l.endpoints)
	}
	for _, m := range n.Endpoints {
		if l.endpoints[m.ID] = m; m.Availability == policy.Removed {
			delete(l.endpoints, m.ID)
		}
	}
	members := make([]policy.Endpoint, len(n.Endpoints))
	for i, m := range n.Endpoints {
		members[i] = m.Endpoint
		members[i].StartedAt = l.clock.unix(m.StartedAtMillis)
	}
	l.decide(policy.EndpointList{Kind: n.Kind, Endpoints: members})
}
