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
// Each gateway enforces a share of every customer's hard ceiling, 1/n in a fleet of n. A
// change goes through three stages on each node, so that the shares in force never sum to
// more than the whole, whatever order nodes read the roster and messages arrive in:
//
//   - StageReceived: the node has accepted the roster and enforces its previous share.
//   - StageMinimumShares: every node of the epoch, and every leaving node, has announced
//     StageReceived. The node enforces the smaller of its previous and its new share.
//   - StageComplete: all of them have announced StageMinimumShares. The node enforces its
//     new share.
//
// Nodes that are known not to run any more (Roster.RemovedNames) are not waited for. A node
// accepts the next epoch only when the change before is complete. Safety does not rest on
// clocks: time decides only how often announcements are repeated.
package membership
