// Command adapter runs gateways on the line protocol of the bench: events on standard input, actions on standard
// output, one policy.Gateway for each instance. It ends at the end of input, or with an error that names the
// line of a malformed one.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"yardcleat.example/yardcleat/internal/wire"
	"yardcleat.example/yardcleat/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers every batch of in on out until in ends.
func run(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(in)
	writer := bufio.NewWriter(out)
	a := adapter{gateways: map[string]*policy.Gateway{}}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := a.answer(batch)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// adapter holds the instances, and buffers that it reuses from batch to batch.
type adapter struct {
	gateways map[string]*policy.Gateway
	reply    []byte
	actions  []policy.Action
}

// unknownInstanceError reports an event for an instance that was not configured.
type unknownInstanceError string

func (e unknownInstanceError) Error() string { return fmt.Sprintf("unknown instance %q", string(e)) }

// answer returns the reply to a batch. It is valid until the next call.
func (a *adapter) answer(batch wire.Batch) ([]byte, error) {
	a.reply = a.reply[:0]
	for _, item := range batch.Items {
		if err := a.apply(batch.Now, item); err != nil {
			return nil, &wire.LineError{Line: item.Line, Err: err}
		}
	}
	a.reply = wire.AppendEnd(a.reply)
	return a.reply, nil
}

// apply carries out one event of a batch.
func (a *adapter) apply(now time.Duration, item wire.InstanceEvent) error {
	switch ev := item.Event.(type) {
	case wire.Configure:
		g, err := policy.New(ev.Settings, ev.Seed)
		if err != nil {
			return err
		}
		a.gateways[item.Instance] = g
	case wire.Kill:
		delete(a.gateways, item.Instance)
	default:
		g := a.gateways[item.Instance]
		if g == nil {
			return unknownInstanceError(item.Instance)
		}
		if ev, ok := ev.(policy.Event); ok {
			a.decide(now, item.Instance, g, ev)
		}
	}
	return nil
}

// decide gives an event to an instance and adds its actions to the reply.
func (a *adapter) decide(now time.Duration, instance string, g *policy.Gateway, ev policy.Event) {
	var err error
	a.actions, err = handle(g, now, ev, a.actions[:0])
	for _, action := range a.actions {
		a.reply = wire.Append(a.reply, instance, action)
	}
	if err != nil {
		a.reply = wire.AppendCrash(a.reply, instance, err.Error())
	}
}

// panicError reports a panic while an event was decided.
type panicError struct {
	event policy.Event
	value any
}

func (e *panicError) Error() string { return fmt.Sprintf("%T: %v", e.event, e.value) }

// handle turns a panic in the decisions into a *panicError.
func handle(g *policy.Gateway, now time.Duration, ev policy.Event, out []policy.Action) (
	actions []policy.Action, err error) {
	defer func() {
		if value := recover(); value != nil {
			actions, err = out, &panicError{ev, value}
		}
	}()
	return g.Handle(now, ev, out), nil
}
