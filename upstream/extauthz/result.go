package extauthz

import (
	"net/http"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
)

// CacheTTLMetadata is the name in dynamic_metadata under which the service states, in
// milliseconds, how long its result may be used in place of a later one that does not come.
const CacheTTLMetadata = "cache_ttl_ms"

// maxCacheTTL bounds what the service may state.
const maxCacheTTL = 24 * time.Hour

// A denial has a status in this range; one outside it is replaced.
const (
	minDenialStatus     = 300
	maxDenialStatus     = 599
	defaultDenialStatus = http.StatusForbidden
)

// authorizationResult maps the result of a call.
func authorizationResult(response *authv3.CheckResponse, err error) node.AuthorizationResult {
	switch {
	case err != nil:
		return failure(err)
	case response.GetStatus().GetCode() == int32(codes.OK):
		return permission(response)
	default:
		return denial(response)
	}
}

func failure(err error) node.AuthorizationResult {
	outcome := authz.Unreachable
	if status.Code(err) == codes.DeadlineExceeded {
		outcome = authz.TimedOut
	}
	return node.AuthorizationResult{Outcome: outcome, Detail: "authorization check failed: " + err.Error()}
}

func permission(response *authv3.CheckResponse) node.AuthorizationResult {
	ok := response.GetOkResponse()
	result := node.AuthorizationResult{
		Outcome:     authz.Allowed,
		CacheTTL:    cacheTTL(response),
		RemoveQuery: ok.GetQueryParametersToRemove(),
	}
	for _, option := range ok.GetHeaders() {
		putHeader(option, &result.SetHeaders, &result.AppendHeaders)
	}
	for _, parameter := range ok.GetQueryParametersToSet() {
		result.SetQuery = append(result.SetQuery, http1.Field{Name: parameter.GetKey(), Value: parameter.GetValue()})
	}
	for _, option := range ok.GetResponseHeadersToAdd() {
		putHeader(option, &result.ResponseHeaders, &result.ResponseHeaders)
	}
	for _, name := range ok.GetHeadersToRemove() {
		if (http1.Field{Name: name}).Settable() {
			result.RemoveHeaders = append(result.RemoveHeaders, name)
		}
	}
	return result
}

func denial(response *authv3.CheckResponse) node.AuthorizationResult {
	denied := response.GetDeniedResponse()
	answer := &node.Response{Status: int(denied.GetStatus().GetCode()), Body: []byte(denied.GetBody())}
	if answer.Status < minDenialStatus || answer.Status > maxDenialStatus {
		answer.Status = defaultDenialStatus
	}
	for _, option := range denied.GetHeaders() {
		putHeader(option, &answer.Header, &answer.Header)
	}
	return node.AuthorizationResult{Outcome: authz.Denied, Denial: answer, CacheTTL: cacheTTL(response)}
}

// cacheTTL returns the time that the service states, or 0.
func cacheTTL(response *authv3.CheckResponse) time.Duration {
	milliseconds := response.GetDynamicMetadata().GetFields()[CacheTTLMetadata].GetNumberValue()
	bounded := min(max(milliseconds, 0), float64(maxCacheTTL.Milliseconds()))
	return time.Duration(bounded) * time.Millisecond
}

// putHeader adds the service's header to those that replace or to those that are appended. One
// that may not be set (see [http1.Field.Settable]) is dropped. By the specification of ok_response
// a header replaces unless its append is true; the newer append_action does not count, since its
// zero value can't be told from one left out.
func putHeader(option *corev3.HeaderValueOption, replace, appended *http1.Header) {
	field := http1.Field{Name: option.GetHeader().GetKey(), Value: option.GetHeader().GetValue()}
	if field.Value == "" {
		field.Value = string(option.GetHeader().GetRawValue())
	}
	switch {
	case !field.Settable():
	case option.GetAppend().GetValue(): //nolint:staticcheck // deprecated, but the only field whose absence shows
		appended.Add(field.Name, field.Value)
	default:
		replace.Set(field.Name, field.Value)
	}
}
