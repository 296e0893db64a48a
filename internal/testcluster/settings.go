package testcluster

import "sloerail/internal/emulator"

// Settings are the settings of a node at a position in a fleet of so many nodes, with the keys of the operators'
// pages. The quota, in requests a second, is that of all tenants over the fleet.
func Settings(position, nodes int, zone string, classes []emulator.Class, tenants []emulator.Tenant,
	quota float64) map[string]any {
	var services, customers []map[string]any
	for _, class := range classes {
		services = append(services, map[string]any{"name": class.Name, "aim": class.LatencyObjective.Milliseconds(),
			"deadline": class.Deadline.Milliseconds(), "value": class.PriorityWeight, "repeat": string(class.RetrySafety), "group": "cell",
			"window": class.DedupWindow.Milliseconds()})
	}
	for _, tenant := range tenants {
		customers = append(customers, map[string]any{"name": tenant.Name, "fraction": tenant.Share, "quotaRps": tenant.Share * quota})
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
