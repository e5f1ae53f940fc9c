// Package node runs one gateway: it accepts requests from the frontends, has the policy
// decide on them, has the upstream make the attempts, and gives each request exactly one
// final response.
//
// # Ownership and threads
//
// One goroutine, the loop of [Node.Run], owns the policy, the authorization decider, the
// timer wheel, the endpoint list and the state of all requests. None of these needs a
// lock. Everything else happens in other goroutines: frontends, connections to servers,
// the peers' socket, the watch of the endpoint list. They enqueue events for the loop, which
// handles them in order of arrival; enqueueing never blocks. What the loop calls
// ([Upstream], [Authorizer], [UsageRecorder], replies to requests, Options.SendToPeer)
// must not block either.
//
// Only the queue of events, the number of unanswered requests and whether the node
// accepts more of them are shared, under a lock.
//
// # Life of a request
//
// [Node.Submit] accepts a request or rejects it at once. The loop begins it, sets the
// timer of its deadline, and submits it to the authorization decider, if there is one. A
// request that is permitted goes to the policy, which rejects it, fails it, or starts an
// attempt at a server. The result of an attempt goes back to the policy, which may start
// a further one; a server's response becomes the final response. A Proxied request is
// answered with a [ForwardPermit]: the proxy makes the attempt, and reports its result
// by [Node.FinishProxiedAttempt]. Whatever happens, a request is answered at its deadline.
//
// # Policy
//
// The policy is a state machine without I/O: it takes events and returns actions. The
// loop carries out the actions of an event before it gives it the next one. A panic in
// the policy fails all requests; a new policy then starts as after a restart.
//
// # Pauses
//
// After a pause of the process, events wait behind a barrier until the sockets have been
// read. They are then handled in the order that package pause gives them, so that a
// request is not sent to a server that has left, or for a client that has gone.
package node
