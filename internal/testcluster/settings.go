package testcluster

import (
	"sloerail/internal/emulator"
)

// Settings are those of a node in a fleet of so many, for these classes and tenants. The quota of a tenant is
// its share of a rate of requests a second.
func Settings(position, nodes int, zone string, classes []emulator.Class, tenants []emulator.Tenant,
	quota float64) map[string]any {
	var services, customers []map[string]any
	for _, k := range classes {
		services = append(services, map[string]any{"name": k.Name, "aim": k.LatencyObjective.Milliseconds(),
			"deadline": k.Deadline.Milliseconds(), "value": k.PriorityWeight, "repeat": string(k.RetrySafety), "group": "cell",
			"window": k.DedupWindow.Milliseconds()})
	}
	for _, t := range tenants {
		customers = append(customers, map[string]any{"name": t.Name, "fraction": t.Share, "quotaRps": t.Share * quota})
	}
	return map[string]any{
		"position": position, "groupSize": nodes, "zone": zone, "services": services, "tenants": customers,
		"registryMode": "automatic", "worthBy": "work",
		"limits": map[string]any{"cancelling": false, "connIdle": 60000, "connectTimeout": 250, "maxAttempts": 6,
			"maxOpen": 0, "retryAfter": true, "secondCopies": false},
		"guarantees": map[string]any{"graceToAnswer": 0, "drainGrace": 1500, "cold": 24000, "coldShare": 0.13,
			"fallMultiple": 2.5, "overloadFor": 3000},
		"report": map[string]any{"fields": []string{"latency_ms", "util", "qps"}},
	}
}
