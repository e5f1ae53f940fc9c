package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
)

// Options is what a watch is made of.
type Options struct {
	Network network.Network
	Address string
	Logger  *slog.Logger
	Deliver func(List)
}

const listPath = "/discovery/hosts"

// Watch keeps a watch out until the context ends: the whole list first, then what
// changes. What can't be read changes nothing and is asked for again.
func Watch(ctx context.Context, o Options) {
	index, pause := int64(-1), minBackoff
	var failing bool
	for ctx.Err() == nil {
		err := o.session(ctx, &index, func() { pause, failing = minBackoff, false })
		if ctx.Err() != nil {
			return
		}
		if !failing {
			o.Logger.Warn("discovery: asking again", "address", o.Address, "error", err)
			failing = true
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxBackoff)
	}
}

// session makes calls over one connection until one fails.
func (o Options) session(ctx context.Context, index *int64, good func()) error {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := o.Network.Dial(dial, o.Address)
	if err != nil {
		return err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	r := http1.NewReader(nc, http1.Limits{Line: 4096, Fields: 64, Header: 16 << 10, Body: maxResponseBody})
	for {
		l, keep, err := o.call(ctx, nc, r, *index)
		if err != nil {
			return err
		}
		if !l.Snapshot && *index < 0 {
			return errors.New("changes without a whole list")
		}
		*index = l.Index
		good()
		o.Deliver(l)
		if !keep {
			return errors.New("connection closed")
		}
	}
}

func (o Options) call(ctx context.Context, nc net.Conn, r *http1.Reader, after int64) (List, bool, error) {
	target, wait := listPath, time.Duration(0)
	if after >= 0 {
		wait = longPollTime
		target += "?after=" + strconv.FormatInt(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	nc.SetDeadline(time.Now().Add(wait + responseGrace))
	if ctx.Err() != nil {
		return List{}, false, ctx.Err()
	}
	if _, err := nc.Write(http1.AppendRequest(nil, "GET", target, o.Address, nil, nil)); err != nil {
		return List{}, false, err
	}
	head, err := r.Response("GET")
	if err != nil {
		return List{}, false, err
	}
	body, err := r.Body(head.Framing, head.Length)
	if err != nil {
		return List{}, false, err
	}
	if head.Status != 200 {
		return List{}, false, fmt.Errorf("status %d", head.Status)
	}
	l, err := Parse(body)
	return l, head.KeepAlive(), err
}
