package node

import (
	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/policy"
)

// Reason is the reason why a request was not served. The values appear in response bodies
// and in the log; clients and operators rely on them. The constants below are the complete
// list.
type Reason string

// The reasons.
const (
	ReasonNone                     Reason = ""                          // served
	ReasonBadRequest               Reason = "bad-request"               // malformed
	ReasonTooLarge                 Reason = "too-large"                 // header or body above the limits
	ReasonUnknownKey               Reason = "unknown-key"               // the API key belongs to no customer
	ReasonNoRoute                  Reason = "no-route"                  // no route matches the request
	ReasonQuota                    Reason = "quota"                     // the customer's rate quota is used up
	ReasonInFlightLimit            Reason = "open-cap"                  // the customer has too many attempts in flight, or its queue was lost with the state of a quota leader
	ReasonCeiling                  Reason = "ceiling"                   // the customer's hard ceiling is reached
	ReasonLoadShed                 Reason = "shed"                      // rejected by load shedding, or for a reason that this version does not know
	ReasonNoServer                 Reason = "no-server"                 // no server was available in time
	ReasonNoTime                   Reason = "no-time"                   // too little time was left before the deadline
	ReasonQuotaUnknown             Reason = "quota-unknown"             // no leader of the quota responded, and the request was not admitted without one
	ReasonServerGone               Reason = "server-gone"               // the last attempt's connection failed or was reset
	ReasonServerError              Reason = "server-error"              // the last attempt ended with an error
	ReasonServerRejected           Reason = "server-full"               // the last attempt's server rejected it
	ReasonServerTimeout            Reason = "server-late"               // the last attempt timed out
	ReasonAuthorizationDenied      Reason = "authorisation-denied"      // the authorization service denied it
	ReasonAuthorizationTimeout     Reason = "authorisation-late"        // the authorization service was too slow
	ReasonAuthorizationUnreachable Reason = "authorisation-unreachable" // the authorization service could not be reached
	ReasonOverload                 Reason = "overload"                  // the node has too many unanswered requests, or all its connections to servers were in use
	ReasonDraining                 Reason = "draining"                  // the node is shutting down, or stopped before the request was answered
	ReasonInternal                 Reason = "internal"                  // the policy panicked
	ReasonClientDisconnected       Reason = "client-gone"               // in logs only
)

// authorizationFailure returns the reason for a rejection by the authorization decider, or
// ReasonNone if the decider permits the request.
func authorizationFailure(decision authz.Decision) Reason {
	switch decision {
	case authz.Deny:
		return ReasonAuthorizationDenied
	case authz.RejectTimedOut:
		return ReasonAuthorizationTimeout
	case authz.RejectUnreachable:
		return ReasonAuthorizationUnreachable
	case authz.RejectOverQuota:
		return ReasonQuota
	}
	return ReasonNone
}

// failureReason returns the reason for a request that the policy rejects or fails. If the
// policy could not start a further attempt, the result of the last attempt is more specific.
func failureReason(decision policy.Reason, attempts int, lastResult policy.ResultCode) Reason {
	noFurtherAttempt := decision == policy.ReasonAttemptsExhausted ||
		decision == policy.ReasonNoServer && attempts > 0
	if noFurtherAttempt {
		if reason := attemptFailure(lastResult); reason != ReasonNone {
			return reason
		}
	}
	switch decision {
	case policy.ReasonQuotaExceeded:
		return ReasonQuota
	case policy.ReasonInFlightLimit:
		return ReasonInFlightLimit
	case policy.ReasonCeilingExceeded:
		return ReasonCeiling
	case policy.ReasonNoServer:
		return ReasonNoServer
	case policy.ReasonNoTime:
		return ReasonNoTime
	case policy.ReasonNoQuotaLeader:
		return ReasonQuotaUnknown
	}
	// All other reasons map to ReasonLoadShed: the policy's reasons for load shedding, and
	// unknown reasons, which a quota leader with a newer version of the policy may send.
	return ReasonLoadShed
}

// attemptFailure returns the reason that corresponds to the result of an attempt, or
// ReasonNone for an attempt that succeeded.
func attemptFailure(result policy.ResultCode) Reason {
	switch result {
	case policy.TimedOut, policy.Cancelled:
		return ReasonServerTimeout
	case policy.ConnectFailed, policy.Reset:
		return ReasonServerGone
	case policy.Error:
		return ReasonServerError
	case policy.Rejected:
		return ReasonServerRejected
	case policy.TooLate:
		return ReasonNoTime
	case policy.Withdrawn:
		return ReasonNoServer
	case policy.NoConnection:
		return ReasonOverload
	}
	return ReasonNone
}
