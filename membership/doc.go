// Package membership determines which nodes form the fleet, which number each of them has, and
// when a change of the fleet takes effect. It performs no I/O, reads no clock and starts no
// goroutine: rosters, peers' announcements and the time are passed as arguments, and each call
// returns the actions that its caller must carry out.
//
// # Rosters
//
// A Roster lists the nodes and their numbers for an epoch, which increases by one with each
// change. Operators write the roster, and the nodes read a new one at different times.
//
// # Stages of an epoch change
//
// Each gateway enforces its share of every customer's hard ceiling. The share depends on the
// fleet's size (ceilingDivisor in policy/quota_leader.go): the gateways that receive the customer's
// requests have equal shares or, in a large fleet, the standby leader has one share and the rest is
// divided among the leaders. A change goes through three stages on each node, so that the shares in
// force never sum to more than the ceiling, regardless of the order in which nodes read the roster
// and messages arrive:
//
//   - StageReceived: the node has accepted the roster and still enforces its previous share.
//   - StageMinimumShares: every node of the epoch, and every leaving node, has announced
//     StageReceived. The node enforces the smaller of its previous and its new share.
//   - StageComplete: all of these nodes have announced StageMinimumShares. The node enforces its
//     new share.
//
// A change does not wait for nodes that operators have declared not to run any more
// (Roster.RemovedNames). A node accepts the next epoch only when the previous change is complete.
// Safety does not depend on clocks: time determines only how often announcements are repeated.
package membership
