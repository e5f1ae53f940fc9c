// Package authz decides how an external authorization service is asked, without I/O: events
// and the time go in, actions come out, and random numbers come from a seed. The gRPC client that
// carries out the actions is in upstream/extauthz.
//
// A [Decider] is a state machine for one gateway. For each request it decides
//
//   - whether the service is asked at all, by the [Mode] of the request's class;
//   - which address is asked, and how long one authorization check may take, so that the rest
//     of the request's time is enough for an attempt at the servers (check_timeout.go,
//     address.go);
//   - how many checks may be in flight at an address (concurrency_limit.go), and which request
//     is next when more are wanted (queue.go);
//   - when an address gets no checks for a while (circuit_breaker.go);
//   - what replaces a result that does not come (fallback.go, cache.go).
//
// A check is read-only for the service, so a failed one may be retried at another address; a
// request has at most one check in flight.
//
// A Decider is not safe for concurrent use.
package authz
