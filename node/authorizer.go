package node

import (
	"net/url"
	"slices"
	"strings"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/http1"
)

// AuthorizationResult is the result of an authorization check. Its header and query changes
// are applied to an allowed request before it is forwarded.
type AuthorizationResult struct {
	Outcome  authz.Outcome
	Denial   *Response     // the response for the client, if Outcome is Denied
	CacheTTL time.Duration // how long the result may be reused; 0 if the service did not specify it
	Detail   string        // for the log

	SetHeaders    http1.Header // replace the client's fields of the same name
	AppendHeaders http1.Header // are added to the client's fields
	RemoveHeaders []string     // names of fields that are removed

	SetQuery    []http1.Field // query parameters that replace those of the same name
	RemoveQuery []string      // names of query parameters that are removed

	ResponseHeaders http1.Header // are added to the server's response
}

// Authorizer makes checks with the external authorization service.
type Authorizer interface {
	// Check sends a check to the service. address is the index of the service's address,
	// from 0. Check is called in the loop and must not block. It calls done once, from any
	// goroutine, unless cancel is called first. The node ends the check after the timeout.
	Check(address int, request *Request, timeout time.Duration, done func(AuthorizationResult)) (cancel func())
}

// apply makes the changes to a request that the authorization service specified.
func (r *AuthorizationResult) apply(request *HTTPRequest) {
	for _, name := range r.RemoveHeaders {
		request.Header.Del(name)
	}
	for _, field := range r.SetHeaders {
		request.Header.Set(field.Name, field.Value)
	}
	request.Header = append(request.Header, r.AppendHeaders...)
	if len(r.SetQuery) > 0 || len(r.RemoveQuery) > 0 {
		request.Target = r.applyToQuery(request.Target)
	}
}

// applyToQuery returns a target with query parameters set and removed. The other parameters
// keep their order and their encoding.
func (r *AuthorizationResult) applyToQuery(target string) string {
	path, query, _ := strings.Cut(target, "?")
	var parameters []string
	for parameter := range strings.SplitSeq(query, "&") {
		if parameter != "" && !r.replacesParameter(parameter) {
			parameters = append(parameters, parameter)
		}
	}
	for _, field := range r.SetQuery {
		parameters = append(parameters, url.QueryEscape(field.Name)+"="+url.QueryEscape(field.Value))
	}
	if len(parameters) == 0 {
		return path
	}
	return path + "?" + strings.Join(parameters, "&")
}

// replacesParameter reports whether an encoded query parameter is set or removed.
func (r *AuthorizationResult) replacesParameter(parameter string) bool {
	encodedName, _, _ := strings.Cut(parameter, "=")
	name, err := url.QueryUnescape(encodedName)
	if err != nil {
		name = encodedName
	}
	if slices.Contains(r.RemoveQuery, name) {
		return true
	}
	return slices.ContainsFunc(r.SetQuery, func(field http1.Field) bool { return field.Name == name })
}
