package rig

// Class returns a class of requests.
func Class(name, repeat string, deadline, aim int, value float64, more Object) Object {
	c := Object{"name": name, "repeat": repeat, "deadline": deadline, "aim": aim, "value": value, "lateWorth": 0,
		"stream": false, "group": "all", "window": 5000}
	for key, v := range more {
		c[key] = v
	}
	return c
}

// Settings returns settings like the example of the wire page, with one node and these classes.
func Settings(connectTimeoutMs int, classes ...Object) Object {
	return Object{
		"position": 0, "groupSize": 1, "zone": "nc-room-1", "localities": []string{"nc-room-1"},
		"registryMode": "subscribe", "worthBy": "work", "overShareWorth": 0.05,
		"kinds": []string{"big-box", "small-box"}, "services": classes,
		"tenants": []Object{{"name": "new-cairo-east", "fraction": 0.5, "quotaRps": 100.0},
			{"name": "sheikh-zayed", "fraction": 0.5, "quotaRps": 100.0}},
		"limits": Object{"cancelling": true, "connIdle": 30000.0, "connectTimeout": connectTimeoutMs, "maxAttempts": 6,
			"maxOpen": 20000, "maxRetryAfter": 3000.0, "peerMessages": false, "probes": true, "retryAfter": true,
			"secondCopies": false, "streamsPerConn": 1},
		"report": Object{"fields": []string{"latency_ms", "util", "qps"}, "how": "answers"},
		"guarantees": Object{"cold": 24000.0, "coldShare": 0.13, "drainGrace": 1500.0, "fallMultiple": 2.5,
			"graceToAnswer": 20.0, "mustAskIn": 10000.0, "overloadFor": 3000.0},
	}
}
