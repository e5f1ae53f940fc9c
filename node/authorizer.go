package node

import (
	"net/url"
	"slices"
	"strings"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/http1"
)

// AuthorizationResult is how a Check ended.
type AuthorizationResult struct {
	Verdict         authz.Verdict
	Denial          *Response     // of Denied
	SetHeaders      http1.Header  // of Allowed: fields that replace the client's
	AppendHeaders   http1.Header  // fields added to them
	RemoveHeaders   []string      // fields taken out
	CacheTTL        time.Duration // that the authoriser states for its answer; 0: none
	Detail          string        // for logs
	SetQuery        []http1.Field // of Allowed: query parameters set
	RemoveQuery     []string      // and taken out
	ResponseHeaders http1.Header  // fields added to the client's response
}

// Authorizer asks the external authorisation service at one of its addresses,
// counted from 0. Check returns at once; done is called once, from any goroutine,
// unless cancel was called before.
type Authorizer interface {
	Check(target int, t *Request, budget time.Duration, done func(AuthorizationResult)) (cancel func())
}

// apply makes an authoriser's changes to a call.
func (c *AuthorizationResult) apply(call *Call) {
	for _, name := range c.RemoveHeaders {
		call.Header.Del(name)
	}
	for _, f := range c.SetHeaders {
		call.Header.Set(f.Name, f.Value)
	}
	call.Header = append(call.Header, c.AppendHeaders...)
	if len(c.SetQuery) > 0 || len(c.RemoveQuery) > 0 {
		call.Target = c.query(call.Target)
	}
}

// query sets and takes out query parameters; the others stay as they came.
func (c *AuthorizationResult) query(target string) string {
	path, query, _ := strings.Cut(target, "?")
	var kept []string
	for part := range strings.SplitSeq(query, "&") {
		name, _, _ := strings.Cut(part, "=")
		plain, err := url.QueryUnescape(name)
		if err != nil {
			plain = name
		}
		replaced := slices.ContainsFunc(c.SetQuery, func(f http1.Field) bool { return f.Name == plain })
		if part != "" && !replaced && !slices.Contains(c.RemoveQuery, plain) {
			kept = append(kept, part)
		}
	}
	for _, f := range c.SetQuery {
		kept = append(kept, url.QueryEscape(f.Name)+"="+url.QueryEscape(f.Value))
	}
	if len(kept) == 0 {
		return path
	}
	return path + "?" + strings.Join(kept, "&")
}
