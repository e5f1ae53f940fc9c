package node

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Endpoint is one entry of the endpoint list: the policy's description of a server, and the
// server's address.
type Endpoint struct {
	// Server is passed to the policy. The node sets HasStartTime and StartedAt from StartTime.
	policy.Server

	Address string // host:port

	// ConnectionKey identifies the server and its start. HTTP/1.1 connections are shared only
	// by attempts with the same key; HTTP/2 connections are shared by address. If it is
	// empty, the address is the key.
	ConnectionKey string

	StartTime time.Time // the server's last start by the wall clock; zero if unknown
}

// UpdateEndpoints passes the endpoint list or, depending on kind, changes to it to the node.
// It may be called from any goroutine and never blocks. The node takes ownership of list.
func (n *Node) UpdateEndpoints(kind policy.EndpointUpdateKind, list []Endpoint) {
	n.enqueue(endpointsUpdated{kind: kind, endpoints: list})
}

// applyEndpointUpdate merges an update into the endpoint list and passes it to the
// policy.
func (n *Node) applyEndpointUpdate(e endpointsUpdated) {
	update := policy.EndpointUpdate{Kind: e.kind}
	if e.kind == policy.SnapshotUpdate || e.kind == policy.CachedUpdate {
		clear(n.endpoints)
	}
	for _, endpoint := range e.endpoints {
		if !endpoint.StartTime.IsZero() {
			endpoint.HasStartTime = true
			endpoint.StartedAt = endpoint.StartTime.Sub(n.timeOrigin)
		}
		if endpoint.State == policy.Removed {
			delete(n.endpoints, endpoint.ID)
		} else {
			n.endpoints[endpoint.ID] = endpoint
		}
		update.Servers = append(update.Servers, endpoint.Server)
	}
	n.queuePolicyEvent(update)
	n.withdrawUnsentAttempts()
}

// withdrawUnsentAttempts ends the attempts at servers that accept no more work if their
// requests have not been written yet: a slow dial may succeed long after the server began
// to drain.
func (n *Node) withdrawUnsentAttempts() {
	for _, r := range n.requests {
		if !r.attempts.active || n.acceptsWork(r.attempts.server) {
			continue
		}
		if r.work.tryWithdraw() {
			n.finishAttempt(r, Result{Code: policy.Withdrawn, Detail: "server draining or removed before the request was sent"})
		}
	}
}

// acceptsWork reports whether a server is on the endpoint list and running.
func (n *Node) acceptsWork(id policy.ServerID) bool {
	endpoint, listed := n.endpoints[id]
	return listed && endpoint.State == policy.Running
}
