// Package audit checks the five rules from what clients got and servers
// received, and from nothing a node says of itself. It has no I/O.
package audit

import "time"

// RequestRecord is a client's record of one try.
type RequestRecord struct {
	Trace       string // request id, unique to the try
	Node        int
	Frontend    string
	Customer    string
	Plan        string
	Class       string
	Units       float64
	SentAt      time.Time
	TimesOutAt  time.Time // the client waits until then
	RespondedAt time.Time // zero: no answer came
	Outcome     string    // served, refused, failed; "": none
	Reason      string
	Status      int
	Mismatched  bool // the answer was another request's
	NotAccepted bool // no connection was made: nobody took the try
	ClientRetry bool // a client's retry of an earlier try
}

// AttemptRecord is a server's record of one attempt that arrived whole.
type AttemptRecord struct {
	Trace        string    `json:"Trace"`
	Server       string    `json:"Server"`
	DedupScope   string    `json:"Rack"` // the group that drops repeats
	Class        string    `json:"Class"`
	Key          string    `json:"Key"`
	ArrivedAt    time.Time `json:"At"`
	EndedAt      time.Time `json:"End"`     // answered, or its connection ended
	Rejected     bool      `json:"Away"`    // turned away: the answer says that nothing ran
	TookEffect   bool      `json:"Ran"`     // the work took effect
	Deduplicated bool      `json:"Dropped"` // a repeat that the rack dropped
	Responded    bool      `json:"Answered"`
}

// EndpointUpdate is discovery's record of what it told a node of a server.
type EndpointUpdate struct {
	Node        int       `json:"Node"`
	Server      string    `json:"Server"`
	At          time.Time `json:"At"`
	Unavailable bool      `json:"Down"` // draining or gone; false: running
}

// ColdOverload is the record of a server that was pushed over while cold.
type ColdOverload struct {
	Server string    `json:"Server"`
	At     time.Time `json:"At"`
}

// Downtime is a time in which a node did not run.
type Downtime struct {
	Node     int
	From, To time.Time
	Killed   bool // and knew nothing afterwards; else it was only stopped
}

// Class is what the rules need to know of a class.
type Class struct {
	Effect      string // safe, keyed, unsafe
	DedupWindow time.Duration
	// GlobalDedup: all servers drop repeats of each other; else those of a rack.
	GlobalDedup bool
}

// Ceiling is a plan's hard ceiling.
type Ceiling struct{ Rate, Burst, Slack float64 }

// Record is all that was recorded of a run.
type Record struct {
	Requests        []RequestRecord
	Attempts        []AttemptRecord
	EndpointUpdates []EndpointUpdate
	ColdOverloads   []ColdOverload
	Downtimes       []Downtime
	// ProxyDowntimes is when the proxy before a node did not run: what it held has no
	// answer.
	ProxyDowntimes []Downtime
	Classes        map[string]Class
	Ceilings       map[string]Ceiling // by plan
	DrainGrace     time.Duration      // of drains
	Tolerance      time.Duration      // by which records of one machine may be late
}
