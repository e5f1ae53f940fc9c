package node

import (
	"time"

	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// Server is a line of the server list with its address.
type Server struct {
	policy.Server // Start is not used: see Started
	Address       string
	ConnectionKey string    // names it and its start, for connections to it; "": the address does
	StartTime     time.Time // wall clock; zero: not known
}

// UpdateEndpoints tells of the server list.
func (n *Node) UpdateEndpoints(kind policy.EndpointUpdateKind, list []Server) {
	n.enqueue(pause.Listed, func() {
		m := policy.EndpointUpdate{Kind: kind}
		if kind == policy.SnapshotUpdate || kind == policy.CachedUpdate {
			clear(n.endpoints)
		}
		for _, s := range list {
			if !s.StartTime.IsZero() {
				s.HasStartTime, s.StartedAt = true, s.StartTime.Sub(n.timeOrigin)
			}
			if n.endpoints[s.ID] = s; s.State == policy.Removed {
				delete(n.endpoints, s.ID)
			}
			m.Servers = append(m.Servers, s.Server)
		}
		n.queuePolicyEvent(m)
		n.withdrawUnsentAttempts()
	})
}

// withdrawUnsentAttempts takes back what has not left yet for servers that want nothing new: a dial may
// come up long after its server began to drain.
func (n *Node) withdrawUnsentAttempts() {
	for _, r := range n.requests {
		if s, listed := n.endpoints[r.server]; r.live && r.withdraw != nil && (!listed || s.State != policy.Running) && r.withdraw() {
			n.finishAttempt(r, r.attempts-1, Result{Code: policy.ConnectFailed, Detail: "the server left before it was sent"})
		}
	}
}
