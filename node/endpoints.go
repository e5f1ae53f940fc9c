package node

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Endpoint is one entry of the endpoint list: a server as the policy sees it, and its
// address.
type Endpoint struct {
	// Server is for the policy. HasStartTime and StartedAt are set by the node, from
	// StartTime.
	policy.Server

	Address string // host:port

	// ConnectionKey names the server and its start. HTTP/1.1 connections are shared only
	// by attempts with the same key; HTTP/2 connections are shared by address. Empty: the
	// address is the key.
	ConnectionKey string

	StartTime time.Time // the server's last start by the wall clock; zero: not known
}

// UpdateEndpoints gives the node the endpoint list or, depending on kind, changes to it. It
// may be called from any goroutine and never blocks; the node owns the list from then
// on.
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

// withdrawUnsentAttempts ends the attempts at servers that accept no more work, as far
// as their requests have not been written yet: a slow dial may succeed long after its
// server began to drain.
func (n *Node) withdrawUnsentAttempts() {
	for _, r := range n.requests {
		if !r.attempts.active || n.acceptsWork(r.attempts.server) {
			continue
		}
		if r.work.tryWithdraw() {
			n.finishAttempt(r, Result{Code: policy.Withdrawn, Detail: "server left before the request was sent"})
		}
	}
}

// acceptsWork reports whether a server is on the endpoint list and running.
func (n *Node) acceptsWork(id policy.ServerID) bool {
	endpoint, listed := n.endpoints[id]
	return listed && endpoint.State == policy.Running
}
