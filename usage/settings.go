package usage

import "time"

// Settings configures a Tracker. No field has a default here: the gateway's configuration
// supplies all of them.
type Settings struct {
	// Self is the writer ID of this process. The incarnation must be larger than that of every
	// earlier process of the node: if an incarnation is reused, a process that has lost its
	// state writes entries that are lower than those in the counter.
	Self WriterID

	// Shards is the number of shards of the counter; values below 1 count as 1. All nodes
	// must use the same value: otherwise they store the same customer in different shards.
	Shards int

	// Window is the length of the time window of a total. It must be positive. All nodes must
	// use the same value, and their clocks must agree to within one window: otherwise usage of
	// the same time goes to different totals.
	Window time.Duration

	// RetainedWindows is the number of past windows for which a total that the counter
	// has not confirmed stays in memory. Unconfirmed usage of older windows is dropped. It
	// should cover the time for which the counter itself retains totals.
	RetainedWindows int

	// CommandsPerSecond is the budget for the counter, in commands per second; one
	// CounterCall takes CounterCall.CommandCount of them. At most one second's budget
	// accumulates. With a small value the counter lags behind, but nothing is lost.
	CommandsPerSecond float64

	// PeerMessagesPerSecond is the budget for messages to peers, in messages per second. At
	// most one second's budget accumulates. With a small value peers learn of usage from
	// the counter instead, which takes longer.
	PeerMessagesPerSecond float64

	// Plans are the plans by name. A customer of an unknown plan gets the zero Plan. The
	// Tracker reads the map and does not change it.
	Plans map[string]Plan
}

// Plan is the token bucket that bounds a customer's usage.
type Plan struct {
	Rate  float64 // units added per second
	Burst float64 // capacity in units
}
