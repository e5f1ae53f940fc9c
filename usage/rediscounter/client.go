// Package rediscounter asks the shared counter over RESP, for tally.
//
// A total is a hash, yt:{customer}:WINDOW, with a field for each process that
// passed units, which that process alone raises; it expires. yt:epoch is drawn
// by whoever finds a part without it, so that an emptied part is known.
package rediscounter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/redis/go-redis/v9/maintnotifications"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/usage"
)

// Options is what a Client is made of.
type Options struct {
	Network    network.Network
	Addresses  []string // of the parts
	ClientName string   // of this node, told to the counter
	Timeout    time.Duration
	Retention  time.Duration
}

// Client asks all parts.
type Client struct {
	options Options
	shards  []*redis.Client
}

// New returns a client; it connects when first used.
func New(o Options) *Client {
	c := &Client{options: o}
	for _, a := range o.Addresses {
		c.shards = append(c.shards, redis.NewClient(&redis.Options{Addr: a, ClientName: o.ClientName, Protocol: 2, PoolSize: 4,
			MaxRetries: -1, DialTimeout: o.Timeout, ReadTimeout: o.Timeout, WriteTimeout: o.Timeout, PoolTimeout: o.Timeout,
			ContextTimeoutEnabled: true, DisableIdentity: true,
			DialerRetries:            1,
			MaintNotificationsConfig: &maintnotifications.Config{Mode: maintnotifications.ModeDisabled},
			Dialer:                   func(ctx context.Context, _, addr string) (net.Conn, error) { return o.Network.Dial(ctx, addr) }}))
	}
	return c
}

// Close closes the connections.
func (c *Client) Close() {
	for _, p := range c.shards {
		p.Close()
	}
}

const epochKey = "yt:epoch"

// Do makes a call; done is called once, from another goroutine, with its answer
// or a failed one after the limit at the latest.
func (c *Client) Do(call usage.CounterCall, done func(usage.CounterResponse)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout)
		defer cancel()
		ans, err := c.execute(ctx, c.shards[call.Shard], call)
		if err != nil {
			ans = usage.CounterResponse{Failed: true}
		}
		done(ans)
	}()
}

func writerField(o usage.WriterID) string {
	return strconv.Itoa(o.Node) + "." + strconv.FormatUint(o.Incarnation, 36)
}

const levelField = "level"

func (c *Client) execute(ctx context.Context, part *redis.Client, call usage.CounterCall) (ans usage.CounterResponse, err error) {
	key := fmt.Sprintf("yt:{%s}:%d", call.Key.Customer, call.Key.Window)
	var epoch *redis.StringCmd
	var all *redis.MapStringStringCmd
	_, err = part.Pipelined(ctx, func(p redis.Pipeliner) error {
		if call.ReadEpoch {
			epoch = p.Get(ctx, epochKey)
		}
		all = p.HGetAll(ctx, key)
		var set []any
		for _, r := range call.Raise {
			set = append(set, writerField(r.Writer), int64(r.Units))
		}
		if !call.Level.At.IsZero() {
			set = append(set, levelField, fmt.Sprintf("%.3f@%d", call.Level.Units, call.Level.At.UnixMilli()))
		}
		if len(set) > 0 {
			p.HSet(ctx, key, set...)
		}
		for _, r := range call.AddIfMissing {
			p.HSetNX(ctx, key, writerField(r.Writer), int64(r.Units))
		}
		if call.RefreshExpiry && len(set)+len(call.AddIfMissing) > 0 {
			p.PExpire(ctx, key, c.options.Retention)
		}
		return nil
	})
	if err != nil && err != redis.Nil {
		return ans, err
	}
	if err = nil; epoch != nil {
		ans.Epoch, err = epoch.Result()
	}
	if err == redis.Nil {
		// The first to find it missing draws it; all use what then stands there.
		if err = part.SetNX(ctx, epochKey, strconv.FormatUint(rand.Uint64(), 36), 0).Err(); err == nil {
			ans.Epoch, err = part.Get(ctx, epochKey).Result()
		}
	}
	if err != nil {
		return ans, err
	}
	fields, err := all.Result()
	if err != nil {
		return ans, err
	}
	for name, value := range fields {
		if name == levelField {
			ans.Level = parseLevel(value)
			continue
		}
		node, inc, _ := strings.Cut(name, ".")
		n, err1 := strconv.Atoi(node)
		i, err2 := strconv.ParseUint(inc, 36, 64)
		u, err3 := strconv.ParseInt(value, 10, 64)
		if err1 != nil || err2 != nil || err3 != nil || u < 0 {
			return ans, fmt.Errorf("counter: %s holds %q = %q, which no node wrote", key, name, value)
		}
		ans.Entries = append(ans.Entries, usage.CounterEntry{Key: call.Key, Writer: usage.WriterID{Node: n, Incarnation: i}, Units: usage.MilliUnits(u)})
	}
	return ans, nil
}

// parseLevel reads what was written beside the totals; a malformed one is none.
func parseLevel(s string) usage.Level {
	units, at, _ := strings.Cut(s, "@")
	u, err := strconv.ParseFloat(units, 64)
	ms, err2 := strconv.ParseInt(at, 10, 64)
	if err != nil || err2 != nil {
		return usage.Level{}
	}
	return usage.Level{Units: u, At: time.UnixMilli(ms)}
}
