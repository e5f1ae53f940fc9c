package node

import (
	"testing"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/policy"
)

func TestFailureReason(t *testing.T) {
	for _, c := range []struct {
		name     string
		decision policy.Reason
		attempts int
		last     policy.ResultCode
		want     Reason
	}{
		{"quota", policy.ReasonQuotaExceeded, 0, policy.OK, ReasonQuota},
		{"quota after a failed attempt", policy.ReasonQuotaExceeded, 1, policy.Reset, ReasonQuota},
		{"in-flight limit", policy.ReasonInFlightLimit, 0, policy.OK, ReasonInFlightLimit},
		{"ceiling", policy.ReasonCeilingExceeded, 0, policy.OK, ReasonCeiling},
		{"load shed", policy.ReasonLoadShed, 0, policy.OK, ReasonLoadShed},
		{"no time", policy.ReasonNoTime, 0, policy.OK, ReasonNoTime},
		{"no quota leader", policy.ReasonNoQuotaLeader, 0, policy.OK, ReasonQuotaUnknown},
		{"no server", policy.ReasonNoServer, 0, policy.OK, ReasonNoServer},
		{"no further server, timed out", policy.ReasonNoServer, 1, policy.TimedOut, ReasonServerTimeout},
		{"no further server, but the last attempt succeeded", policy.ReasonNoServer, 1, policy.OK, ReasonNoServer},
		{"exhausted, canceled", policy.ReasonAttemptsExhausted, 2, policy.Cancelled, ReasonServerTimeout},
		{"exhausted, not connected", policy.ReasonAttemptsExhausted, 1, policy.ConnectFailed, ReasonServerGone},
		{"exhausted, reset", policy.ReasonAttemptsExhausted, 1, policy.Reset, ReasonServerGone},
		{"exhausted, server error", policy.ReasonAttemptsExhausted, 1, policy.Error, ReasonServerError},
		{"exhausted, rejected by the server", policy.ReasonAttemptsExhausted, 1, policy.Rejected, ReasonServerRejected},
		{"exhausted, withdrawn", policy.ReasonAttemptsExhausted, 1, policy.Withdrawn, ReasonNoServer},
		{"exhausted, no connection", policy.ReasonAttemptsExhausted, 1, policy.NoConnection, ReasonOverload},
		{"exhausted, too late", policy.ReasonAttemptsExhausted, 1, policy.TooLate, ReasonNoTime},
		{"unknown", policy.Reason(250), 0, policy.OK, ReasonLoadShed},
	} {
		if got := failureReason(c.decision, c.attempts, c.last); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestAuthorizationFailure(t *testing.T) {
	for decision, want := range map[authz.Decision]Reason{
		authz.Proceed:           ReasonNone,
		authz.Deny:              "authorisation-denied",
		authz.RejectTimedOut:    "authorisation-late",
		authz.RejectUnreachable: "authorisation-unreachable",
		authz.RejectOverQuota:   "quota",
	} {
		if got := authorizationFailure(decision); got != want {
			t.Errorf("decision %d: %q, want %q", decision, got, want)
		}
	}
}
