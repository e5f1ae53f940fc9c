package node

import (
	"yardcleat.example/yardcleat/policy"
)

// Reason says why a request was not served; this is the whole list.
type Reason string

// The reasons.
const (
	ReasonNone                     Reason = ""
	ReasonBadRequest               Reason = "bad-request"
	ReasonTooLarge                 Reason = "too-large"
	ReasonUnknownKey               Reason = "unknown-key"
	ReasonNoRoute                  Reason = "no-route"
	ReasonQuota                    Reason = "quota"
	ReasonInFlightLimit            Reason = "open-cap"
	ReasonCeiling                  Reason = "ceiling"
	ReasonLoadShed                 Reason = "shed"
	ReasonNoServer                 Reason = "no-server"
	ReasonNoTime                   Reason = "no-time"
	ReasonQuotaUnknown             Reason = "quota-unknown"
	ReasonServerGone               Reason = "server-gone"
	ReasonServerError              Reason = "server-error"
	ReasonServerRejected           Reason = "server-full"
	ReasonServerTimeout            Reason = "server-late"
	ReasonAuthorizationDenied      Reason = "authorisation-denied"
	ReasonAuthorizationTimeout     Reason = "authorisation-late"
	ReasonAuthorizationUnreachable Reason = "authorisation-unreachable"
	ReasonOverload                 Reason = "overload"
	ReasonDraining                 Reason = "draining"
	ReasonInternal                 Reason = "internal"
	ReasonClientDisconnected       Reason = "client-gone" // in logs only
)

// failureReason names the module's reason, or how the last attempt ended.
func (n *Node) failureReason(r *pendingRequest, why policy.Reason) Reason {
	if why == policy.ReasonAttemptsExhausted || r.attempts > 0 && why == policy.ReasonNoServer {
		switch r.last {
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
		}
	}
	switch why {
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
	return ReasonLoadShed // also a reason that a newer root gave
}
