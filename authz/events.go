package authz

import "time"

// Request is a client's request that waits for permission.
type Request struct {
	// ID is unique among the requests that are not resolved.
	ID       uint64
	Class    string
	Customer string
	Plan     string
	Units    float64 // cost, as counted against the plan's rate
	// Resource is what the request is for. Results are cached by customer, class and resource.
	Resource string
	// Remaining is the time until the request's deadline, for the check and the servers together.
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

// hasResult reports whether the service decided.
func (o Outcome) hasResult() bool { return o == Allowed || o == Denied }

// CheckResult is how a check ended.
type CheckResult struct {
	Outcome Outcome
	// Latency is how long the check took.
	Latency time.Duration
	// CacheTTL is the time that the service states for its result. 0: it states none.
	CacheTTL time.Duration
	// Payload belongs to the caller. It comes back in Resolve.CachedPayload where the result is
	// used again, and must not change meanwhile.
	Payload any
	// ProcessPaused means that this process did not run for a part of the check. A missing
	// result is then no evidence about the address.
	ProcessPaused bool
}

// Decision is the outcome for a request.
type Decision int

// The decisions.
const (
	Proceed           Decision = iota // hand it to the policy
	Deny                              // respond with the service's denial
	RejectTimedOut                    // reject: no result in time
	RejectUnreachable                 // reject: the service can't be reached
	RejectOverQuota                   // reject: the customer is far over its quota
)

// Action is something that the caller must carry out, in the order of the returned slice.
type Action interface{ action() }

// SendCheck sends a check to an address. [Decider.FinishCheck] must follow once, unless
// [CancelCheck] comes first.
type SendCheck struct {
	ID uint64
	// Attempt counts the checks of one request from 0.
	Attempt int
	// Address is the index of the address, from 0.
	Address int
	// Timeout is positive. After it the check must be reported as TimedOut.
	Timeout time.Duration
}

// CancelCheck cancels a request's check in flight. Its result must not be reported.
type CancelCheck struct{ ID uint64 }

// Resolve gives the decision on a request. It is the last action for it.
type Resolve struct {
	ID       uint64
	Decision Decision
	// CachedPayload is the payload of the earlier result that is used; else nil.
	CachedPayload any
	// FromFallback means that no result came: an earlier one or the mode of the class decides.
	FromFallback bool
}

// ScheduleTick asks for a call of [Decider.Tick] after a time.
type ScheduleTick struct{ After time.Duration }

// OperatorNote is a warning for the operators about an address.
type OperatorNote struct {
	Address int
	Text    string
}

func (SendCheck) action()    {}
func (CancelCheck) action()  {}
func (Resolve) action()      {}
func (ScheduleTick) action() {}
func (OperatorNote) action() {}
