// Package intake turns a client's call into a Try, and an Answer into what the
// client is told. All fronts use it, so the same request gets the same decision,
// status, fields and reason by any protocol. It has no I/O.
package intake

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// Mapper knows the routes, keys and plans of a configuration.
type Mapper struct {
	cfg            *config.Config
	routes         *routeNode // by method first
	customersByKey map[string]*config.Customer
	plans          map[string]policy.Plan
}

// routeNode is a place in the tree of routes.
type routeNode struct {
	literal  map[string]*routeNode
	wildcard *routeNode    // {name}
	tail     *config.Class // {name...}
	class    *config.Class // of a path that ends here
}

// New returns the Intake of a checked configuration.
func New(cfg *config.Config) *Mapper {
	in := &Mapper{cfg: cfg, routes: &routeNode{}, customersByKey: map[string]*config.Customer{}, plans: map[string]policy.Plan{}}
	for i := range cfg.Classes {
		for _, r := range cfg.Classes[i].Routes {
			in.routes.child(r.Method).add(strings.Split(r.Path, "/")[1:], &cfg.Classes[i])
		}
	}
	for i := range cfg.Customers {
		for _, k := range cfg.Customers[i].Keys {
			in.customersByKey[k] = &cfg.Customers[i]
		}
	}
	for _, p := range cfg.Plans {
		in.plans[p.Name] = p
	}
	return in
}

func (s *routeNode) child(name string) *routeNode {
	if s.literal == nil {
		s.literal = map[string]*routeNode{}
	}
	if s.literal[name] == nil {
		s.literal[name] = &routeNode{}
	}
	return s.literal[name]
}

func (s *routeNode) add(path []string, class *config.Class) {
	switch {
	case len(path) == 0:
		s.class = class
	case strings.HasSuffix(path[0], "...}"):
		s.tail = class
	case strings.HasPrefix(path[0], "{"):
		if s.wildcard == nil {
			s.wildcard = &routeNode{}
		}
		s.wildcard.add(path[1:], class)
	default:
		s.child(path[0]).add(path[1:], class)
	}
}

// find returns the class of a path: a plain segment goes before {name}, and
// that before {name...}.
func (s *routeNode) find(path string) *config.Class {
	first, rest, more := strings.Cut(path, "/")
	for _, next := range []*routeNode{s.literal[first], s.wildcard} {
		if next == nil || next == s.wildcard && first == "" {
			continue
		}
		if !more {
			if next.class != nil {
				return next.class
			}
		} else if c := next.find(rest); c != nil {
			return c
		}
	}
	return s.tail
}

const (
	headerAttemptCount   = "X-Envoy-Attempt-Count"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerReason         = "X-Yardcleat-Reason"
)

// Field names that the node speaks for itself; they are not taken from clients
// to servers.
func (in *Mapper) withoutGatewayHeaders(h http1.Header) http1.Header {
	h.Del(in.cfg.Clients.KeyHeader)
	h.Del(headerAttemptCount)
	return h
}

// KeyHeader is the field that names the customer.
func (in *Mapper) KeyHeader() string { return in.cfg.Clients.KeyHeader }

func rejection(why node.Reason, detail string, args ...any) *node.FinalResponse {
	return &node.FinalResponse{Kind: node.Rejected, Reason: why, Detail: fmt.Sprintf(detail, args...)}
}

// Admit makes a Try of a call whose header holds end-to-end fields, or the
// answer that it gets at once. trace names it where the client does not.
func (in *Mapper) Admit(c node.HTTPRequest, trace string) (*node.Request, *node.FinalResponse) {
	t := &node.Request{Trace: trace}
	if id := c.Header.Get(headerRequestID); id != "" {
		t.Trace = truncate(id, 128)
	} else {
		c.Header.Add(headerRequestID, trace)
	}
	path, _, _ := strings.Cut(c.Target, "?")
	if why := pathAmbiguity(path); why != "" {
		return t, rejection(node.ReasonBadRequest, "%s", why)
	}
	customer := in.customersByKey[c.Header.Get(in.cfg.Clients.KeyHeader)]
	for _, f := range []struct {
		name   string
		joined bool
	}{{in.cfg.Clients.KeyHeader, customer == nil}, {headerIdempotencyKey, false}, {headerRequestID, false}, {headerAttemptCount, true},
		{in.cfg.Clients.ClientTimeoutHeader, true}} {
		if hasConflictingValues(c.Header, f.name, f.joined) {
			return t, rejection(node.ReasonBadRequest, "the field %s comes with values that differ", f.name)
		}
	}
	if customer == nil {
		return t, rejection(node.ReasonUnknownKey, "the field %s names no customer", in.cfg.Clients.KeyHeader)
	}
	t.Customer, t.Plan, t.FirstGateway, t.GatewaySpread = customer.Name, customer.Plan, customer.FirstGateway, customer.GatewaySpread
	var class *config.Class
	if m := in.routes.literal[c.Method]; m != nil {
		class = m.find(strings.TrimPrefix(path, "/"))
	}
	if class == nil {
		return t, rejection(node.ReasonNoRoute, "no class of requests has this method and path")
	}
	t.Class, t.Units = class.Name, class.Units
	if class.Idempotency == policy.IdempotentWithKey && c.Header.Get(headerIdempotencyKey) == "" {
		return t, rejection(node.ReasonBadRequest, "requests of class %s need the field %s", class.Name, headerIdempotencyKey)
	}
	t.ClientTimeout = class.Deadline
	if v := c.Header.Get(in.cfg.Clients.ClientTimeoutHeader); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return t, rejection(node.ReasonBadRequest, "the field %s is not a number of milliseconds", in.cfg.Clients.ClientTimeoutHeader)
		}
		t.ClientTimeout = min(t.ClientTimeout, time.Duration(ms)*time.Millisecond)
	}
	if v := c.Header.Get(headerAttemptCount); v != "" {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return t, rejection(node.ReasonBadRequest, "the field %s is not a number", headerAttemptCount)
		}
		t.ClientRetry = n > 1
	}
	c.Header = in.withoutGatewayHeaders(c.Header)
	t.HTTP = c
	return t, nil
}

// hasConflictingValues tells whether a field that must come once comes with values that differ:
// who stands in front may have gone by another one. Proxies that ask by ext_authz
// may have joined them with commas.
func hasConflictingValues(h http1.Header, name string, joined bool) bool {
	first, have := "", false
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		if have && f.Value != first {
			return true
		}
		first, have = f.Value, true
	}
	if one, rest, more := strings.Cut(first, ","); joined && more {
		for v := range strings.SplitSeq(rest, ",") {
			if strings.TrimSpace(v) != strings.TrimSpace(one) {
				return true
			}
		}
	}
	return false
}

// pathAmbiguity says why a path could be read differently by a server, or "".
func pathAmbiguity(path string) string {
	if path == "" || path[0] != '/' {
		return "the path does not start with /"
	}
	for s := range strings.SplitSeq(path[1:], "/") {
		if strings.Contains(s, "%") {
			low := strings.ToLower(s)
			if strings.Contains(low, "%2f") || strings.Contains(low, "%5c") || strings.Contains(low, "%00") {
				return "the path holds an encoded slash, backslash or NUL"
			}
			s = strings.ReplaceAll(low, "%2e", ".")
		}
		if s == "." || s == ".." {
			return "the path holds a dot segment"
		}
	}
	return ""
}

func truncate(s string, n int) string {
	if len(s) > n {
		return s[:n]
	}
	return s
}

// rejectionStatuses of reasons, for refusals; a failure is 502, or 504 where time ran out.
var rejectionStatuses = map[node.Reason]int{
	node.ReasonBadRequest: 400, node.ReasonUnknownKey: 401, node.ReasonAuthorizationDenied: 403, node.ReasonNoRoute: 404,
	node.ReasonTooLarge: 413, node.ReasonQuota: 429, node.ReasonInFlightLimit: 429, node.ReasonCeiling: 429,
}

// problemTitles are what a person reads.
var problemTitles = map[node.Reason]string{
	node.ReasonBadRequest: "The request is malformed.", node.ReasonTooLarge: "The request is too large.",
	node.ReasonUnknownKey: "The key is not known.", node.ReasonNoRoute: "Nothing is served here.",
	node.ReasonQuota: "The customer's quota is used up.", node.ReasonInFlightLimit: "The customer has too many requests open.",
	node.ReasonCeiling: "The customer's hard ceiling is reached.", node.ReasonLoadShed: "Requests of less worth are not taken at the moment.",
	node.ReasonNoServer: "No server could take the request in time.", node.ReasonNoTime: "Too little time was left.",
	node.ReasonQuotaUnknown: "The customer's quota could not be learned in time.",
	node.ReasonServerGone:   "The server went away.", node.ReasonServerError: "The server failed.",
	node.ReasonServerRejected: "The servers are full.", node.ReasonServerTimeout: "The server gave no answer in time.",
	node.ReasonAuthorizationDenied:      "The request is not authorised.",
	node.ReasonAuthorizationTimeout:     "The authorisation service gave no answer in time.",
	node.ReasonAuthorizationUnreachable: "The authorisation service can't be reached.",
	node.ReasonOverload:                 "The gateway is overloaded.", node.ReasonDraining: "The gateway is going out of service.",
	node.ReasonInternal: "The gateway failed.",
}

// problem is a body by RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason string `json:"reason"`
	Retry  bool   `json:"retry_is_harmless"`
}

// Render makes of an answer the response that a client gets. t may be nil where
// the call could not be read.
func (in *Mapper) Render(t *node.Request, a node.FinalResponse) *node.Response {
	if a.Response != nil {
		if a.Kind == node.Served {
			return a.Response
		}
		if a.Reason != node.ReasonNone {
			a.Response.Header.Set(headerReason, string(a.Reason))
		}
		return a.Response
	}
	p := problem{Type: "urn:yardcleat:reason:" + string(a.Reason), Title: problemTitles[a.Reason], Detail: a.Detail,
		Reason: string(a.Reason), Retry: a.Kind == node.Rejected, Status: 502}
	res := &node.Response{}
	switch {
	case a.Kind == node.Rejected:
		if p.Status = rejectionStatuses[a.Reason]; p.Status == 0 {
			p.Status = 503
		}
		if a.RetryAfter > 0 && (p.Status == 429 || p.Status == 503) {
			res.Header.Add("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
		}
		if plan := in.planOf(t); a.Reason == node.ReasonQuota && plan.Rate > 0 {
			window := int(math.Ceil(plan.Burst / plan.Rate))
			res.Header.Add("RateLimit-Policy", fmt.Sprintf("%q;q=%d;w=%d", plan.Name, int(plan.Burst), window))
			res.Header.Add("RateLimit", fmt.Sprintf("%q;r=0;t=%d", plan.Name, int(math.Ceil(a.RetryAfter.Seconds()))))
		}
	case a.Reason == node.ReasonServerTimeout || a.Reason == node.ReasonNoTime:
		p.Status = 504
	}
	res.Status = p.Status
	res.Header.Add("Content-Type", "application/problem+json")
	if t != nil {
		res.Header.Add(headerRequestID, t.Trace)
	}
	res.Header.Add(headerReason, string(a.Reason))
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // texts and numbers alone
	}
	res.Body = append(body, '\n')
	return res
}

func (in *Mapper) planOf(t *node.Request) policy.Plan {
	if t == nil {
		return policy.Plan{}
	}
	return in.plans[t.Plan]
}
