package authz

import "time"

// Mode says whether requests of a class need the service's permission.
type Mode int

// The modes.
const (
	Skip       Mode = iota // the service is not asked
	FailClosed             // without a result the request is rejected
	FailOpen               // without a result the request proceeds
)

// Class configures the decisions on a class of requests.
type Class struct {
	// Mode says whether the service is asked, and what happens without its result. The zero
	// value, Skip, lets all requests of the class proceed unchecked.
	Mode Mode
	// LatencyObjective is how long a request of the class should take at most. A quarter of it
	// is the first estimate of an attempt at the servers, and it bounds what is learned of
	// one. Too low, and checks leave too little time for the servers; too high, and a check
	// may have no time at all.
	LatencyObjective time.Duration
	// PriorityWeight orders requests that wait for a check: higher ones go first. Zero goes
	// last.
	PriorityWeight float64
	// CacheTTL is how long a result may be used in place of a later one that does not come,
	// where the service states no time of its own. Zero: such a result is not used again. Too
	// long, and revoked permissions stay in use while the service is away.
	CacheTTL time.Duration
}

// Plan is the quota of the customers that share a plan.
type Plan struct {
	// Rate is in requests per second. Zero: customers of the plan are never over quota here.
	Rate float64
	// Burst is how many requests may come at once; less than 1 counts as 1.
	Burst float64
}

// Settings configures a [Decider]. They are not changed after [New].
type Settings struct {
	// Classes by name. Requests of other classes proceed unchecked.
	Classes map[string]Class
	// Plans by name. Customers of other plans are never over quota here.
	Plans map[string]Plan
	// Addresses is how many addresses the service has; they are counted from 0. With 0 no check
	// is ever sent: each request is resolved by the fallback of its class.
	Addresses int
	// Timeout is the longest time for the checks of one request together. Too short, and a slow
	// service looks like a failed one; too long, and requests wait for a service that is down.
	Timeout time.Duration
	// MaxInFlight is the upper end of the adaptive limit of checks in flight at one address. Too
	// low, and requests queue while the service is idle.
	MaxInFlight int
	// Seed of the random numbers. Decisions repeat exactly for the same seed and events.
	Seed uint64
}
