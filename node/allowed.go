package node

import (
	"net/url"
	"slices"
	"strings"

	"yardcleat.example/yardcleat/internal/http1"
)

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
