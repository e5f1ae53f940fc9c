// Package audit checks the five rules from what clients got and servers
// received, and from nothing a node says of itself. It has no I/O.
package audit

import "time"

// Tried is a client's record of one try.
type Tried struct {
	Trace    string // request id, unique to the try
	Node     int
	Front    string
	Customer string
	Plan     string
	Class    string
	Units    float64
	Sent     time.Time
	GiveUp   time.Time // the client waits until then
	Answered time.Time // zero: no answer came
	Answer   string    // served, refused, failed; "": none
	Reason   string
	Status   int
	Foreign  bool // the answer was another request's
	Refused  bool // no connection was made: nobody took the try
	Repeat   bool // a client's retry of an earlier try
}

// Seen is a server's record of one attempt that arrived whole.
type Seen struct {
	Trace    string    `json:"Trace"`
	Server   string    `json:"Server"`
	Rack     string    `json:"Rack"` // the group that drops repeats
	Class    string    `json:"Class"`
	Key      string    `json:"Key"`
	At       time.Time `json:"At"`
	End      time.Time `json:"End"`     // answered, or its connection ended
	Away     bool      `json:"Away"`    // turned away: the answer says that nothing ran
	Ran      bool      `json:"Ran"`     // the work took effect
	Dropped  bool      `json:"Dropped"` // a repeat that the rack dropped
	Answered bool      `json:"Answered"`
}

// Told is discovery's record of what it told a node of a server.
type Told struct {
	Node   int       `json:"Node"`
	Server string    `json:"Server"`
	At     time.Time `json:"At"`
	Down   bool      `json:"Down"` // draining or gone; false: running
}

// Fell is the record of a server that was pushed over while cold.
type Fell struct {
	Server string    `json:"Server"`
	At     time.Time `json:"At"`
}

// Down is a time in which a node did not run.
type Down struct {
	Node     int
	From, To time.Time
	Killed   bool // and knew nothing afterwards; else it was only stopped
}

// Class is what the rules need to know of a class.
type Class struct {
	Effect string // safe, keyed, unsafe
	Window time.Duration
	// GroupAll: all servers drop repeats of each other; else those of a rack.
	GroupAll bool
}

// Ceiling is a plan's hard ceiling.
type Ceiling struct{ Rate, Burst, Slack float64 }

// Record is all that was recorded of a run.
type Record struct {
	Tried []Tried
	Seen  []Seen
	Told  []Told
	Fell  []Fell
	Down  []Down
	// ProxyDown is when the proxy before a node did not run: what it held has no
	// answer.
	ProxyDown []Down
	Classes   map[string]Class
	Ceilings  map[string]Ceiling // by plan
	Grace     time.Duration      // of drains
	Slop      time.Duration      // by which records of one machine may be late
}
