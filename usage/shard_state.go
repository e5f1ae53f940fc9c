package usage

// ShardState is the state of a shard of the counter, as inferred by a Tracker.
type ShardState int

// The states of a shard.
const (
	Unknown      ShardState = iota // no valid response yet
	Healthy                        // responses have every expected entry
	Unresponsive                   // calls fail
	Emptied                        // new epoch, all entries missing: the shard restarted empty
	Replaced                       // new epoch, older entries: another shard answers in its place
	Stale                          // same epoch, entries lower or missing: an old copy answers
	Diverged                       // entries that peers wrote are missing: the counter is split
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

// String returns the name of the state in the log.
func (s ShardState) String() string { return shardStateNames[s] }

// ShardState returns the state of the shard with an index. It panics if there is no such shard.
func (t *Tracker) ShardState(index int) ShardState { return t.shards[index].state }

// Parameters of the 32-bit FNV-1a hash.
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// ShardOf returns the index of the shard that stores a customer's totals: the FNV-1a hash of the
// name modulo the number of shards. All nodes must compute the same index.
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
