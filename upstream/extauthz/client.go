// Package extauthz is a client of an external authorization service over gRPC: Envoy's ext_authz
// v3, method envoy.service.auth.v3.Authorization/Check. It sends checks and maps their results;
// package authz decides when, where and how long.
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

// reconnection says how soon a connection is tried again: within a second of the service's return.
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

// AddressError says that there can be no connections to an address.
type AddressError struct {
	Address string
	Err     error // of gRPC
}

func (e *AddressError) Error() string { return fmt.Sprintf("address %s: %v", e.Address, e.Err) }

// Unwrap returns the error of gRPC.
func (e *AddressError) Unwrap() error { return e.Err }

// Dial returns a client of the service at some addresses, which are counted from 0 in Check. It
// does not block: connections are made when they are first used, and again when they break. An
// address that gRPC does not take gives an [*AddressError]. The caller must close the client.
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
	for _, one := range c.connections {
		errs = append(errs, one.conn.Close())
	}
	return errors.Join(errs...)
}

// Check sends one check to an address, with the timeout on the wire as grpc-timeout, and returns
// at once. A goroutine of the check's own calls done once with the result; it ends when the service
// responds, the timeout is over, or cancel is called. After cancel, which does not block and may
// be called any time, done is not called, unless it was being called already.
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
