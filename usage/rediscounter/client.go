// Package rediscounter is the client of the shared usage counter. It uses RESP, the protocol of
// Redis.
//
// A total is stored as a hash with the key "yt:{customer}:window". The hash has one field per
// writer, named "node.incarnation" (the incarnation in base 36), whose value is the writer's entry
// in thousandths of a unit. The field "level" holds the customer's level as "units@milliseconds".
// The hash expires Options.Retention after its last refresh. The key "yt:epoch" holds a random
// value, which the first client that finds the key missing sets. A changed epoch shows that the
// shard was emptied or replaced.
package rediscounter

import (
	"context"
	"net"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/redis/go-redis/v9/maintnotifications"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/usage"
)

// poolSize is the size of the connection pool of each shard.
const poolSize = 4

// Options configures a Client. All fields are required.
type Options struct {
	Network    network.Network
	Addresses  []string      // host:port of each shard, in the order of the shard indices
	ClientName string        // sent to the counter for its list of clients
	Timeout    time.Duration // limit of one call, of connecting and of waiting for a connection
	Retention  time.Duration // time to live of a total
}

// Client executes calls on the shards of a counter. It is safe for concurrent use.
type Client struct {
	options Options
	shards  []*redis.Client
}

// New returns a Client. It connects to a shard on the first call to that shard.
func New(o Options) *Client {
	c := &Client{options: o}
	for _, address := range o.Addresses {
		c.shards = append(c.shards, redis.NewClient(shardOptions(o, address)))
	}
	return c
}

// shardOptions returns the options of one shard's client. The client does not retry failed calls,
// because the usage tracker decides on retries.
func shardOptions(o Options, address string) *redis.Options {
	return &redis.Options{
		Addr:                     address,
		ClientName:               o.ClientName,
		Protocol:                 2,
		PoolSize:                 poolSize,
		MaxRetries:               -1,
		DialTimeout:              o.Timeout,
		ReadTimeout:              o.Timeout,
		WriteTimeout:             o.Timeout,
		PoolTimeout:              o.Timeout,
		ContextTimeoutEnabled:    true,
		DisableIdentity:          true,
		DialerRetries:            1,
		MaintNotificationsConfig: &maintnotifications.Config{Mode: maintnotifications.ModeDisabled},
		Dialer: func(ctx context.Context, _, address string) (net.Conn, error) {
			return o.Network.Dial(ctx, address)
		},
	}
}

// Close closes all connections. Calls in flight end with a failed response. Close does not wait
// for their goroutines, each of which ends within Options.Timeout.
func (c *Client) Close() {
	for _, shard := range c.shards {
		// The only possible error is that the client is already closed.
		_ = shard.Close()
	}
}

// Do starts a call and returns immediately. The call's own goroutine invokes done exactly once,
// with the response or with a failed one, after Options.Timeout at the latest.
func (c *Client) Do(call usage.CounterCall, done func(usage.CounterResponse)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout)
		defer cancel()
		response, err := c.execute(ctx, call)
		if err != nil {
			response = usage.CounterResponse{Failed: true}
		}
		done(response)
	}()
}
