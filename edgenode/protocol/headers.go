package protocol

import "yardcleat.example/yardcleat/node"

// Names of header fields, parameters, the cookie and the readiness path, as the platform defines
// them. Only this file has them.
const (
	HeaderRequestID      = "X-Correlation-Id"
	headerClass          = "X-Service-Class"
	headerPlan           = "X-Plan"
	headerQuota          = "X-Quota"         // units=N,spread=N,first=N
	headerRetry          = "X-Repeat"        // 1 for a client retry
	HeaderClientTimeout  = "X-Time-Left-Ms"  // ms until the client's timeout, or in a request to a server until the attempt's
	headerIdempotencyKey = "Idempotency-Key" // required for classes that are idempotent with a key
	headerCookie         = "Cookie"
	customerCookie       = "key" // the cookie that names the customer

	HeaderRejection = "X-Unprocessed" // in a server's response: the request was not processed
	ReadinessPath   = "/up"
	MetricsPath     = "/metrics" // not the platform's: for operators

	quotaUnits  = "units"
	quotaSpread = "spread"
	quotaFirst  = "first"
)

// field is a header field that the protocol defines for requests.
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

// singleHeaders has the header name of each field. A header may occur only once: different
// parsers could resolve duplicates differently.
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

// forwarded reports whether a field is forwarded to servers. The others are for this node only.
func (f field) forwarded() bool { return f == fieldRequestID || f == fieldIdempotencyKey }

// fieldValues has the value of each field, "" for a missing one.
type fieldValues [fieldCount]string

// extractFields returns the values of the protocol's fields in an HTTP request, and removes the
// fields that are not forwarded from its header. The error is a RequestError.
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
