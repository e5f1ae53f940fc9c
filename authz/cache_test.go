package authz

import (
	"fmt"
	"testing"
	"time"
)

// A full cache evicts expired results before valid ones.
func TestFullCacheEvictsExpiredResultsFirst(t *testing.T) {
	const expired = 1000
	c := newResultCache()
	key := func(i int) cacheKey { return cacheKey{customer: fmt.Sprint(i)} }
	for i := range maxCacheEntries {
		ttl := time.Hour
		if i%(maxCacheEntries/expired) == 0 && i/(maxCacheEntries/expired) < expired {
			ttl = time.Second
		}
		c.put(testStart, key(i), CheckResult{}, ttl)
	}
	now := testStart.Add(time.Minute)
	c.put(now, key(1), CheckResult{}, time.Hour) // replaces an existing entry: nothing is evicted
	for i := range expired {
		c.put(now, key(maxCacheEntries+i), CheckResult{}, time.Hour)
	}
	valid := 0
	for i := range maxCacheEntries + expired {
		if c.get(now, key(i)) != nil {
			valid++
		}
	}
	if valid != maxCacheEntries || len(c.entries) != maxCacheEntries || len(c.byExpiry) != maxCacheEntries {
		t.Errorf("%d valid results, %d entries, want %d", valid, len(c.entries), maxCacheEntries)
	}
	c.removeExpired(now.Add(2 * time.Hour))
	if len(c.entries) != 0 || len(c.byExpiry) != 0 {
		t.Errorf("%d entries are left", len(c.entries))
	}
}
