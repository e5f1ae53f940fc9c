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

// epochKey is the Redis key of a shard's epoch. It does not expire.
const epochKey = "yt:epoch"

// totalKey returns the Redis key of a total's hash. The braces are a hash tag: a Redis cluster
// stores all totals of a customer in one slot.
func totalKey(key usage.TotalKey) string {
	return fmt.Sprintf("yt:{%s}:%d", key.Customer, key.Window)
}

// pipelineResults holds the results of a call's pipeline that the client reads.
type pipelineResults struct {
	epoch  *redis.StringCmd // nil if the call does not read the epoch
	fields *redis.MapStringStringCmd
}

// execute executes a call as one pipeline. The error is a *MalformedFieldError if the total has a
// field that no gateway wrote; all other errors come from the connection or the shard.
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

// firstFailure returns the first error of a pipeline's commands, or else err, the error of the
// pipeline. A missing key (redis.Nil) is not a failure. It is skipped because the pipeline's own
// error may be the redis.Nil of an early command, which hides the failure of a later one.
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

// queueCommands adds the commands of a call to a pipeline. Reads precede writes, so that the
// results show what the shard held before the call.
func (c *Client) queueCommands(ctx context.Context, p redis.Pipeliner, call usage.CounterCall) (r pipelineResults) {
	key := totalKey(call.Key)
	if call.ReadEpoch {
		r.epoch = p.Get(ctx, epochKey)
	}
	r.fields = p.HGetAll(ctx, key)
	var fieldsToSet []any
	for _, entry := range call.Raise {
		fieldsToSet = append(fieldsToSet, writerField(entry.Writer), int64(entry.Units))
	}
	if !call.Level.At.IsZero() {
		fieldsToSet = append(fieldsToSet, levelField, encodeLevel(call.Level))
	}
	if len(fieldsToSet) > 0 {
		p.HSet(ctx, key, fieldsToSet...)
	}
	for _, entry := range call.AddIfMissing {
		p.HSetNX(ctx, key, writerField(entry.Writer), int64(entry.Units))
	}
	written := len(fieldsToSet) > 0 || len(call.AddIfMissing) > 0
	if call.RefreshExpiry && written {
		p.PExpire(ctx, key, c.options.Retention)
	}
	return r
}

// readOrCreateEpoch returns the epoch that a pipeline has read. If the shard has none, it sets a
// random one. If several clients do so at once, the first one wins and all of them return its value.
func readOrCreateEpoch(ctx context.Context, shard *redis.Client, read *redis.StringCmd) (string, error) {
	epoch, err := read.Result()
	if !errors.Is(err, redis.Nil) {
		return epoch, err
	}
	generated := strconv.FormatUint(rand.Uint64(), 36)
	if err := shard.SetNX(ctx, epochKey, generated, 0).Err(); err != nil {
		return "", err
	}
	return shard.Get(ctx, epochKey).Result()
}
