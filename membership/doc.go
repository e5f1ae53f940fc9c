// Package membership decides which nodes form the fleet, which number each of them
// acts under, and when a change of the fleet takes effect. It has no I/O, reads no clock
// and starts no goroutine: rosters, peers' announcements and the time come in as
// arguments, and each call returns the actions that its caller must carry out.
//
// # Rosters
//
// A Roster names the nodes and their numbers under an epoch, which rises by one with each
// change. Operators write it, and each node reads a new one at its own time.
//
// # Stages of an epoch change
//
// Each gateway enforces its share of every customer's hard ceiling, which follows from the
// fleet's size (ceilingDivisor in policy/quota_leader.go): equal shares of the gateways that
// receive the customer's requests or, in a large fleet, one for the standby leader and the
// rest divided among the leaders. A change goes through three stages on each node, so that
// the shares in force never sum to more than the whole, in whatever order nodes read the
// roster and messages arrive:
//
//   - StageReceived: the node has accepted the roster and enforces its previous share.
//   - StageMinimumShares: every node of the epoch, and every leaving node, has announced
//     StageReceived. The node enforces the smaller of its previous and its new share.
//   - StageComplete: all of them have announced StageMinimumShares. The node enforces its
//     new share.
//
// A change does not wait for nodes that are known not to run any more (Roster.RemovedNames).
// A node
// accepts the next epoch only when the change before is complete. Safety does not rest on
// clocks: time determines only how often announcements are repeated.
package membership
