// Package authz decides how an external authorization service is queried. It does no I/O: its
// inputs are events, the time and a random seed, and its outputs are actions. The gRPC client
// that carries out the actions is in upstream/extauthz.
//
// A [Decider] is a state machine for one gateway. It decides
//
//   - whether a request is checked, by the [Mode] of its class;
//   - to which address an authorization check is sent, and how long it may take, so that the
//     rest of the request's time is enough for an attempt at the servers (check_timeout.go,
//     address.go);
//   - how many checks may be in flight at an address (concurrency_limit.go), and which request
//     is checked next if more requests are waiting (queue.go);
//   - when no checks are sent to an address because it fails (circuit_breaker.go);
//   - what is used instead of a missing result (fallback.go, cache.go).
//
// A check does not change the state of the service, so a failed check may be retried at another
// address. A request has at most one check in flight.
//
// A Decider is not safe for concurrent use.
package authz
