// Package node runs one gateway: it accepts requests from the frontends, passes them to the
// policy for a decision, makes attempts through the upstream, and gives each request exactly
// one final response.
//
// # Ownership and threads
//
// One goroutine, the loop of [Node.Run], owns the policy, the authorization decider, the
// timer wheel, the endpoint list and the state of all requests. None of these needs a
// lock. Other goroutines run the frontends, the connections to servers, the peers' socket
// and the watch of the endpoint list. They enqueue events for the loop, which handles them
// in order of arrival; enqueueing never blocks. The functions that the loop calls
// ([Upstream], [Authorizer], [UsageRecorder], the reply callbacks of requests,
// Options.SendToPeer) must not block either.
//
// The goroutines share only the event queue, the number of unanswered requests and the flag
// that closes the node to new requests. A mutex guards these.
//
// # Life of a request
//
// [Node.Submit] accepts a request or rejects it immediately. The loop assigns its ID, sets
// its deadline timer, and submits it to the authorization decider, if there is one. A
// permitted request is submitted to the policy, which rejects it, fails it, or starts an
// attempt at a server. The policy receives the result of each attempt and may start
// another one; a server's response becomes the final response. A Proxied request is
// answered with a [ForwardPermit]: the proxy makes the attempt and reports its result
// by calling [Node.FinishProxiedAttempt]. Every request is answered by its deadline.
//
// # Policy
//
// The policy is a state machine without I/O: it takes events and returns actions. The
// loop carries out the actions of an event before it passes the next event to the policy.
// If the policy panics, all requests fail and a new policy starts as it would after a
// restart of the process.
//
// # Pauses
//
// After a pause of the process, events wait behind a barrier until the sockets have been
// read. They are then handled in the order defined by package pause, so that no request is
// sent to a server that was removed during the pause, or for a client that disconnected.
package node
