package extauthz

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/protobuf/types/known/timestamppb"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
)

// partialBodyHeader states whether the body was truncated. Envoy sets the same header.
const partialBodyHeader = "x-envoy-auth-partial-body"

// RequestRules select the parts of a request that are sent to the service. They must not be changed
// after [Dial].
type RequestRules struct {
	// MaxBodyBytes is the maximum number of bytes of the body that are sent. A truncated body is
	// marked as partial. Zero: no body is sent.
	MaxBodyBytes int
	// AllowedHeaders are the names of the headers that are sent, in canonical form. Empty: all.
	AllowedHeaders []string
	// DisallowedHeaders are the names of headers that are never sent, in canonical form, not even
	// if they are allowed.
	DisallowedHeaders []string
}

// checkRequest returns the message for a request.
func (rules *RequestRules) checkRequest(r *node.Request) *authv3.CheckRequest {
	return &authv3.CheckRequest{Attributes: &authv3.AttributeContext{
		Source:      &authv3.AttributeContext_Peer{Principal: r.Customer, Address: socketAddress(r.ClientAddress)},
		Destination: &authv3.AttributeContext_Peer{Address: socketAddress(r.LocalAddress)},
		Request: &authv3.AttributeContext_Request{
			Time: timestamppb.Now(),
			Http: rules.httpRequest(r),
		},
		ContextExtensions: map[string]string{"class": r.Class, "customer": r.Customer, "plan": r.Plan},
	}}
}

func (rules *RequestRules) httpRequest(r *node.Request) *authv3.AttributeContext_HttpRequest {
	headers := rules.headers(r.HTTP.Header)
	body := r.HTTP.Body[:min(len(r.HTTP.Body), rules.MaxBodyBytes)]
	if rules.MaxBodyBytes > 0 && len(r.HTTP.Body) > 0 {
		headers[partialBodyHeader] = strconv.FormatBool(len(body) < len(r.HTTP.Body))
	}
	message := &authv3.AttributeContext_HttpRequest{
		Id:       validText(r.Trace),
		Method:   r.HTTP.Method,
		Path:     r.HTTP.Target,
		Host:     r.HTTP.Host,
		Scheme:   "http",
		Protocol: "HTTP/1.1",
		Headers:  headers,
		Size:     int64(len(r.HTTP.Body)),
	}
	if utf8.Valid(body) {
		message.Body = string(body)
	} else {
		message.RawBody = body
	}
	return message
}

// headers returns the headers that are sent, by lower-case name. Repeated ones are joined by commas.
func (rules *RequestRules) headers(all http1.Header) map[string]string {
	headers := make(map[string]string, len(all))
	for _, field := range all {
		if !rules.sends(field.Name) {
			continue
		}
		name := strings.ToLower(field.Name)
		value := validText(field.Value)
		if earlier, repeated := headers[name]; repeated {
			value = earlier + "," + value
		}
		headers[name] = value
	}
	return headers
}

func (rules *RequestRules) sends(header string) bool {
	if len(rules.AllowedHeaders) > 0 && !slices.Contains(rules.AllowedHeaders, header) {
		return false
	}
	return !slices.Contains(rules.DisallowedHeaders, header)
}

// validText replaces invalid UTF-8 by the same character as Envoy. Otherwise the message could not
// be sent, and an invalid header of a client would look like a failure of the service.
func validText(s string) string { return strings.ToValidUTF8(s, "!") }

// socketAddress converts an address host:port. It returns nil if the address is not of this form.
func socketAddress(hostPort string) *corev3.Address {
	host, portText, err := net.SplitHostPort(hostPort)
	if err != nil {
		return nil
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil
	}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address:       host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
	}}}
}
