// Package audit checks the five rules on the recorded events of a run: the responses that clients
// received, and the attempts that servers received. It uses nothing that nodes report about
// themselves, and does no I/O.
package audit

import "time"

// RequestRecord is a client's record of one request. A client retry has a record of its own.
type RequestRecord struct {
	Trace       string // request ID, unique to the record
	Node        int
	Frontend    string // http, http2 or proxy
	Customer    string
	Plan        string
	Class       string
	Units       float64
	SentAt      time.Time
	TimesOutAt  time.Time // end of the client timeout
	RespondedAt time.Time // zero if no response arrived
	Outcome     string    // served, refused or failed; empty if no response arrived
	Reason      string
	Status      int
	Mismatched  bool // the response belongs to another request
	NotAccepted bool // certainly not processed: the connection failed, or the HTTP/2 stream was refused
	ClientRetry bool // the request is a client retry
}

// AttemptRecord is a server's record of one attempt that it received completely.
type AttemptRecord struct {
	Trace        string    `json:"Trace"`
	Server       string    `json:"Server"`
	DedupScope   string    `json:"Rack"` // name of the dedup scope of the server
	Class        string    `json:"Class"`
	Key          string    `json:"Key"`
	ArrivedAt    time.Time `json:"At"`
	EndedAt      time.Time `json:"End"`     // the response was sent, or the connection was closed
	Rejected     bool      `json:"Away"`    // the response carries the rejection signal: the attempt was not processed
	TookEffect   bool      `json:"Ran"`     // the work was done
	Deduplicated bool      `json:"Dropped"` // a repetition within the dedup scope, whose work was not done again
	Responded    bool      `json:"Answered"`
}

// EndpointUpdate is the discovery service's record of an update about one server that it sent to a node.
type EndpointUpdate struct {
	Node        int       `json:"Node"`
	Server      string    `json:"Server"`
	At          time.Time `json:"At"`
	Unavailable bool      `json:"Down"` // draining or removed; false if running
}

// ColdOverload is the record of a server that was overloaded while cold.
type ColdOverload struct {
	Server string    `json:"Server"`
	At     time.Time `json:"At"`
}

// Downtime is a period in which a process did not run.
type Downtime struct {
	Node     int
	From, To time.Time
	Killed   bool // the process was killed, and lost its state in memory; false if it was paused
}

// Class holds the properties of a class that the rules depend on.
type Class struct {
	Effect      string // safe, keyed or unsafe
	DedupWindow time.Duration
	GlobalDedup bool // all servers share one dedup scope
}

// Ceiling is the hard ceiling of a plan. Usage may exceed it by Slack units before it counts as a
// violation.
type Ceiling struct{ Rate, Burst, Slack float64 }

// Record holds all recorded events of a run, and the parameters of the rules.
type Record struct {
	Requests        []RequestRecord
	Attempts        []AttemptRecord
	EndpointUpdates []EndpointUpdate
	ColdOverloads   []ColdOverload
	Downtimes       []Downtime
	// ProxyDowntimes are the downtimes of the proxy in front of a node. Requests that a proxy
	// holds when it is killed get no response.
	ProxyDowntimes []Downtime
	Classes        map[string]Class
	Ceilings       map[string]Ceiling // by plan
	DrainGrace     time.Duration      // how long a node may send to a server after the update that made it unavailable
	Tolerance      time.Duration      // accepted time difference between records of different components
}
