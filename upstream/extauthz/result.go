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

// CacheTTLMetadata is the field of dynamic_metadata in which the service states, in milliseconds,
// how long its result may be used if a later check fails.
const CacheTTLMetadata = "cache_ttl_ms"

// maxCacheTTL is the maximum cache TTL; a longer one stated by the service is reduced to it.
const maxCacheTTL = 24 * time.Hour

// A denial has a status in this range; another status is replaced by the default.
const (
	minDenialStatus     = 300
	maxDenialStatus     = 599
	defaultDenialStatus = http.StatusForbidden
)

// authorizationResult converts the response or the error of a check.
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
	clientResponse := &node.Response{Status: int(denied.GetStatus().GetCode()), Body: []byte(denied.GetBody())}
	if clientResponse.Status < minDenialStatus || clientResponse.Status > maxDenialStatus {
		clientResponse.Status = defaultDenialStatus
	}
	for _, option := range denied.GetHeaders() {
		putHeader(option, &clientResponse.Header, &clientResponse.Header)
	}
	return node.AuthorizationResult{Outcome: authz.Denied, Denial: clientResponse, CacheTTL: cacheTTL(response)}
}

// cacheTTL returns the cache TTL that the service states, or 0.
func cacheTTL(response *authv3.CheckResponse) time.Duration {
	milliseconds := response.GetDynamicMetadata().GetFields()[CacheTTLMetadata].GetNumberValue()
	bounded := min(max(milliseconds, 0), float64(maxCacheTTL.Milliseconds()))
	return time.Duration(bounded) * time.Millisecond
}

// putHeader adds a header of the service to the headers that replace existing ones or to those that
// are appended. A header that may not be set (see [http1.Field.Settable]) is dropped. By the
// specification of ok_response a header replaces an existing one unless append is true. The newer
// append_action is ignored, since its zero value can't be distinguished from an absent one.
func putHeader(option *corev3.HeaderValueOption, replace, appended *http1.Header) {
	field := http1.Field{Name: option.GetHeader().GetKey(), Value: option.GetHeader().GetValue()}
	if field.Value == "" {
		field.Value = string(option.GetHeader().GetRawValue())
	}
	switch {
	case !field.Settable():
	case option.GetAppend().GetValue(): //nolint:staticcheck // deprecated, but the only field whose absence can be detected
		appended.Add(field.Name, field.Value)
	default:
		replace.Set(field.Name, field.Value)
	}
}
