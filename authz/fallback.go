package authz

// resolveByResult resolves a request by the service's result.
func (d *Decider) resolveByResult(r *pendingRequest, outcome Outcome) {
	d.resolve(r, Resolve{Decision: decisionOf(outcome)})
}

// decisionOf returns the decision for Allowed or Denied.
func decisionOf(outcome Outcome) Decision {
	if outcome == Denied {
		return Deny
	}
	return Proceed
}

// resolveByFallback resolves a request without a result. It uses a cached result, which may be a
// denial, or otherwise the mode of the request's class.
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

// resolve removes a request and emits its decision.
func (d *Decider) resolve(r *pendingRequest, action Resolve) {
	action.ID = r.ID
	delete(d.requests, r.ID)
	d.emit(action)
}
