package usage

// ShardState is the condition of a shard of the counter, as a Tracker infers it.
type ShardState int

// The states of a shard.
const (
	Unknown      ShardState = iota // no response yet
	Healthy                        // responses have every expected entry
	Unresponsive                   // calls fail
	Emptied                        // another epoch, all entries gone: restarted empty
	Replaced                       // another epoch, older entries: another shard in its place
	Stale                          // same epoch, entries lower or gone: an old copy
	Diverged                       // entries that peers wrote are missing: a split counter
)

var shardStateNames = [...]string{
	Unknown:      "unknown",
	Healthy:      "healthy",
	Unresponsive: "unresponsive",
	Emptied:      "emptied",
	Replaced:     "replaced",
	Stale:        "stale",
	Diverged:     "diverged",
}

// String is the state's name in the log.
func (s ShardState) String() string { return shardStateNames[s] }

// ShardState returns the state of a shard, by its index. It panics if there is none.
func (t *Tracker) ShardState(index int) ShardState { return t.shards[index].state }

// FNV-1a, 32 bits.
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// ShardOf returns the index of the shard that stores a customer's totals: an FNV-1a hash of
// the name. All nodes must agree on it.
func (t *Tracker) ShardOf(name string) int {
	hash := uint32(fnvOffset)
	for i := range len(name) {
		hash = (hash ^ uint32(name[i])) * fnvPrime
	}
	return int(hash % uint32(len(t.shards)))
}

// shardOf returns the shard that stores a total.
func (t *Tracker) shardOf(total *windowTotal) *shardHealth {
	return &t.shards[t.ShardOf(total.key.Customer)]
}
