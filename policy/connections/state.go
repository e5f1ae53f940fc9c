// Package connections decides which connections of clients a listener keeps while there are too many, or while it
// shuts down, and how each of them ends. It has no I/O: a [Table] is told what happens to connections, and returns what
// is to be done.
//
// A connection ends without a response only between two requests, where clients send a request that crosses the end
// once more on another connection. One that has brought no complete request yet, or is in the middle of one, is rejected:
// its request may have arrived in full by then, and is owed a response. A connection with a complete request
// is not ended before its response, unless its client does not read that.
package connections

// State is the state of a connection.
type State int

// The states, in the order in which a connection passes through them. InFlight is followed by Idle, which is
// followed by Reading; every state may be followed by Lingering and Closed.
const (
	New       State = iota // no byte has arrived
	Reading                // a request has begun to arrive
	InFlight               // a complete request was read and its response is not written yet
	Idle                   // all requests are answered
	Lingering              // this side sends no more, and discards what the client still sends
	Closed
	numStates
)

var stateNames = [numStates]string{"new", "reading", "in flight", "idle", "lingering", "closed"}

func (s State) String() string { return stateNames[s] }

// States returns the states of open connections.
func States() []State { return []State{New, Reading, InFlight, Idle, Lingering} }

// Action is what is to be done with a connection.
type Action int

// The actions.
const (
	None   Action = iota
	Finish        // end it after the response to the request in flight
	End           // end it without a response
	Reject        // write a rejection and end it
	Cut           // end it in the middle of the response that its client does not read
	Close         // close it at once: it lingers
	Shed          // reject the requests on it that are read already, and end it
	numActions
)

var actionNames = [numActions]string{"none", "finish", "end", "reject", "cut", "close", "shed"}

func (a Action) String() string { return actionNames[a] }

// EndingActions returns the actions that end a connection at once.
func EndingActions() []Action { return []Action{End, Reject, Cut, Close, Shed} }

// Reason is why a connection is ended.
type Reason int

// The reasons.
const (
	NoReason  Reason = iota
	OpenLimit        // a new connection takes its place
	IdleLimit        // too many connections are idle
	Memory           // its memory is wanted for another
	Shutdown         // the listener shuts down
	Timeout          // the time of its request, or between two requests, was over
	Malformed        // its client violated the protocol
	numReasons
)

var reasonNames = [numReasons]string{"none", "open limit", "idle limit", "memory", "shutdown", "timeout", "malformed"}

func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons for which a connection is ended.
func Reasons() []Reason {
	return []Reason{OpenLimit, IdleLimit, Memory, Shutdown, Timeout, Malformed}
}

// Phase is how far a listener has shut down.
type Phase int

// The phases, in their order.
const (
	Serving  Phase = iota
	Draining       // connections end when they are idle; new ones are accepted, for one request each
	Stopped        // no new connections are accepted
	Aborting       // requests that are not complete are rejected
)
