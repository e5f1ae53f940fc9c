package authz

import "time"

// Request is a client's request that needs a decision.
type Request struct {
	// ID is unique among the requests that are not resolved.
	ID       uint64
	Class    string
	Customer string
	Plan     string
	Units    float64 // cost, as counted against the plan's rate
	// Resource identifies what is requested. Results are cached by customer, class and resource.
	Resource string
	// Remaining is the time until the request's deadline, for checks and attempts together.
	Remaining time.Duration
}

// Outcome is how a check ended.
type Outcome int

// The outcomes.
const (
	Allowed Outcome = iota
	Denied
	TimedOut    // no result within the check's timeout
	Unreachable // the call failed
)

// hasResult reports whether the service returned a result.
func (o Outcome) hasResult() bool { return o == Allowed || o == Denied }

// CheckResult describes how a check ended.
type CheckResult struct {
	Outcome Outcome
	// Latency is how long the check took.
	Latency time.Duration
	// CacheTTL is the time for which the service permits caching its result; 0 if it specified none.
	CacheTTL time.Duration
	// Payload belongs to the caller. It is returned in Resolve.CachedPayload if the result is
	// reused, and must not be changed.
	Payload any
	// ProcessPaused means that this process was paused during the check. A missing result is
	// then not counted as a failure of the address.
	ProcessPaused bool
}

// Decision is the decision on a request.
type Decision int

// The decisions.
const (
	Proceed           Decision = iota // submit it to the policy
	Deny                              // respond with the service's denial
	RejectTimedOut                    // reject: no result in time
	RejectUnreachable                 // reject: the service can't be reached
	RejectOverQuota                   // reject: the customer is far over its quota
)

// Action is something that the caller must carry out, in the order of the returned slice.
type Action interface{ action() }

// SendCheck sends a check to an address. [Decider.FinishCheck] must be called once for it,
// unless [CancelCheck] is returned first.
type SendCheck struct {
	ID uint64
	// Attempt is the number of the check within its request, from 0.
	Attempt int
	// Address is the index of the address, from 0.
	Address int
	// Timeout is positive. A check without a result by then must be reported as TimedOut.
	Timeout time.Duration
}

// CancelCheck cancels a request's check in flight. Its result must not be reported.
type CancelCheck struct{ ID uint64 }

// Resolve reports the decision on a request. It is the last action for that request.
type Resolve struct {
	ID       uint64
	Decision Decision
	// CachedPayload is the payload of the cached result that is used; otherwise nil.
	CachedPayload any
	// FromFallback means that there was no result: the decision is based on a cached result or
	// on the mode of the class.
	FromFallback bool
}

// ScheduleTick requests a call of [Decider.Tick] after a delay.
type ScheduleTick struct{ After time.Duration }

// LogWarning logs a warning about an address, for operators.
type LogWarning struct {
	Address int
	Text    string
}

func (SendCheck) action()    {}
func (CancelCheck) action()  {}
func (Resolve) action()      {}
func (ScheduleTick) action() {}
func (LogWarning) action()   {}
