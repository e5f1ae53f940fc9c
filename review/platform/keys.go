package platform

import (
	"slices"
	"sync"
	"time"
)

// Keys is what groups of app servers remember of keyed requests. A group drops the repeats of a key that it has got
// within its window; each group remembers its own keys only.
type Keys struct {
	window time.Duration
	fails  int // one of so many keys has its first attempt answered with an error, after it ran

	mu     sync.Mutex
	keys   map[string]*keyMemory
	number int
}

// keyMemory is what is known of one key.
type keyMemory struct {
	firstAt map[int]time.Time // by group
	runs    int
	fails   bool
}

// Arrival describes an attempt that has come whole.
type Arrival struct {
	Run   bool // it runs; otherwise it is dropped as a repeat
	Fails bool // it is answered with an error, after it ran
	Runs  int  // how often the key has run, with this one
}

// NewKeys returns a memory that is empty.
func NewKeys(window time.Duration, fails int) *Keys {
	return &Keys{window: window, fails: fails, keys: map[string]*keyMemory{}}
}

// Arrive records that an app server of a group has got an attempt whole.
func (k *Keys) Arrive(key string, group int) Arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	memory := k.keys[key]
	first := memory == nil
	if first {
		k.number++
		memory = &keyMemory{firstAt: map[int]time.Time{}, fails: k.number%k.fails == 0}
		k.keys[key] = memory
	}
	at, known := memory.firstAt[group]
	if known && time.Since(at) <= k.window {
		return Arrival{Runs: memory.runs}
	}
	memory.firstAt[group] = time.Now()
	memory.runs++
	return Arrival{Run: true, Fails: first && memory.fails, Runs: memory.runs}
}

// Count returns the number of keys, and of those that have run more than once.
func (k *Keys) Count() (keys, twice int) {
	repeated := k.Twice()
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.keys), len(repeated)
}

// Twice returns the keys that have run more than once, in order.
func (k *Keys) Twice() (keys []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, memory := range k.keys {
		if memory.runs > 1 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
