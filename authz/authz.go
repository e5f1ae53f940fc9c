// Package authz decides how the external authorisation service is asked: whether
// a request is put to it, how long it may take, how many Checks may be out, and
// what becomes of a request that it gave no answer for. It has no I/O: the node
// tells it what happens and does what it says. The gRPC client is in authz/client.
package authz

import "time"

// Mode says what a class wants of the authoriser.
type Mode int

// The modes.
const (
	Skip   Mode = iota // it is not asked
	Refuse             // without an answer the request is refused
	Allow              // without an answer it passes
)

// Verdict is how a Check ended.
type Verdict int

// The verdicts.
const (
	Allowed Verdict = iota
	Denied
	Late        // no answer within its budget
	Unreachable // the call failed
)

// Step is what is to be done with a request.
type Step int

// The steps.
const (
	Ask         Step = iota // send a Check
	Pass                    // give it to the module
	Deny                    // answer with the authoriser's denial
	RefuseLate              // refuse: no answer in time
	RefuseError             // refuse: the authoriser can't be reached
)

// Tuned values.
const (
	// most of the client's remaining time that a Check may take: an attempt at
	// the servers, and a refusal's way back, need the rest.
	remainingPart = 0.5
	leastBudget   = 2 * time.Millisecond // less is not worth asking for
)

// Decider decides for one node. It is not safe for concurrent use.
type Decider struct {
	modes   map[string]Mode // by class
	timeout time.Duration   // most time one Check may take
	most    int             // most Checks out
	out     int
}

// New returns a Decider for classes and their modes.
func New(modes map[string]Mode, timeout time.Duration, most int) *Decider {
	return &Decider{modes: modes, timeout: timeout, most: most}
}

// Out is the number of Checks out.
func (d *Decider) Out() int { return d.out }

// Begin is told of a request with the time its client still waits. Where the
// step is Ask, a Check is to be sent that may take as long as the budget, and
// End must follow.
func (d *Decider) Begin(class string, remaining time.Duration) (step Step, budget time.Duration) {
	if d.modes[class] == Skip {
		return Pass, 0
	}
	budget = min(d.timeout, time.Duration(remainingPart*float64(remaining)))
	if budget < leastBudget || d.out >= d.most {
		return d.without(class, Late), 0
	}
	d.out++
	return Ask, budget
}

// End is told how a request's Check ended, also when its client has left.
func (d *Decider) End(class string, v Verdict) Step {
	d.out--
	switch v {
	case Allowed:
		return Pass
	case Denied:
		return Deny
	}
	return d.without(class, v)
}

// without decides on a request that has no answer.
func (d *Decider) without(class string, v Verdict) Step {
	switch {
	case d.modes[class] == Allow:
		return Pass
	case v == Late:
		return RefuseLate
	}
	return RefuseError
}
