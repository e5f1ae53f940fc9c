package authz

import "time"

// maxCacheEntries bounds the memory for cached results.
const maxCacheEntries = 65536

type cacheKey struct{ customer, class, resource string }

// cachedResult is a result of the service, Allowed or Denied.
type cachedResult struct {
	outcome   Outcome
	expiresAt time.Time
	payload   any
}

// resultCache caches results for requests whose own check gives none.
type resultCache struct{ entries map[cacheKey]*cachedResult }

func newResultCache() *resultCache { return &resultCache{entries: map[cacheKey]*cachedResult{}} }

// put stores a result for a time. When the cache is full, an arbitrary entry is evicted.
func (c *resultCache) put(now time.Time, key cacheKey, result CheckResult, ttl time.Duration) {
	if len(c.entries) >= maxCacheEntries {
		for evicted := range c.entries {
			delete(c.entries, evicted)
			break
		}
	}
	c.entries[key] = &cachedResult{outcome: result.Outcome, expiresAt: now.Add(ttl), payload: result.Payload}
}

// get returns a result that is not expired, or nil.
func (c *resultCache) get(now time.Time, key cacheKey) *cachedResult {
	if entry := c.entries[key]; entry != nil && now.Before(entry.expiresAt) {
		return entry
	}
	return nil
}

// removeExpired frees the memory of expired results.
func (c *resultCache) removeExpired(now time.Time) {
	for key, entry := range c.entries {
		if entry.expiresAt.Before(now) {
			delete(c.entries, key)
		}
	}
}
