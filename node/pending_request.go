package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/timers"
	"yardcleat.example/yardcleat/policy"
)

// state is where a request stands in its life.
type state int

const (
	authorising state = iota // a Check is out
	deciding                 // the module holds it
	out                      // an attempt is out
	answered                 // it has its final answer; an attempt may still be out
)

type request struct {
	id        policy.RequestID
	try       *Request
	reply     func(FinalResponse)
	state     state
	deadline  time.Duration
	timer     *timers.Timer // at the deadline
	cancel    func()        // of the Check, or the attempt out
	withdraw  func() bool   // of the attempt out; see Sending
	limit     *timers.Timer // of the Check, or the attempt out
	attempts  int
	live      bool // an attempt is out
	server    policy.ServerID
	sentAt    time.Duration
	last      policy.ResultCode // how the last attempt ended
	detail    string
	check     int // the Check that is out
	checkAt   time.Duration
	checkedAs AuthorizationResult
	allowed   AuthorizationResult // what the authoriser changes
	taken     time.Duration
	left      bool // its client left before it was begun
}
