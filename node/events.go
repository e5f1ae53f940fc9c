package node

import (
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// event is an input from outside the loop. Any goroutine may enqueue one; only the loop
// handles it.
type event interface {
	// pauseKind determines the order of the events received while the process was paused.
	// Without a pause, events are handled in order of arrival.
	pauseKind() pause.EventKind
}

// requestSubmitted carries a request that Submit accepted.
type requestSubmitted struct{ request *pendingRequest }

// clientDisconnected reports that the client of a request has disconnected.
type clientDisconnected struct{ request *pendingRequest }

// peerMessageReceived carries a message from another gateway.
type peerMessageReceived struct {
	from int
	data []byte
}

// endpointsUpdated carries the endpoint list or changes to it.
type endpointsUpdated struct {
	kind      policy.EndpointUpdateKind
	endpoints []Endpoint
}

// attemptFinished carries the result of an attempt made by the Upstream.
type attemptFinished struct {
	request *pendingRequest
	attempt int
	result  Result
}

// proxiedAttemptFinished carries the result of an attempt made by a proxy.
type proxiedAttemptFinished struct {
	id      policy.RequestID
	attempt int
	result  Result
}

// checkFinished carries the result of an authorization check.
type checkFinished struct {
	request *pendingRequest
	check   int
	result  AuthorizationResult
}

// requestsAborted requests that every unanswered request be answered immediately.
type requestsAborted struct{}

// functionCall carries a function to call in the loop.
type functionCall struct{ function func() }

// responseCall carries a function that handles the response of an external service.
type responseCall struct{ function func() }

func (requestSubmitted) pauseKind() pause.EventKind       { return pause.RequestArrived }
func (clientDisconnected) pauseKind() pause.EventKind     { return pause.ClientDisconnected }
func (peerMessageReceived) pauseKind() pause.EventKind    { return pause.PeerMessage }
func (endpointsUpdated) pauseKind() pause.EventKind       { return pause.EndpointsUpdated }
func (attemptFinished) pauseKind() pause.EventKind        { return pause.CallFinished }
func (proxiedAttemptFinished) pauseKind() pause.EventKind { return pause.CallFinished }
func (checkFinished) pauseKind() pause.EventKind          { return pause.CallFinished }
func (requestsAborted) pauseKind() pause.EventKind        { return pause.OtherEvent }
func (functionCall) pauseKind() pause.EventKind           { return pause.OtherEvent }
func (responseCall) pauseKind() pause.EventKind           { return pause.CallFinished }

// handle carries out one event. It is called in the loop.
func (n *Node) handle(e event) {
	switch e := e.(type) {
	case requestSubmitted:
		n.beginRequest(e.request)
	case clientDisconnected:
		n.handleClientDisconnect(e.request)
	case peerMessageReceived:
		n.queuePolicyEvent(policy.PeerMessage{From: e.from, Data: e.data})
	case endpointsUpdated:
		n.applyEndpointUpdate(e)
	case attemptFinished:
		n.handleAttemptFinished(e)
	case proxiedAttemptFinished:
		n.handleProxiedAttemptFinished(e)
	case checkFinished:
		n.finishCheck(e.request, e.check, e.result)
	case requestsAborted:
		n.abortRequests()
	case functionCall:
		e.function()
	case responseCall:
		e.function()
	}
}

// enqueue appends an event to the loop's queue. It never blocks.
func (n *Node) enqueue(e event) {
	n.mu.Lock()
	n.enqueueLocked(e)
	n.mu.Unlock()
}

// enqueueLocked is enqueue for a caller that holds n.mu.
func (n *Node) enqueueLocked(e event) {
	n.queue = append(n.queue, e)
	if len(n.queue) == 1 {
		signal(n.wake)
	}
}

// signal wakes the receiver of a channel with a buffer of one. It does nothing if an earlier
// signal has not been received yet.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ReceivePeerMessage passes a message from another gateway to the policy. It may be called
// from any goroutine and never blocks. The node takes ownership of data.
func (n *Node) ReceivePeerMessage(from int, data []byte) {
	n.enqueue(peerMessageReceived{from: from, data: data})
}

// Do schedules a call of f in the loop, in order with all other events, and returns
// immediately. It may be called from any goroutine; f must not block.
func (n *Node) Do(f func()) { n.enqueue(functionCall{f}) }

// DoWithResponse is like Do, for an f that handles the response of an external service. After
// a pause of the process f is called before the timers that expired meanwhile fire, as for
// all events received from outside.
func (n *Node) DoWithResponse(f func()) { n.enqueue(responseCall{f}) }

// InjectPolicyPanic makes the policy panic at its next event. It is for tests only.
func (n *Node) InjectPolicyPanic() {
	n.Do(func() {
		n.policy = nil
		n.queuePolicyEvent(policy.TimerFired{})
	})
}
