package usage

import "time"

// Settings configures a Tracker. No field has a default here: the gateway's configuration
// supplies all of them.
type Settings struct {
	// Self is the writer that this process is. The incarnation must be larger than that
	// of every earlier process of the node: with a repeated one, a process that has lost
	// its state would write entries that are lower than those in the counter.
	Self WriterID

	// Shards is the number of shards of the counter; values below 1 count as 1. All nodes
	// must agree on it: otherwise they keep the same customer in different shards.
	Shards int

	// Window is the length of the windows that totals are kept for. It must be positive.
	// All nodes must agree on it, and their clocks must agree to within one window:
	// otherwise they write the same usage to different totals.
	Window time.Duration

	// RetainedWindows is the number of past windows for which a total that the counter
	// has not confirmed stays in memory. Usage in older windows is given up. It should
	// cover the time that the counter itself retains totals.
	RetainedWindows int

	// CommandsPerSecond is the budget for the counter, in commands per second; one
	// CounterCall takes CounterCall.CommandCount of them. At most one second's budget
	// accumulates. With a small value the counter lags behind; nothing is lost.
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
	Rate  float64 // units per second that are added
	Burst float64 // units in the full bucket
}
