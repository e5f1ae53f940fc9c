package extauthz

import (
	"fmt"

	datav3 "github.com/envoyproxy/go-control-plane/envoy/data/accesslog/v3"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// responseFlagOutcomes is the table of what the responseFlagOutcomes of an access log line say of an attempt,
// in order: the first that is set counts. The proxy has given the client its
// answer in any case, so nothing is sent again on their account; they teach the
// module of the server. What never left the proxy for a reason of its own is
// Moot: it says nothing of the server.
var responseFlagOutcomes = []struct {
	set  func(*datav3.ResponseFlags) bool
	code policy.ResultCode
	what string
}{
	{(*datav3.ResponseFlags).GetUpstreamConnectionFailure, policy.ConnectFailed, "UF: not connected"},
	{(*datav3.ResponseFlags).GetNoHealthyUpstream, policy.TooLate, "UH: no healthy upstream"},
	{(*datav3.ResponseFlags).GetUpstreamOverflow, policy.TooLate, "UO: the proxy's circuit breaker"},
	{(*datav3.ResponseFlags).GetNoRouteFound, policy.TooLate, "NR: no route"},
	{(*datav3.ResponseFlags).GetRateLimited, policy.TooLate, "RL: the proxy's rate limit"},
	{(*datav3.ResponseFlags).GetFailedLocalHealthcheck, policy.TooLate, "LH: the proxy's health check"},
	{(*datav3.ResponseFlags).GetFaultInjected, policy.TooLate, "FI: a fault of the proxy's"},
	{(*datav3.ResponseFlags).GetUpstreamRequestTimeout, policy.TimedOut, "UT: no answer in time"},
	{(*datav3.ResponseFlags).GetStreamIdleTimeout, policy.TimedOut, "SI: idle for too long"},
	{(*datav3.ResponseFlags).GetUpstreamConnectionTermination, policy.Reset, "UC: connection ended"},
	{(*datav3.ResponseFlags).GetUpstreamRemoteReset, policy.Reset, "UR: reset by the server"},
	{(*datav3.ResponseFlags).GetLocalReset, policy.Reset, "LR: reset by the proxy"},
	{(*datav3.ResponseFlags).GetUpstreamProtocolError, policy.Reset, "UPE: malformed response"},
	{(*datav3.ResponseFlags).GetDownstreamConnectionTermination, policy.Cancelled, "DC: the client left"},
}

// attemptOutcome is how the attempt of an access log line ended.
func (s *Server) attemptOutcome(e *datav3.HTTPAccessLogEntry) node.Result {
	common := e.GetCommonProperties()
	res := node.Result{Latency: common.GetTimeToLastUpstreamRxByte().AsDuration()}
	if res.Latency <= 0 {
		res.Latency = common.GetDuration().AsDuration()
	}
	for _, f := range responseFlagOutcomes {
		if f.set(common.GetResponseFlags()) {
			res.Code, res.Detail = f.code, f.what
			return res
		}
	}
	code := int(e.GetResponse().GetResponseCode().GetValue())
	switch {
	case code == 0:
		res.Code, res.Detail = policy.Cancelled, "no status"
	case s.options.RejectionSignal.Matches(code, func(name string) bool { _, ok := e.GetResponse().GetResponseHeaders()[name]; return ok }):
		res.Code = policy.Rejected
	case code >= 500:
		res.Code = policy.Error
	}
	if code >= 500 {
		res.Detail = fmt.Sprintf("status %d", code)
	}
	return res
}
