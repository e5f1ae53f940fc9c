package usage

import "time"

// Settings is what a Tally is told at its start.
type Settings struct {
	Self                  WriterID
	Shards                int           // of the counter
	Window                time.Duration // length of the windows that totals are kept for
	RetainedWindows       int           // windows kept while not confirmed
	CallsPerSecond        float64       // calls a second that this node may make
	PeerMessagesPerSecond float64       // messages a second that this node may send
	Plans                 map[string]Plan
}

// Plan is what bounds the use of a customer.
type Plan struct{ Rate, Burst float64 }
