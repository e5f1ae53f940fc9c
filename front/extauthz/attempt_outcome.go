package extauthz

import (
	"fmt"

	datav3 "github.com/envoyproxy/go-control-plane/envoy/data/accesslog/v3"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// responseFlagOutcomes maps the response flags of an access log entry to the outcome of the
// attempt. The first flag that is set counts. The proxy has already responded to the client, so
// no outcome causes a retry; the policy only uses it to judge the server. If the proxy did not
// forward the request for a reason of its own, the code is TooLate, which does not count for or
// against the server.
var responseFlagOutcomes = []struct {
	set    func(*datav3.ResponseFlags) bool
	code   policy.ResultCode
	detail string
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

// attemptOutcome returns the outcome of the attempt that an access log entry reports.
func (s *Server) attemptOutcome(entry *datav3.HTTPAccessLogEntry) node.Result {
	common := entry.GetCommonProperties()
	result := node.Result{Latency: common.GetTimeToLastUpstreamRxByte().AsDuration()}
	if result.Latency <= 0 {
		result.Latency = common.GetDuration().AsDuration()
	}
	for _, flag := range responseFlagOutcomes {
		if flag.set(common.GetResponseFlags()) {
			result.Code, result.Detail = flag.code, flag.detail
			return result
		}
	}
	status := int(entry.GetResponse().GetResponseCode().GetValue())
	switch {
	case status == 0:
		result.Code, result.Detail = policy.Cancelled, "no status"
	case s.options.RejectionSignal.Matches(status, func(name string) bool { _, ok := entry.GetResponse().GetResponseHeaders()[name]; return ok }):
		result.Code = policy.Rejected
	case status >= 500:
		result.Code = policy.Error
	}
	if status >= 500 {
		result.Detail = fmt.Sprintf("status %d", status)
	}
	return result
}
