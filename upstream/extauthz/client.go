// Package extauthz is a client of an external authorization service over gRPC: Envoy's ext_authz
// v3, method envoy.service.auth.v3.Authorization/Check. It sends authorization checks and converts
// their results. Package authz decides when a check is sent, to which address and with which timeout.
package extauthz

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
)

// reconnection limits the backoff, so that the client reconnects within a second after the service
// becomes reachable again.
var reconnection = grpc.ConnectParams{
	MinConnectTimeout: time.Second,
	Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
}

// Client sends checks to the addresses of one service. It implements [node.Authorizer] and is safe
// for concurrent use.
type Client struct {
	connections []connection
	rules       RequestRules
}

var _ node.Authorizer = (*Client)(nil)

// connection belongs to one address.
type connection struct {
	conn    *grpc.ClientConn
	service authv3.AuthorizationClient
}

// AddressError reports an address that gRPC does not accept.
type AddressError struct {
	Address string
	Err     error // from gRPC
}

func (e *AddressError) Error() string { return fmt.Sprintf("address %s: %v", e.Address, e.Err) }

// Unwrap returns the error of gRPC.
func (e *AddressError) Unwrap() error { return e.Err }

// Dial returns a client of the service at a list of addresses. It does not block: connections are
// made when they are first used, and again when they break. If gRPC does not accept an address, the
// error is an [*AddressError]. The caller must close the client.
func Dial(n network.Network, addresses []string, rules RequestRules) (*Client, error) {
	c := &Client{rules: rules}
	for _, address := range addresses {
		conn, err := dial(n, address)
		if err != nil {
			return nil, errors.Join(&AddressError{Address: address, Err: err}, c.Close())
		}
		c.connections = append(c.connections, connection{conn, authv3.NewAuthorizationClient(conn)})
	}
	return c, nil
}

func dial(n network.Network, address string) (*grpc.ClientConn, error) {
	dialer := func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, address) }
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(reconnection))
}

// Close closes the connections. It does not wait for checks in flight: each of them fails soon
// after and reports that.
func (c *Client) Close() error {
	var errs []error
	for _, conn := range c.connections {
		errs = append(errs, conn.conn.Close())
	}
	return errors.Join(errs...)
}

// Check sends one check to an address, given by its index in the list of [Dial], and returns
// immediately. The timeout is sent to the service as grpc-timeout. A new goroutine calls done once
// with the result; it ends when the service responds, the timeout is over, or cancel is called.
// cancel does not block and may be called at any time. After it done is not called, unless the call
// has already begun.
func (c *Client) Check(address int, r *node.Request, timeout time.Duration, done func(node.AuthorizationResult)) (cancel func()) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	request := c.rules.checkRequest(r)
	go func() {
		defer cancel()
		response, err := c.connections[address].service.Check(ctx, request)
		if errors.Is(ctx.Err(), context.Canceled) {
			return
		}
		done(authorizationResult(response, err))
	}()
	return cancel
}
