package day

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/standin/discovery"
)

// runFault injects a fault, ends it after its duration, and records errors.
func (run *scenarioRun) runFault(ctx context.Context, f Fault) {
	run.logf("%s %d %s", f.Kind, f.Target, f.Argument)
	if err := run.injectFault(ctx, f); err != nil {
		run.mu.Lock()
		run.errs = append(run.errs, fmt.Errorf("fault %s: %w", f.Kind, err))
		run.mu.Unlock()
	}
	run.logf("%s %d %s is over", f.Kind, f.Target, f.Argument)
}

// injectFault injects a fault into the component named by the first word of its kind, such as the node in
// "node-kill".
func (run *scenarioRun) injectFault(ctx context.Context, f Fault) error {
	component, action, _ := strings.Cut(f.Kind, "-")
	switch component {
	case "node":
		return run.injectNodeFault(ctx, f, action)
	case "fleet":
		return run.changeFleet(ctx, f)
	case "proxy":
		return run.killProxy(ctx, f)
	case "peers":
		return run.injectPeerFault(ctx, f, action)
	case "discovery":
		return run.injectDiscoveryFault(ctx, f, action)
	case "clock":
		return run.setWallClock(ctx, f)
	case "authoriser":
		return holdFault(ctx, f, func() error { return run.authorizer.InjectFault(action, f.Argument) }, func() error { return run.authorizer.InjectFault("ok", "") })
	case "counter":
		return run.injectCounterFault(ctx, f, action)
	default:
		return run.injectServerFault(ctx, f, action)
	}
}

// holdFault begins a fault, and ends it after its duration.
func holdFault(ctx context.Context, f Fault, begin, end func() error) error {
	beginErr := begin()
	sleep(ctx, toDuration(f.Duration))
	return errors.Join(beginErr, end())
}

func (run *scenarioRun) injectNodeFault(ctx context.Context, f Fault, action string) error {
	switch action {
	case "kill":
		return run.killNode(ctx, f.Target, toDuration(f.Duration))
	case "kill-start":
		return run.killDuringStart(ctx, f)
	default: // stop
		from := time.Now()
		run.mu.Lock()
		n := run.nodes[f.Target]
		run.mu.Unlock()
		n.Suspend(toDuration(f.Duration))
		run.recordDowntime(f.Target, from, false)
		return nil
	}
}

func (run *scenarioRun) killProxy(ctx context.Context, f Fault) error {
	run.mu.Lock()
	p := run.proxies[f.Target]
	run.mu.Unlock()
	from := time.Now()
	p.Kill()
	sleep(ctx, toDuration(f.Duration))
	err := run.startProxy(f.Target)
	run.mu.Lock()
	defer run.mu.Unlock()
	run.record.ProxyDowntimes = append(run.record.ProxyDowntimes, audit.Downtime{Node: f.Target, From: from, To: time.Now()})
	return err
}

func (run *scenarioRun) injectPeerFault(ctx context.Context, f Fault, action string) error {
	if action == "cut" {
		to, _ := strconv.Atoi(f.Argument) // the script is valid
		link := run.relays[[2]int{f.Target, to}]
		return holdFault(ctx, f, func() error { link.setLossRate(1); return nil }, func() error { link.setLossRate(0); return nil })
	}
	lossRate, _ := strconv.ParseFloat(f.Argument, 64) // the script is valid
	return holdFault(ctx, f, func() error { run.setPeerLossRate(lossRate); return nil }, func() error { run.setPeerLossRate(0); return nil })
}

func (run *scenarioRun) injectDiscoveryFault(ctx context.Context, f Fault, action string) error {
	if action == "silent" {
		return holdFault(ctx, f, func() error { return run.discovery.InjectFault(action) }, func() error { return run.discovery.InjectFault("ok") })
	}
	return run.discovery.InjectFault(action)
}

// setWallClock sets a node's wall clock for the duration of the fault. It does nothing if the
// environment cannot set it, because the nodes use the clock of the machine.
func (run *scenarioRun) setWallClock(ctx context.Context, f Fault) error {
	clocks, ok := run.options.Environment.(interface{ SetWallClock(int, time.Duration) })
	if !ok {
		run.logf("clock-set: skipped, because the nodes use the clock of the machine")
		return nil
	}
	return holdFault(ctx, f, func() error { clocks.SetWallClock(f.Target, toDuration(f.Argument)); return nil },
		func() error { clocks.SetWallClock(f.Target, 0); return nil })
}

func (run *scenarioRun) injectCounterFault(ctx context.Context, f Fault, action string) error {
	c := run.counters[f.Target]
	switch action {
	case "silent", "refuse", "lose", "slow":
		return holdFault(ctx, f, func() error { return c.InjectFault(action, f.Argument) }, func() error { return c.InjectFault("ok", "") })
	default:
		return c.InjectFault(action, f.Argument)
	}
}

func (run *scenarioRun) injectServerFault(ctx context.Context, f Fault, action string) error {
	run.mu.Lock()
	slot := run.servers[f.Target%len(run.servers)]
	server := slot.server
	run.mu.Unlock()
	switch action {
	case "drain":
		run.withdrawServer(slot, false)
		sleep(ctx, toDuration(f.Duration))
		server.Kill()
		run.withdrawServer(slot, true)
	case "vanish":
		server.Kill()
		sleep(ctx, toDuration(f.Duration))
		run.withdrawServer(slot, true)
	case "return":
		err := run.startServer(slot, true)
		run.mu.Lock()
		list := run.endpoints
		run.mu.Unlock()
		run.discovery.SetEndpoints(list)
		return err
	case "flap":
		run.flapServer(ctx, slot, toDuration(f.Duration))
	default:
		return holdFault(ctx, f, func() error { return server.InjectFault(action, f.Argument) }, func() error { return server.InjectFault("ok", "") })
	}
	return nil
}

// flapServer removes a server from the endpoint list, and adds it again after the downtime.
func (run *scenarioRun) flapServer(ctx context.Context, slot *serverSlot, downtime time.Duration) {
	run.mu.Lock()
	var remaining, removed []discovery.Endpoint
	for _, e := range run.endpoints {
		if e.Name == slot.name {
			removed = append(removed, e)
		} else {
			remaining = append(remaining, e)
		}
	}
	run.endpoints = remaining
	run.mu.Unlock()
	run.discovery.SetEndpoints(remaining)
	sleep(ctx, downtime)
	run.mu.Lock()
	run.endpoints = append(slices.Clone(run.endpoints), removed...)
	list := run.endpoints
	run.mu.Unlock()
	run.discovery.SetEndpoints(list)
}

// withdrawServer marks a server as draining in the endpoint list, or removes it if remove is set.
func (run *scenarioRun) withdrawServer(slot *serverSlot, remove bool) {
	run.mu.Lock()
	var list []discovery.Endpoint
	for _, e := range run.endpoints {
		if e.Name == slot.name {
			if remove {
				continue
			}
			e.Draining = true
		}
		list = append(list, e)
	}
	run.endpoints = list
	run.mu.Unlock()
	run.discovery.SetEndpoints(list)
}

func (run *scenarioRun) recordDowntime(node int, from time.Time, killed bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.record.Downtimes = append(run.record.Downtimes, audit.Downtime{Node: node, From: from, To: time.Now(), Killed: killed})
}

// killDuringStart kills a node, starts it again, and kills it once more while it starts.
func (run *scenarioRun) killDuringStart(ctx context.Context, f Fault) error {
	from := time.Now()
	if err := run.restartNode(ctx, f.Target, toDuration(f.Duration)); err != nil {
		return err
	}
	sleep(ctx, toDuration(f.Argument))
	err := run.killNode(ctx, f.Target, toDuration(f.Duration))
	run.recordDowntime(f.Target, from, true)
	return err
}

func (run *scenarioRun) killNode(ctx context.Context, i int, downtime time.Duration) error {
	from := time.Now()
	if err := run.restartNode(ctx, i, downtime); err != nil {
		return err
	}
	err := run.waitUntilReady()
	run.recordDowntime(i, from, true)
	return err
}

// restartNode kills a node, and starts it again after the downtime.
func (run *scenarioRun) restartNode(ctx context.Context, i int, downtime time.Duration) error {
	run.mu.Lock()
	n := run.nodes[i]
	run.mu.Unlock()
	n.Kill()
	sleep(ctx, downtime)
	n, err := run.options.Environment.StartNode(i, run.nodeConfigs[i])
	if err != nil {
		return err
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.nodes[i] = n
	return nil
}
