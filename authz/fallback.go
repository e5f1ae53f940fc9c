package authz

// resolveByResult resolves a request as the service decided.
func (d *Decider) resolveByResult(r *pendingRequest, outcome Outcome) {
	d.resolve(r, Resolve{Decision: decisionOf(outcome)})
}

// decisionOf maps Allowed and Denied to decisions.
func decisionOf(outcome Outcome) Decision {
	if outcome == Denied {
		return Deny
	}
	return Proceed
}

// resolveByFallback resolves a request that has no result: by a cached one, a denial too, else by
// the mode of its class.
func (d *Decider) resolveByFallback(r *pendingRequest) {
	d.queue.remove(r)
	if cached := d.cache.get(d.now, r.cacheKey()); cached != nil {
		d.resolve(r, Resolve{Decision: decisionOf(cached.outcome), CachedPayload: cached.payload, FromFallback: true})
		return
	}
	switch {
	case r.class.Mode == FailOpen:
		d.resolve(r, Resolve{Decision: Proceed, FromFallback: true})
	case r.unreachable:
		d.resolve(r, Resolve{Decision: RejectUnreachable})
	default:
		d.resolve(r, Resolve{Decision: RejectTimedOut})
	}
}

// resolve is the last step of a request.
func (d *Decider) resolve(r *pendingRequest, action Resolve) {
	action.ID = r.ID
	delete(d.requests, r.ID)
	d.emit(action)
}
