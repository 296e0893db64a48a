package testcluster

import "sloerail/internal/emulator"

// Settings returns the "settings" section for the node at a position in a fleet of the given number of nodes. The quota
// is the sum of the quotas of all tenants over the whole fleet, in requests per second.
func Settings(position, nodes int, zone string, classes []emulator.Class, tenants []emulator.Tenant,
	quota float64) map[string]any {
	var classSettings, tenantSettings []map[string]any
	for _, class := range classes {
		classSettings = append(classSettings, map[string]any{"name": class.Name, "aim": class.LatencyObjective.Milliseconds(),
			"deadline": class.Deadline.Milliseconds(), "value": class.PriorityWeight, "repeat": string(class.RetrySafety), "group": "cell",
			"window": class.DedupWindow.Milliseconds()})
	}
	for _, tenant := range tenants {
		tenantSettings = append(tenantSettings, map[string]any{"name": tenant.Name, "fraction": tenant.Share, "quotaRps": tenant.Share * quota})
	}
	return map[string]any{
		"position": position, "groupSize": nodes, "zone": zone, "services": classSettings, "tenants": tenantSettings,
		"registryMode": "automatic", "worthBy": "work",
		"limits": map[string]any{"cancelling": false, "connIdle": 60000, "connectTimeout": 250, "maxAttempts": 6,
			"maxOpen": 0, "retryAfter": true, "secondCopies": false},
		"guarantees": map[string]any{"graceToAnswer": 0, "drainGrace": 1500, "cold": 24000, "coldShare": 0.13,
			"fallMultiple": 2.5, "overloadFor": 3000},
		"report": map[string]any{"fields": []string{"latency_ms", "util", "qps"}},
	}
}
