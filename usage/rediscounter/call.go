package rediscounter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/redis/go-redis/v9"

	"yardcleat.example/yardcleat/usage"
)

// epochKey is the key of a shard's epoch. It does not expire.
const epochKey = "yt:epoch"

// totalKey is the key of a total's hash. The braces make a Redis cluster keep all totals of
// a customer in one slot.
func totalKey(key usage.TotalKey) string {
	return fmt.Sprintf("yt:{%s}:%d", key.Customer, key.Window)
}

// pipelineResults are the pipelineResults of a call's pipeline that are read.
type pipelineResults struct {
	epoch  *redis.StringCmd // nil: not read
	fields *redis.MapStringStringCmd
}

// execute carries out a call. A MalformedFieldError says that the total holds what no
// gateway wrote; other errors come from the connection or the shard.
func (c *Client) execute(ctx context.Context, call usage.CounterCall) (usage.CounterResponse, error) {
	shard := c.shards[call.Shard]
	var r pipelineResults
	commands, err := shard.Pipelined(ctx, func(p redis.Pipeliner) error {
		r = c.queueCommands(ctx, p, call)
		return nil
	})
	if err := firstFailure(commands, err); err != nil {
		return usage.CounterResponse{}, err
	}
	var epoch string
	if r.epoch != nil {
		if epoch, err = readOrCreateEpoch(ctx, shard, r.epoch); err != nil {
			return usage.CounterResponse{}, err
		}
	}
	fields, err := r.fields.Result()
	if err != nil {
		return usage.CounterResponse{}, err
	}
	response, err := decodeTotal(call.Key, fields)
	response.Epoch = epoch
	return response, err
}

// firstFailure returns the first error of a pipeline's commands, or err, that of the pipeline.
// A missing key is no failure: it may come before one in the same pipeline.
func firstFailure(commands []redis.Cmder, err error) error {
	for _, command := range commands {
		if err := command.Err(); err != nil && !errors.Is(err, redis.Nil) {
			return err
		}
	}
	if errors.Is(err, redis.Nil) {
		return nil
	}
	return err
}

// queueCommands adds the commands of a call to a pipeline: reads first, so that the results
// show what the shard held before.
func (c *Client) queueCommands(ctx context.Context, p redis.Pipeliner, call usage.CounterCall) (r pipelineResults) {
	key := totalKey(call.Key)
	if call.ReadEpoch {
		r.epoch = p.Get(ctx, epochKey)
	}
	r.fields = p.HGetAll(ctx, key)
	var set []any
	for _, entry := range call.Raise {
		set = append(set, writerField(entry.Writer), int64(entry.Units))
	}
	if !call.Level.At.IsZero() {
		set = append(set, levelField, encodeLevel(call.Level))
	}
	if len(set) > 0 {
		p.HSet(ctx, key, set...)
	}
	for _, entry := range call.AddIfMissing {
		p.HSetNX(ctx, key, writerField(entry.Writer), int64(entry.Units))
	}
	written := len(set) > 0 || len(call.AddIfMissing) > 0
	if call.RefreshExpiry && written {
		p.PExpire(ctx, key, c.options.Retention)
	}
	return r
}

// readOrCreateEpoch returns the epoch that a pipeline has read. Where there is none it draws one; of
// several clients the first one's stands, and all return it.
func readOrCreateEpoch(ctx context.Context, shard *redis.Client, read *redis.StringCmd) (string, error) {
	epoch, err := read.Result()
	if !errors.Is(err, redis.Nil) {
		return epoch, err
	}
	drawn := strconv.FormatUint(rand.Uint64(), 36)
	if err := shard.SetNX(ctx, epochKey, drawn, 0).Err(); err != nil {
		return "", err
	}
	return shard.Get(ctx, epochKey).Result()
}
