package authz

import (
	"container/heap"
	"time"
)

// maxCacheEntries bounds the memory for cached results.
const maxCacheEntries = 65536

type cacheKey struct{ customer, class, resource string }

// cachedResult is a result of the service, Allowed or Denied.
type cachedResult struct {
	key       cacheKey
	outcome   Outcome
	expiresAt time.Time
	payload   any
	index     int // in expiryQueue
}

// resultCache caches results for requests whose own check gives none.
type resultCache struct {
	entries  map[cacheKey]*cachedResult
	byExpiry expiryQueue
}

func newResultCache() *resultCache { return &resultCache{entries: map[cacheKey]*cachedResult{}} }

// put stores a result for a time. When the cache is full, the entry that expires first is evicted, or has
// expired already.
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

// get returns a result that is not expired, or nil.
func (c *resultCache) get(now time.Time, key cacheKey) *cachedResult {
	if entry := c.entries[key]; entry != nil && now.Before(entry.expiresAt) {
		return entry
	}
	return nil
}

// removeExpired frees the memory of expired results.
func (c *resultCache) removeExpired(now time.Time) {
	for len(c.byExpiry) > 0 && c.byExpiry[0].expiresAt.Before(now) {
		c.evictFirst()
	}
}

// evictFirst removes the entry that expires first. There must be one.
func (c *resultCache) evictFirst() {
	first := c.byExpiry[0]
	heap.Remove(&c.byExpiry, 0)
	delete(c.entries, first.key)
}

// expiryQueue is a heap of entries; the first one expires first.
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
