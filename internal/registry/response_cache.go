package registry

import "slices"

// maxCachedResponses bounds the number of requests whose retries are recognized.
const maxCachedResponses = 8192

// responseCache holds results by request ID, so that a retried write is carried out once.
type responseCache struct {
	byRequest map[string]Result
	ordered   []cachedResponse // oldest first
}

type cachedResponse struct {
	RequestID string `cbor:"1,keyasint"`
	Result    Result `cbor:"2,keyasint"`
}

func newResponseCache(ordered []cachedResponse) responseCache {
	cache := responseCache{byRequest: make(map[string]Result), ordered: ordered}
	for _, r := range ordered {
		cache.byRequest[r.RequestID] = r.Result
	}
	return cache
}

// lookup returns the result of an earlier command with the same request ID. An empty ID is never found.
func (c *responseCache) lookup(requestID string) (Result, bool) {
	if requestID == "" {
		return Result{}, false
	}
	result, ok := c.byRequest[requestID]
	return result, ok
}

// add stores the result of a command. A result without a request ID isn't stored. A full cache drops its older half.
func (c *responseCache) add(requestID string, result Result) {
	if requestID == "" {
		return
	}
	c.byRequest[requestID] = result
	c.ordered = append(c.ordered, cachedResponse{RequestID: requestID, Result: result})
	if len(c.ordered) <= maxCachedResponses {
		return
	}
	for _, r := range c.ordered[:maxCachedResponses/2] {
		delete(c.byRequest, r.RequestID)
	}
	c.ordered = slices.Clone(c.ordered[maxCachedResponses/2:])
}
