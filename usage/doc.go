// Package usage tracks how many units each customer has used, across a fleet of gateways and a
// shared counter that may fail.
//
// # Counter
//
// A total is the usage of one customer in one time window. It is a grow-only counter CRDT with
// one entry per writer; a writer is one process of one gateway. Only the writer itself increases
// its entry, and entries merge by maximum. Merging is therefore idempotent, commutative and
// associative: a call whose response was lost can safely be repeated, any number of gateways can
// refill an emptied counter at once, and no unit is counted twice.
//
// The shared counter has one or more shards. Each call reads all entries of a total before it
// writes, so that every response shows whether the shard still holds the entries that it
// confirmed earlier. The Tracker derives a ShardState from this and restores lost entries.
//
// # Concurrency
//
// A Tracker performs no I/O and reads no clock. Events are method calls with the current time;
// effects are returned as a list of Action values, which the caller performs in order. A Tracker
// is not safe for concurrent use: the caller must serialize all calls. The caller may keep the
// slices in an Action but must not modify them.
package usage
