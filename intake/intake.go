// Package intake maps HTTP requests to requests of the node, and final responses to HTTP
// responses. All frontends use it, so the same request gets the same decision, status, header
// fields and reason over any protocol. It has no I/O.
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

// Mapper maps requests and responses by the routes, keys and plans of a configuration. It is not
// changed after New, so any number of goroutines may use it.
type Mapper struct {
	cfg            *config.Config
	routes         *routeNode // the first level is the method
	customersByKey map[string]*config.Customer
	plans          map[string]policy.Plan
}

// routeNode is a node of the routing tree. Each level below the method is one path segment.
type routeNode struct {
	literal  map[string]*routeNode
	wildcard *routeNode    // any one segment: {name}
	tail     *config.Class // all segments that follow: {name...}
	class    *config.Class // class of the path that ends at this node
}

// New returns the Mapper of a valid configuration.
func New(cfg *config.Config) *Mapper {
	m := &Mapper{cfg: cfg, routes: &routeNode{}, customersByKey: map[string]*config.Customer{}, plans: map[string]policy.Plan{}}
	for i := range cfg.Classes {
		for _, route := range cfg.Classes[i].Routes {
			m.routes.child(route.Method).add(strings.Split(route.Path, "/")[1:], &cfg.Classes[i])
		}
	}
	for i := range cfg.Customers {
		for _, key := range cfg.Customers[i].Keys {
			m.customersByKey[key] = &cfg.Customers[i]
		}
	}
	for _, plan := range cfg.Plans {
		m.plans[plan.Name] = plan
	}
	return m
}

func (n *routeNode) child(name string) *routeNode {
	if n.literal == nil {
		n.literal = map[string]*routeNode{}
	}
	if n.literal[name] == nil {
		n.literal[name] = &routeNode{}
	}
	return n.literal[name]
}

func (n *routeNode) add(path []string, class *config.Class) {
	switch {
	case len(path) == 0:
		n.class = class
	case strings.HasSuffix(path[0], "...}"):
		n.tail = class
	case strings.HasPrefix(path[0], "{"):
		if n.wildcard == nil {
			n.wildcard = &routeNode{}
		}
		n.wildcard.add(path[1:], class)
	default:
		n.child(path[0]).add(path[1:], class)
	}
}

// find returns the class of a path, or nil. A literal segment takes precedence over {name}, and
// {name} over {name...}.
func (n *routeNode) find(path string) *config.Class {
	first, rest, more := strings.Cut(path, "/")
	for _, next := range []*routeNode{n.literal[first], n.wildcard} {
		if next == nil || next == n.wildcard && first == "" {
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
	return n.tail
}

const (
	headerAttemptCount   = "X-Envoy-Attempt-Count"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerReason         = "X-Yardcleat-Reason"
)

// withoutGatewayHeaders removes the header fields that are meant for the gateway and are not
// forwarded to servers.
func (m *Mapper) withoutGatewayHeaders(h http1.Header) http1.Header {
	h.Del(m.cfg.Clients.KeyHeader)
	h.Del(headerAttemptCount)
	return h
}

// KeyHeader returns the name of the header field that identifies the customer.
func (m *Mapper) KeyHeader() string { return m.cfg.Clients.KeyHeader }

func rejection(reason node.Reason, detail string, args ...any) *node.FinalResponse {
	return &node.FinalResponse{Kind: node.Rejected, Reason: reason, Detail: fmt.Sprintf(detail, args...)}
}

// Admit maps an HTTP request whose header holds only end-to-end fields to a request of the node. If
// the final response is not nil, the HTTP request is answered with it and does not reach the node.
// trace is the request's trace ID if the client sent none.
func (m *Mapper) Admit(call node.HTTPRequest, trace string) (*node.Request, *node.FinalResponse) {
	request := &node.Request{Trace: trace}
	if id := call.Header.Get(headerRequestID); id != "" {
		request.Trace = truncate(id, 128)
	} else {
		call.Header.Add(headerRequestID, trace)
	}
	path, _, _ := strings.Cut(call.Target, "?")
	if ambiguity := pathAmbiguity(path); ambiguity != "" {
		return request, rejection(node.ReasonBadRequest, "%s", ambiguity)
	}
	customer := m.customersByKey[call.Header.Get(m.cfg.Clients.KeyHeader)]
	for _, f := range []struct {
		name        string
		mayBeJoined bool
	}{{m.cfg.Clients.KeyHeader, customer == nil}, {headerIdempotencyKey, false}, {headerRequestID, false}, {headerAttemptCount, true},
		{m.cfg.Clients.ClientTimeoutHeader, true}} {
		if hasConflictingValues(call.Header, f.name, f.mayBeJoined) {
			return request, rejection(node.ReasonBadRequest, "the field %s comes with values that differ", f.name)
		}
	}
	if customer == nil {
		return request, rejection(node.ReasonUnknownKey, "the field %s names no customer", m.cfg.Clients.KeyHeader)
	}
	request.Customer, request.Plan, request.FirstGateway, request.GatewaySpread = customer.Name, customer.Plan, customer.FirstGateway, customer.GatewaySpread
	var class *config.Class
	if routes := m.routes.literal[call.Method]; routes != nil {
		class = routes.find(strings.TrimPrefix(path, "/"))
	}
	if class == nil {
		return request, rejection(node.ReasonNoRoute, "no class of requests has this method and path")
	}
	request.Class, request.Units = class.Name, class.Units
	if class.Idempotency == policy.IdempotentWithKey && call.Header.Get(headerIdempotencyKey) == "" {
		return request, rejection(node.ReasonBadRequest, "requests of class %s need the field %s", class.Name, headerIdempotencyKey)
	}
	request.ClientTimeout = class.Deadline
	if v := call.Header.Get(m.cfg.Clients.ClientTimeoutHeader); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return request, rejection(node.ReasonBadRequest, "the field %s is not a number of milliseconds", m.cfg.Clients.ClientTimeoutHeader)
		}
		request.ClientTimeout = min(request.ClientTimeout, time.Duration(ms)*time.Millisecond)
	}
	if v := call.Header.Get(headerAttemptCount); v != "" {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return request, rejection(node.ReasonBadRequest, "the field %s is not a number", headerAttemptCount)
		}
		request.ClientRetry = n > 1
	}
	call.Header = m.withoutGatewayHeaders(call.Header)
	request.HTTP = call
	return request, nil
}

// hasConflictingValues reports whether a header field that may occur once occurs with different
// values: a proxy in front of the gateway may have used another one of them. If mayBeJoined is set,
// values joined with commas are compared too, because proxies join them before a Check by ext_authz.
func hasConflictingValues(h http1.Header, name string, mayBeJoined bool) bool {
	first, found := "", false
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		if found && f.Value != first {
			return true
		}
		first, found = f.Value, true
	}
	if one, rest, more := strings.Cut(first, ","); mayBeJoined && more {
		for v := range strings.SplitSeq(rest, ",") {
			if strings.TrimSpace(v) != strings.TrimSpace(one) {
				return true
			}
		}
	}
	return false
}

// pathAmbiguity returns why a server could interpret a path differently, or "" if it could not.
func pathAmbiguity(path string) string {
	if path == "" || path[0] != '/' {
		return "the path does not start with /"
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if strings.Contains(segment, "%") {
			lower := strings.ToLower(segment)
			if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%00") {
				return "the path holds an encoded slash, backslash or NUL"
			}
			segment = strings.ReplaceAll(lower, "%2e", ".")
		}
		if segment == "." || segment == ".." {
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

// rejectionStatuses are the HTTP statuses of rejections by reason; 503 for the others. A failure
// has 502, or 504 after a timeout.
var rejectionStatuses = map[node.Reason]int{
	node.ReasonBadRequest: 400, node.ReasonUnknownKey: 401, node.ReasonAuthorizationDenied: 403, node.ReasonNoRoute: 404,
	node.ReasonTooLarge: 413, node.ReasonQuota: 429, node.ReasonInFlightLimit: 429, node.ReasonCeiling: 429,
}

// problemTitles are the human-readable summaries of reasons.
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

// problem is a problem details object (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason string `json:"reason"`
	Retry  bool   `json:"retry_is_harmless"`
}

// Render maps a final response to the HTTP response that the client gets. request is nil if it
// could not be read.
func (m *Mapper) Render(request *node.Request, final node.FinalResponse) *node.Response {
	if final.Response != nil {
		if final.Kind == node.Served {
			return final.Response
		}
		if final.Reason != node.ReasonNone {
			final.Response.Header.Set(headerReason, string(final.Reason))
		}
		return final.Response
	}
	p := problem{Type: "urn:yardcleat:reason:" + string(final.Reason), Title: problemTitles[final.Reason], Detail: final.Detail,
		Reason: string(final.Reason), Retry: final.Kind == node.Rejected, Status: 502}
	response := &node.Response{}
	switch {
	case final.Kind == node.Rejected:
		if p.Status = rejectionStatuses[final.Reason]; p.Status == 0 {
			p.Status = 503
		}
		if final.RetryAfter > 0 && (p.Status == 429 || p.Status == 503) {
			response.Header.Add("Retry-After", strconv.Itoa(int(math.Ceil(final.RetryAfter.Seconds()))))
		}
		if plan := m.planOf(request); final.Reason == node.ReasonQuota && plan.Rate > 0 {
			window := int(math.Ceil(plan.Burst / plan.Rate))
			response.Header.Add("RateLimit-Policy", fmt.Sprintf("%q;q=%d;w=%d", plan.Name, int(plan.Burst), window))
			response.Header.Add("RateLimit", fmt.Sprintf("%q;r=0;t=%d", plan.Name, int(math.Ceil(final.RetryAfter.Seconds()))))
		}
	case final.Reason == node.ReasonServerTimeout || final.Reason == node.ReasonNoTime:
		p.Status = 504
	}
	response.Status = p.Status
	response.Header.Add("Content-Type", "application/problem+json")
	if request != nil {
		response.Header.Add(headerRequestID, request.Trace)
	}
	response.Header.Add(headerReason, string(final.Reason))
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // unreachable: a problem holds only strings, integers and booleans
	}
	response.Body = append(body, '\n')
	return response
}

func (m *Mapper) planOf(request *node.Request) policy.Plan {
	if request == nil {
		return policy.Plan{}
	}
	return m.plans[request.Plan]
}
