// Package rediscounter calls the shared usage counter over RESP, the protocol of Redis.
//
// A total is a hash with the key "yt:{customer}:window". It has one field for each writer,
// named "node.incarnation" (the incarnation in base 36), whose value is the writer's entry in
// thousandths of units. A field "level" holds the customer's level as "units@milliseconds". The hash
// expires Options.Retention after its last refresh. The key "yt:epoch" holds a random value
// that the first client to miss it draws, so that an emptied shard is recognized.
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

// poolSize is the number of connections to each shard.
const poolSize = 4

// Options configures a Client. All fields are required.
type Options struct {
	Network    network.Network
	Addresses  []string      // host:port of every shard, in the order of their indices
	ClientName string        // sent to the counter, for its list of clients
	Timeout    time.Duration // of one call, of connecting and of waiting for a connection
	Retention  time.Duration // time to live of a total
}

// Client calls all shards of a counter. It is safe for concurrent use.
type Client struct {
	options Options
	shards  []*redis.Client
}

// New returns a client. It connects to a shard with the first call.
func New(o Options) *Client {
	c := &Client{options: o}
	for _, address := range o.Addresses {
		c.shards = append(c.shards, redis.NewClient(shardOptions(o, address)))
	}
	return c
}

// shardOptions are the options of one shard's client. Failed calls are not retried here:
// the usage tracker decides on further calls.
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

// Close closes all connections, and with them the calls in flight: these end with a failed
// response. It does not wait for their goroutines, each of which ends within
// Options.Timeout.
func (c *Client) Close() {
	for _, shard := range c.shards {
		// The only error is that the client is closed already.
		_ = shard.Close()
	}
}

// Do starts a call and returns at once. A goroutine that belongs to the call invokes done
// exactly once: with the response, or with a failed one after Options.Timeout at the latest.
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
