package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// RequestError is the error for a request that violates the protocol. It is the detail of a
// response with status 400.
type RequestError string

func (e RequestError) Error() string { return string(e) }

const (
	maxIDBytes     = 64      // of a request ID or an idempotency key
	customerLimit  = 1 << 33 // exclusive upper bound of customer numbers
	customerDigits = 16      // hexadecimal digits of a customer number
)

// readRequest fills a request from an HTTP request. The error is a RequestError.
func (m *Mapper) readRequest(r *node.Request, c *node.HTTPRequest) error {
	values, err := extractFields(c)
	if err != nil {
		return err
	}
	if err := checkToken(HeaderRequestID, values[fieldRequestID]); err != nil {
		return err
	}
	r.Trace = values[fieldRequestID]
	class, err := m.readClass(r, &values)
	if err != nil {
		return err
	}
	if err := checkMethod(class, c, values[fieldIdempotencyKey]); err != nil {
		return err
	}
	if r.Customer = customerFromCookies(values[fieldCookie]); r.Customer == "" {
		return RequestError("the cookie " + customerCookie + " names no customer")
	}
	if r.ClientTimeout, err = clientTimeout(class, values[fieldClientTimeout]); err != nil {
		return err
	}
	if r.ClientRetry, err = isRetry(values[fieldRetry]); err != nil {
		return err
	}
	quota, err := m.parseQuota(values[fieldQuota])
	if err != nil {
		return err
	}
	r.Units = quota.units
	r.GatewaySpread = quota.spread
	r.FirstGateway = quota.first
	return nil
}

func (m *Mapper) readClass(r *node.Request, values *fieldValues) (policy.Class, error) {
	class, ok := m.classes[values[fieldClass]]
	if !ok {
		return class, RequestError("the field " + headerClass + " names no class")
	}
	r.Class = class.Name
	if !m.plans[values[fieldPlan]] {
		return class, RequestError("the field " + headerPlan + " names no plan")
	}
	r.Plan = values[fieldPlan]
	return class, nil
}

// checkMethod checks the method, body and idempotency key that a class requires.
func checkMethod(class policy.Class, c *node.HTTPRequest, idempotencyKey string) error {
	if class.Idempotency == policy.Idempotent {
		if c.Method != "GET" || len(c.Body) > 0 {
			return RequestError("requests of class " + class.Name + " are GET without a body")
		}
		return nil
	}
	if c.Method != "POST" {
		return RequestError("requests of class " + class.Name + " are POST")
	}
	if class.Idempotency == policy.IdempotentWithKey {
		return checkToken(headerIdempotencyKey, idempotencyKey)
	}
	return nil
}

// checkToken checks the length and the characters of an identifier in a header field.
func checkToken(header, value string) error {
	if value == "" || len(value) > maxIDBytes {
		return RequestError(fmt.Sprintf("the field %s has not 1 to %d bytes", header, maxIDBytes))
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] >= 0x7f {
			return RequestError("the field " + header + " holds a character that it may not")
		}
	}
	return nil
}

// customerFromCookies returns the customer that the cookies name, in lower case. It returns "" if
// they name none or more than one, or if a name is invalid.
func customerFromCookies(cookies string) (name string) {
	for cookie := range strings.SplitSeq(cookies, ";") {
		value, ok := strings.CutPrefix(strings.TrimSpace(cookie), customerCookie+"=")
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(value, 16, 64)
		invalid := err != nil || len(value) != customerDigits || n >= customerLimit
		if invalid || name != "" {
			return ""
		}
		name = strings.ToLower(value)
	}
	return name
}

// clientTimeout returns the client's timeout, or the class's deadline if that is shorter.
func clientTimeout(class policy.Class, text string) (time.Duration, error) {
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, RequestError("the field " + HeaderClientTimeout + " is no number of milliseconds above 0")
	}
	return min(class.Deadline, time.Duration(ms)*time.Millisecond), nil
}

func isRetry(text string) (bool, error) {
	switch text {
	case "":
		return false, nil
	case "1":
		return true, nil
	}
	return false, RequestError("the field " + headerRetry + " is not 1")
}
