// Command adapter connects the policy to a simulator over a line protocol: it reads events from standard input and
// writes actions to standard output, with one policy.Gateway for each simulated instance. It exits at the end of
// input, or with an error that names the number of the first malformed line.
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

// run reads batches of events from in and writes the reply to each to out, until in ends.
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
		reply, err := a.handleBatch(batch)
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

// adapter holds the gateway of each instance, and buffers that are reused between batches.
type adapter struct {
	gateways map[string]*policy.Gateway
	reply    []byte
	actions  []policy.Action
}

// unknownInstanceError is the error for an event of an instance that has not been configured.
type unknownInstanceError string

func (e unknownInstanceError) Error() string { return fmt.Sprintf("unknown instance %q", string(e)) }

// handleBatch handles the events of a batch and returns the reply, which is valid until the next call.
func (a *adapter) handleBatch(batch wire.Batch) ([]byte, error) {
	a.reply = a.reply[:0]
	for _, item := range batch.Events {
		if err := a.handleEvent(batch.Now, item); err != nil {
			return nil, &wire.LineError{Line: item.Line, Err: err}
		}
	}
	a.reply = wire.AppendEnd(a.reply)
	return a.reply, nil
}

// handleEvent configures or ends an instance, or passes the event to the policy of its instance.
func (a *adapter) handleEvent(now time.Duration, item wire.InstanceEvent) error {
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
			a.handlePolicyEvent(now, item.Instance, g, ev)
		}
	}
	return nil
}

// handlePolicyEvent passes an event to the policy of an instance and appends the resulting actions to the reply. If
// the policy panics, a crash line follows.
func (a *adapter) handlePolicyEvent(now time.Duration, instance string, g *policy.Gateway, ev policy.Event) {
	var err error
	a.actions, err = handleRecovering(g, now, ev, a.actions[:0])
	for _, action := range a.actions {
		a.reply = wire.Append(a.reply, instance, action)
	}
	if err != nil {
		a.reply = wire.AppendCrash(a.reply, instance, err.Error())
	}
}

// panicError is the error for a panic of the policy.
type panicError struct {
	event policy.Event
	value any
}

func (e *panicError) Error() string { return fmt.Sprintf("%T: %v", e.event, e.value) }

// handleRecovering calls the policy and turns a panic into a *panicError.
func handleRecovering(g *policy.Gateway, now time.Duration, ev policy.Event, out []policy.Action) (
	actions []policy.Action, err error) {
	defer func() {
		if value := recover(); value != nil {
			actions, err = out, &panicError{ev, value}
		}
	}()
	return g.Handle(now, ev, out), nil
}
