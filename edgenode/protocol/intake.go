// Package protocol turns the platform's requests into Tries and Answers into its
// responses. It has no I/O; what is not the protocol is refused here and leaves
// nothing behind in the module.
package protocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// The protocol's fields.
const (
	HeaderRequestID      = "X-Correlation-Id"
	headerClass          = "X-Service-Class"
	headerPlan           = "X-Plan"
	headerQuota          = "X-Quota"
	headerRetry          = "X-Repeat"
	HeaderClientTimeout  = "X-Time-Left-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerCookie         = "Cookie"
	customerCookie       = "key"

	HeaderRejection = "X-Unprocessed"
	ReadinessPath   = "/up"
)

// singleHeaders are the fields that say what a request is: more than one of a name could be
// read differently by two readers.
var singleHeaders = [...]string{HeaderRequestID, headerClass, headerPlan, headerQuota, headerRetry, HeaderClientTimeout, headerIdempotencyKey, headerCookie}

const (
	maxIDBytes    = 64      // bytes of an id, or of a key
	customerLimit = 1 << 33 // above the highest number of a customer
)

// Mapper knows the classes and plans of the settings.
type Mapper struct {
	set     policy.Settings
	classes map[string]policy.Class
	plans   map[string]bool
	ready   func() bool
}

// New returns an Intake; ready says whether the node can decide.
func New(set policy.Settings, ready func() bool) *Mapper {
	in := &Mapper{set: set, classes: map[string]policy.Class{}, plans: map[string]bool{}, ready: ready}
	for _, c := range set.Classes {
		in.classes[c.Name] = c
	}
	for _, p := range set.Plans {
		in.plans[p.Name] = true
	}
	return in
}

// Admit makes a Try of a call whose header holds end-to-end fields, or the answer
// that it gets at once.
func (in *Mapper) Admit(c node.Call, _ string) (*node.Request, *node.FinalResponse) {
	t := &node.Request{}
	if c.Target == ReadinessPath && c.Method == "GET" {
		if !in.ready() {
			return t, &node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonDraining, Detail: "not ready"}
		}
		return t, &node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200}}
	}
	if why := in.read(t, &c); why != "" {
		return t, &node.FinalResponse{Kind: node.Failed, Reason: node.ReasonBadRequest, Detail: why}
	}
	t.Call = c
	return t, nil
}

// read fills a Try, or says what is wrong with the call.
func (in *Mapper) read(t *node.Request, c *node.Call) (wrong string) {
	var v [len(singleHeaders)]string
	kept := c.Header[:0]
	for _, f := range c.Header {
		i := 0
		for i < len(singleHeaders) && singleHeaders[i] != f.Name {
			i++
		}
		if i < len(singleHeaders) {
			if v[i] != "" {
				return "the field " + f.Name + " comes twice"
			}
			if v[i] = f.Value; f.Name != HeaderRequestID && f.Name != headerIdempotencyKey {
				continue // what is said to this node alone
			}
		}
		kept = append(kept, f)
	}
	c.Header = kept
	id, class, plan, quota, repeat, patience, key, cookies := v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7]
	if wrong := checkToken(HeaderRequestID, id); wrong != "" {
		return wrong
	}
	t.Trace = id
	cl, ok := in.classes[class]
	if !ok {
		return "the field " + headerClass + " names no class"
	}
	if t.Class = class; !in.plans[plan] {
		return "the field " + headerPlan + " names no plan"
	}
	t.Plan = plan
	if cl.Idempotency == policy.Idempotent {
		if c.Method != "GET" || len(c.Body) > 0 {
			return "requests of class " + class + " are GET without a body"
		}
	} else if c.Method != "POST" {
		return "requests of class " + class + " are POST"
	}
	if cl.Idempotency == policy.IdempotentWithKey {
		if wrong := checkToken(headerIdempotencyKey, key); wrong != "" {
			return wrong
		}
	}
	if t.Customer = customer(cookies); t.Customer == "" {
		return "the cookie " + customerCookie + " names no customer"
	}
	ms, err := strconv.ParseUint(patience, 10, 31)
	if err != nil || ms == 0 {
		return "the field " + HeaderClientTimeout + " is no number of milliseconds above 0"
	}
	t.ClientTimeout = min(cl.Deadline, time.Duration(ms)*time.Millisecond)
	if repeat != "" && repeat != "1" {
		return "the field " + headerRetry + " is not 1"
	}
	t.ClientRetry = repeat == "1"
	return in.quota(t, quota)
}

// checkToken checks a value that names something.
func checkToken(field, s string) string {
	if s == "" || len(s) > maxIDBytes {
		return fmt.Sprintf("the field %s has not 1 to %d bytes", field, maxIDBytes)
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return "the field " + field + " holds a character that it may not"
		}
	}
	return ""
}

// customer is the one that the cookies name, by 16 hex digits; "" where none is.
func customer(cookies string) (name string) {
	for c := range strings.SplitSeq(cookies, ";") {
		v, ok := strings.CutPrefix(strings.TrimSpace(c), customerCookie+"=")
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(v, 16, 64)
		if err != nil || len(v) != 16 || n >= customerLimit || name != "" {
			return ""
		}
		name = strings.ToLower(v)
	}
	return name
}

// quota reads units and set: each key once, all three, in any order.
func (in *Mapper) quota(t *node.Request, s string) (wrong string) {
	wrong = "the field " + headerQuota + " has not units, spread and first within range"
	have := 0
	for part := range strings.SplitSeq(s, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return wrong
		}
		whole, bit := n == math.Trunc(n), 0
		switch k {
		case "units":
			if bit = 1; !(n > 0) || in.set.MaxRequestUnits > 0 && n > in.set.MaxRequestUnits {
				return wrong
			}
			t.Units = n
		case "spread":
			if bit = 2; !whole || n < 1 || n > float64(in.set.Gateways) {
				return wrong
			}
			t.GatewaySpread = int(n)
		case "first":
			if bit = 4; !whole || n < 0 || n >= float64(in.set.Gateways) {
				return wrong
			}
			t.FirstGateway = int(n)
		default:
			return wrong
		}
		if have&bit != 0 {
			return wrong
		}
		have |= bit
	}
	if have != 7 {
		return wrong
	}
	return ""
}

// failureStatuses of failures that say more than 502.
var failureStatuses = map[node.Reason]int{node.ReasonBadRequest: 400, node.ReasonTooLarge: 413, node.ReasonServerTimeout: 504, node.ReasonNoTime: 504}

// Render makes of an answer the response that a client gets. t may be nil.
func (in *Mapper) Render(_ *node.Request, a node.FinalResponse) *node.Response {
	if a.Kind == node.Served && a.Response != nil {
		return a.Response
	}
	res := &node.Response{Status: failureStatuses[a.Reason], Header: make(http1.Header, 0, 2)}
	res.Header = append(res.Header, http1.Field{Name: "Content-Type", Value: "text/plain"})
	switch {
	case a.Kind == node.Rejected && a.Reason != node.ReasonBadRequest && a.Reason != node.ReasonTooLarge:
		res.Status = 503
		if a.Reason == node.ReasonQuota || a.Reason == node.ReasonInFlightLimit || a.Reason == node.ReasonCeiling {
			res.Status = 429
		}
		if after := min(a.RetryAfter, in.set.MaxRetryAfter); after > 0 {
			res.Header = append(res.Header, http1.Field{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 3, 64)})
		}
	case res.Status == 0:
		res.Status = 502
	}
	res.Body = append(res.Body, a.Reason...)
	if a.Detail != "" {
		res.Body = append(append(res.Body, ": "...), a.Detail...)
	}
	res.Body = append(res.Body, '\n')
	return res
}
