package protocol

import "yardcleat.example/yardcleat/node"

// The platform's names on the wire. Only this file has them.
const (
	HeaderRequestID      = "X-Correlation-Id"
	headerClass          = "X-Service-Class"
	headerPlan           = "X-Plan"
	headerQuota          = "X-Quota"         // units=N,spread=N,first=N
	headerRetry          = "X-Repeat"        // 1 for a request that the client sends again
	HeaderClientTimeout  = "X-Time-Left-Ms"  // ms until the client, or this node, gives up
	headerIdempotencyKey = "Idempotency-Key" // of classes that are idempotent with a key
	headerCookie         = "Cookie"
	customerCookie       = "key" // the cookie that names the customer

	HeaderRejection = "X-Unprocessed" // of a server's response: the request did not run
	ReadinessPath   = "/up"

	quotaUnits  = "units"
	quotaSpread = "spread"
	quotaFirst  = "first"
)

// field is one of the header fields that say what a request is.
type field int

const (
	fieldRequestID field = iota
	fieldClass
	fieldPlan
	fieldQuota
	fieldRetry
	fieldClientTimeout
	fieldIdempotencyKey
	fieldCookie
	fieldCount
)

// singleHeaders has the name of each field. Each may come once: two readers could read more
// than one differently.
var singleHeaders = [fieldCount]string{
	fieldRequestID:      HeaderRequestID,
	fieldClass:          headerClass,
	fieldPlan:           headerPlan,
	fieldQuota:          headerQuota,
	fieldRetry:          headerRetry,
	fieldClientTimeout:  HeaderClientTimeout,
	fieldIdempotencyKey: headerIdempotencyKey,
	fieldCookie:         headerCookie,
}

func fieldOf(header string) (f field, ok bool) {
	for f := range fieldCount {
		if singleHeaders[f] == header {
			return f, true
		}
	}
	return 0, false
}

// forwarded tells whether a field is sent on to servers; the others are for this node only.
func (f field) forwarded() bool { return f == fieldRequestID || f == fieldIdempotencyKey }

// fieldValues has the value of each field; "" where it is missing.
type fieldValues [fieldCount]string

// extractFields returns the values of a call's fields and takes those out of its header that
// are not forwarded. The error is a RequestError.
func extractFields(c *node.HTTPRequest) (values fieldValues, err error) {
	forwarded := c.Header[:0]
	for _, header := range c.Header {
		f, ok := fieldOf(header.Name)
		if !ok {
			forwarded = append(forwarded, header)
			continue
		}
		if values[f] != "" {
			return values, RequestError("the field " + header.Name + " comes twice")
		}
		values[f] = header.Value
		if f.forwarded() {
			forwarded = append(forwarded, header)
		}
	}
	c.Header = forwarded
	return values, nil
}
