package usage

import "time"

// Settings is what a Tally is told at its start.
type Settings struct {
	Me     Owner
	Parts  int           // of the counter
	Window time.Duration // length of the windows that totals are kept for
	Keep   int           // windows kept while not confirmed
	Calls  float64       // calls a second that this node may make
	Mail   float64       // messages a second that this node may send
	Rates  map[string]Plan
}

// Plan is what bounds the use of a customer.
type Plan struct{ Rate, Burst float64 }
