package authz

import "time"

// Mode defines whether requests of a class are checked, and what happens without a result.
type Mode int

// The modes.
const (
	Skip       Mode = iota // requests are not checked
	FailClosed             // without a result the request is rejected
	FailOpen               // without a result the request proceeds
)

// Class configures the decisions on a class of requests.
type Class struct {
	// Mode defines whether requests are checked, and what happens without a result. With the
	// zero value, Skip, all requests of the class proceed unchecked.
	Mode Mode
	// LatencyObjective is the longest time that a request of the class should take. A quarter
	// of it is the initial estimate of an attempt's latency, and measured latencies are capped
	// at it. If it is too low, checks leave too little time for the servers; if it is too high,
	// there may be no time for a check.
	LatencyObjective time.Duration
	// PriorityWeight orders requests that wait for a check: classes with a higher weight are
	// checked first. Zero is the lowest weight.
	PriorityWeight float64
	// CacheTTL is how long a result may replace a later, missing result, if the service
	// specifies no time. Zero: such a result is not reused. If it is too long, revoked
	// permissions stay in use while the service is unreachable.
	CacheTTL time.Duration
}

// Plan is the quota of the customers that share a plan.
type Plan struct {
	// Rate is in units per second. Zero: customers of the plan are never over quota here.
	Rate float64
	// Burst is the number of units that may be requested at once; at least 1 is used.
	Burst float64
}

// Settings configures a [Decider]. They must not be changed after [New].
type Settings struct {
	// Classes holds the classes by name. Requests of other classes proceed unchecked.
	Classes map[string]Class
	// Plans holds the plans by name. Customers of other plans are never over quota here.
	Plans map[string]Plan
	// Addresses is the number of addresses of the service; their indexes start from 0. If it is
	// 0, no check is ever sent: each request is resolved by the mode of its class.
	Addresses int
	// Timeout is the total time for the checks of one request. If it is too short, a slow
	// service is treated as failed; if it is too long, requests wait for a failed service.
	Timeout time.Duration
	// MaxInFlight is the upper bound of the adaptive limit of checks in flight at one address.
	// If it is too low, requests are queued while the service is idle.
	MaxInFlight int
	// Seed seeds the random numbers. The same seed and events give the same decisions.
	Seed uint64
}
