package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/timers"
	"yardcleat.example/yardcleat/policy"
)

// requestState is where a request stands in its life.
type requestState int

const (
	stateAuthorizing requestState = iota // a Check is out
	stateDeciding                        // the module holds it
	stateInFlight                        // an attempt is out
	stateAnswered                        // it has its final answer; an attempt may still be out
)

type pendingRequest struct {
	id            policy.RequestID
	request       *Request
	reply         func(FinalResponse)
	state         requestState
	deadline      time.Duration
	deadlineTimer *timers.Timer // at the deadline
	cancel        func()        // of the Check, or the attempt out
	withdraw      func() bool   // of the attempt out; see Sending
	limit         *timers.Timer // of the Check, or the attempt out
	attempts      int
	live          bool // an attempt is out
	server        policy.ServerID
	sentAt        time.Duration
	last          policy.ResultCode // how the last attempt ended
	detail        string
	check         int // the Check that is out
	checkAt       time.Duration
	checkedAs     AuthorizationResult
	allowed       AuthorizationResult // what the authoriser changes
	receivedAt    time.Duration
	clientLeft    bool // its client left before it was begun
}
