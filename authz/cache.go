package authz

import (
	"container/heap"
	"time"
)

// maxCacheEntries is the maximum number of cached results.
const maxCacheEntries = 65536

type cacheKey struct{ customer, class, resource string }

// cachedResult is a cached result of the service, Allowed or Denied.
type cachedResult struct {
	key       cacheKey
	outcome   Outcome
	expiresAt time.Time
	payload   any
	index     int // position in expiryQueue
}

// resultCache caches results, for use in place of missing results of later checks.
type resultCache struct {
	entries  map[cacheKey]*cachedResult
	byExpiry expiryQueue
}

func newResultCache() *resultCache { return &resultCache{entries: map[cacheKey]*cachedResult{}} }

// put stores a result for the given time. If the cache is full, it evicts the entry with the
// earliest expiry, which may have expired already.
func (c *resultCache) put(now time.Time, key cacheKey, result CheckResult, ttl time.Duration) {
	entry := c.entries[key]
	if entry == nil {
		if len(c.entries) >= maxCacheEntries {
			c.evictFirst()
		}
		entry = &cachedResult{key: key}
		c.entries[key] = entry
		heap.Push(&c.byExpiry, entry)
	}
	entry.outcome = result.Outcome
	entry.payload = result.Payload
	entry.expiresAt = now.Add(ttl)
	heap.Fix(&c.byExpiry, entry.index)
}

// get returns the cached result for a key if it has not expired, otherwise nil.
func (c *resultCache) get(now time.Time, key cacheKey) *cachedResult {
	if entry := c.entries[key]; entry != nil && now.Before(entry.expiresAt) {
		return entry
	}
	return nil
}

// removeExpired removes expired results to free their memory.
func (c *resultCache) removeExpired(now time.Time) {
	for len(c.byExpiry) > 0 && c.byExpiry[0].expiresAt.Before(now) {
		c.evictFirst()
	}
}

// evictFirst removes the entry with the earliest expiry. The cache must not be empty.
func (c *resultCache) evictFirst() {
	first := c.byExpiry[0]
	heap.Remove(&c.byExpiry, 0)
	delete(c.entries, first.key)
}

// expiryQueue is a heap of entries; the first entry has the earliest expiry.
type expiryQueue []*cachedResult

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].expiresAt.Before(q[j].expiresAt) }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(entry any) {
	e, _ := entry.(*cachedResult)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	entry := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return entry
}
