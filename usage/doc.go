// Package usage tracks how many units every customer has used, across a fleet of
// gateways and a shared counter that may fail.
//
// # Counter
//
// A total is what one customer used in one window of time. It is a grow-only counter
// CRDT: one entry for each writer, where a writer is one process of one gateway. Only
// the writer itself increases its entry, and entries merge by maximum. Merging is
// therefore idempotent, commutative and associative: a call whose response was lost is
// repeated safely, an emptied counter is filled again by any number of gateways at
// once, and no unit counts twice.
//
// The shared counter has one or more shards. Each call reads all entries of a total
// before it writes, so that every response shows whether the shard still has the
// entries that it confirmed earlier. From that the Tracker derives a ShardState and restores what was
// lost.
//
// # Concurrency
//
// A Tracker performs no I/O and reads no clock. Events are method calls with the current
// time; effects are returned as a list of Action values, which the caller performs in
// order. A Tracker is not safe for concurrent use: the caller serializes all calls. The
// caller may keep the slices in an Action, and must not change them.
package usage
