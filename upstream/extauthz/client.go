// Package extauthz asks an external authorisation service over gRPC (Envoy's
// ext_authz v3, envoy.service.auth.v3.Authorization/Check).
package extauthz

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
)

// Client asks an authorisation service by its addresses. It is a
// node.Authoriser.
type Client struct {
	connections []connection
	rules       RequestRules
}

// RequestRules say what of a request an authoriser is sent.
type RequestRules struct {
	MaxBodyBytes      int      // bytes of the body at most; 0: none of it. What is cut is marked as partial
	AllowedHeaders    []string // header fields in canonical form; empty: all
	DisallowedHeaders []string
}

type connection struct {
	conn    *grpc.ClientConn
	service authv3.AuthorizationClient
}

// CacheTTLMetadata is the name in dynamic_metadata under which an authoriser states,
// in milliseconds, how long its answer may stand in where it gives none.
const CacheTTLMetadata = "cache_ttl_ms"

// Dial makes a client for addresses. It connects when first used, and again
// within a second once an authoriser is back.
func Dial(n network.Network, addresses []string, rules RequestRules) (*Client, error) {
	c := &Client{rules: rules}
	for _, a := range addresses {
		t, err := dial(n, a)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.connections = append(c.connections, t)
	}
	return c, nil
}

func dial(n network.Network, address string) (connection, error) {
	cc, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return n.Dial(ctx, addr) }),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}))
	if err != nil {
		return connection{}, err
	}
	return connection{cc, authv3.NewAuthorizationClient(cc)}, nil
}

// Close ends the connections; Checks under way fail.
func (c *Client) Close() {
	for _, t := range c.connections {
		t.conn.Close()
	}
}

// Check asks for a try; see node.Authoriser. The budget goes on the wire as
// grpc-timeout.
func (c *Client) Check(num int, t *node.Request, budget time.Duration, done func(node.AuthorizationResult)) (cancel func()) {
	ctx, stop := context.WithTimeout(context.Background(), budget)
	req := c.request(t)
	go func() {
		defer stop()
		resp, err := c.connections[num].service.Check(ctx, req)
		if ctx.Err() == context.Canceled {
			return
		}
		done(result(resp, err))
	}()
	return stop
}

func (c *Client) request(t *node.Request) *authv3.CheckRequest {
	headers := make(map[string]string, len(t.Call.Header))
	for _, f := range t.Call.Header {
		if len(c.rules.AllowedHeaders) > 0 && !slices.Contains(c.rules.AllowedHeaders, f.Name) || slices.Contains(c.rules.DisallowedHeaders, f.Name) {
			continue
		}
		name := strings.ToLower(f.Name)
		value := clean(f.Value)
		if old, twice := headers[name]; twice {
			value = old + "," + value
		}
		headers[name] = value
	}
	// What stands where a body was cut is Envoy's word for it.
	body := t.Call.Body[:min(len(t.Call.Body), c.rules.MaxBodyBytes)]
	if c.rules.MaxBodyBytes > 0 && len(t.Call.Body) > 0 {
		headers["x-envoy-auth-partial-body"] = strconv.FormatBool(len(body) < len(t.Call.Body))
	}
	http := &authv3.AttributeContext_HttpRequest{Id: clean(t.Trace), Method: t.Call.Method, Path: t.Call.Target, Host: t.Call.Host,
		Scheme: "http", Protocol: "HTTP/1.1", Headers: headers, Size: int64(len(t.Call.Body))}
	if utf8.Valid(body) {
		http.Body = string(body)
	} else {
		http.RawBody = body
	}
	return &authv3.CheckRequest{Attributes: &authv3.AttributeContext{
		Source:      &authv3.AttributeContext_Peer{Principal: t.Customer, Address: address(t.ClientAddress)},
		Destination: &authv3.AttributeContext_Peer{Address: address(t.LocalAddress)},
		Request: &authv3.AttributeContext_Request{
			Time: timestamppb.Now(),
			Http: http,
		},
		ContextExtensions: map[string]string{"class": t.Class, "customer": t.Customer, "plan": t.Plan},
	}}
}

// clean makes a text fit for a message, which takes UTF-8 alone: a client's field
// must not make the call fail, and the authoriser look as if it had. Envoy puts
// the same sign in its place.
func clean(s string) string { return strings.ToValidUTF8(s, "!") }

// address makes the message of host:port; nil where it is not one.
func address(s string) *corev3.Address {
	host, port, err := net.SplitHostPort(s)
	n, err2 := strconv.ParseUint(port, 10, 16)
	if err != nil || err2 != nil {
		return nil
	}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}
}

func result(resp *authv3.CheckResponse, err error) node.AuthorizationResult {
	if err != nil {
		c := node.AuthorizationResult{Verdict: authz.Unreachable, Detail: "authoriser: " + err.Error()}
		if status.Code(err) == codes.DeadlineExceeded {
			c.Verdict = authz.TimedOut
		}
		return c
	}
	if resp.GetStatus().GetCode() == int32(codes.OK) {
		ok := resp.GetOkResponse()
		c := node.AuthorizationResult{Verdict: authz.Allowed, CacheTTL: life(resp)}
		for _, h := range ok.GetHeaders() {
			put(h, &c.SetHeaders, &c.AppendHeaders)
		}
		for _, q := range ok.GetQueryParametersToSet() {
			c.SetQuery = append(c.SetQuery, http1.Field{Name: q.GetKey(), Value: q.GetValue()})
		}
		c.RemoveQuery = ok.GetQueryParametersToRemove()
		for _, h := range ok.GetResponseHeadersToAdd() {
			put(h, &c.ResponseHeaders, &c.ResponseHeaders)
		}
		for _, name := range ok.GetHeadersToRemove() {
			if f := (http1.Field{Name: name}); f.Settable() {
				c.RemoveHeaders = append(c.RemoveHeaders, name)
			}
		}
		return c
	}
	denied := resp.GetDeniedResponse()
	res := &node.Response{Status: int(denied.GetStatus().GetCode()), Body: []byte(denied.GetBody())}
	if res.Status < 300 || res.Status > 599 {
		res.Status = 403
	}
	for _, h := range denied.GetHeaders() {
		put(h, &res.Header, &res.Header)
	}
	return node.AuthorizationResult{Verdict: authz.Denied, Denial: res, CacheTTL: life(resp)}
}

func life(resp *authv3.CheckResponse) time.Duration {
	v := resp.GetDynamicMetadata().GetFields()[CacheTTLMetadata].GetNumberValue()
	return time.Duration(min(max(v, 0), 24*3600*1000)) * time.Millisecond
}

// put adds an authoriser's field to those that replace or to those that add.
// One that may not be set is dropped. By the specification of ok_response a
// field sets unless its append is true; the zero append_action can't be told
// from one left out, so it sets, too.
func put(h *corev3.HeaderValueOption, set, add *http1.Header) {
	f := http1.Field{Name: h.GetHeader().GetKey(), Value: h.GetHeader().GetValue()}
	if f.Value == "" {
		f.Value = string(h.GetHeader().GetRawValue())
	}
	switch {
	case !f.Settable():
	case h.GetAppend().GetValue():
		add.Add(f.Name, f.Value)
	default:
		set.Set(f.Name, f.Value)
	}
}
