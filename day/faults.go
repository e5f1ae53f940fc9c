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

// runFault carries out one fault, takes it back after its time, and records what failed.
func (d *scenarioRun) runFault(ctx context.Context, f Fault) {
	d.logf("%s %d %s", f.Kind, f.Target, f.Argument)
	if err := d.injectFault(ctx, f); err != nil {
		d.mu.Lock()
		d.errs = append(d.errs, fmt.Errorf("fault %s: %w", f.Kind, err))
		d.mu.Unlock()
	}
	d.logf("%s %d %s is over", f.Kind, f.Target, f.Argument)
}

// injectFault carries out a fault by the part of the system that it befalls.
func (d *scenarioRun) injectFault(ctx context.Context, f Fault) error {
	part, action, _ := strings.Cut(f.Kind, "-")
	switch part {
	case "node":
		return d.injectNodeFault(ctx, f, action)
	case "fleet":
		return d.changeFleet(ctx, f)
	case "proxy":
		return d.killProxy(ctx, f)
	case "peers":
		return d.injectPeerFault(ctx, f, action)
	case "discovery":
		return d.injectDiscoveryFault(ctx, f, action)
	case "clock":
		return d.setWallClock(ctx, f)
	case "authoriser":
		return holdFault(ctx, f, func() error { return d.authorizer.InjectFault(action, f.Argument) }, func() error { return d.authorizer.InjectFault("ok", "") })
	case "counter":
		return d.injectCounterFault(ctx, f, action)
	default:
		return d.injectServerFault(ctx, f, action)
	}
}

// holdFault keeps a fault in force for its time.
func holdFault(ctx context.Context, f Fault, begin, end func() error) error {
	beginErr := begin()
	sleep(ctx, parseDuration(f.Duration))
	return errors.Join(beginErr, end())
}

func (d *scenarioRun) injectNodeFault(ctx context.Context, f Fault, action string) error {
	switch action {
	case "kill":
		return d.killNode(ctx, f.Target, parseDuration(f.Duration))
	case "kill-start":
		return d.killDuringStart(ctx, f)
	default: // stop
		from := time.Now()
		d.mu.Lock()
		n := d.nodes[f.Target]
		d.mu.Unlock()
		n.Suspend(parseDuration(f.Duration))
		d.recordDowntime(f.Target, from, false)
		return nil
	}
}

func (d *scenarioRun) killProxy(ctx context.Context, f Fault) error {
	d.mu.Lock()
	p := d.proxies[f.Target]
	d.mu.Unlock()
	from := time.Now()
	p.Kill()
	sleep(ctx, parseDuration(f.Duration))
	err := d.startProxy(f.Target)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.ProxyDowntimes = append(d.record.ProxyDowntimes, audit.Downtime{Node: f.Target, From: from, To: time.Now()})
	return err
}

func (d *scenarioRun) injectPeerFault(ctx context.Context, f Fault, action string) error {
	if action == "cut" {
		to, _ := strconv.Atoi(f.Argument) // the script was checked
		r := d.relays[[2]int{f.Target, to}]
		return holdFault(ctx, f, func() error { r.setLossRate(1); return nil }, func() error { r.setLossRate(0); return nil })
	}
	share, _ := strconv.ParseFloat(f.Argument, 64) // the script was checked
	return holdFault(ctx, f, func() error { d.setPeerLossRate(share); return nil }, func() error { d.setPeerLossRate(0); return nil })
}

func (d *scenarioRun) injectDiscoveryFault(ctx context.Context, f Fault, action string) error {
	if action == "silent" {
		return holdFault(ctx, f, func() error { return d.discovery.InjectFault(action) }, func() error { return d.discovery.InjectFault("ok") })
	}
	return d.discovery.InjectFault(action)
}

// setWallClock sets a node's wall clock, where that is not the machine's.
func (d *scenarioRun) setWallClock(ctx context.Context, f Fault) error {
	clocks, ok := d.options.Environment.(interface{ SetWallClock(int, time.Duration) })
	if !ok {
		d.logf("clock-set: the machine's clock is not ours to set; left out")
		return nil
	}
	return holdFault(ctx, f, func() error { clocks.SetWallClock(f.Target, parseDuration(f.Argument)); return nil },
		func() error { clocks.SetWallClock(f.Target, 0); return nil })
}

func (d *scenarioRun) injectCounterFault(ctx context.Context, f Fault, action string) error {
	c := d.counters[f.Target]
	switch action {
	case "silent", "refuse", "lose", "slow":
		return holdFault(ctx, f, func() error { return c.InjectFault(action, f.Argument) }, func() error { return c.InjectFault("ok", "") })
	default:
		return c.InjectFault(action, f.Argument)
	}
}

func (d *scenarioRun) injectServerFault(ctx context.Context, f Fault, action string) error {
	d.mu.Lock()
	b := d.servers[f.Target%len(d.servers)]
	server := b.server
	d.mu.Unlock()
	switch action {
	case "drain":
		d.withdrawServer(b, false)
		sleep(ctx, parseDuration(f.Duration))
		server.Kill()
		d.withdrawServer(b, true)
	case "vanish":
		server.Kill()
		sleep(ctx, parseDuration(f.Duration))
		d.withdrawServer(b, true)
	case "return":
		err := d.startServer(b, true)
		d.mu.Lock()
		list := d.endpoints
		d.mu.Unlock()
		d.discovery.SetEndpoints(list)
		return err
	case "flap":
		d.flapServer(ctx, b, parseDuration(f.Duration))
	default:
		return holdFault(ctx, f, func() error { return server.InjectFault(action, f.Argument) }, func() error { return server.InjectFault("ok", "") })
	}
	return nil
}

// flapServer takes a server out of discovery's list and puts it back.
func (d *scenarioRun) flapServer(ctx context.Context, b *serverSlot, away time.Duration) {
	d.mu.Lock()
	var kept, off []discovery.Endpoint
	for _, e := range d.endpoints {
		if e.Name == b.name {
			off = append(off, e)
		} else {
			kept = append(kept, e)
		}
	}
	d.endpoints = kept
	d.mu.Unlock()
	d.discovery.SetEndpoints(kept)
	sleep(ctx, away)
	d.mu.Lock()
	d.endpoints = append(slices.Clone(d.endpoints), off...)
	list := d.endpoints
	d.mu.Unlock()
	d.discovery.SetEndpoints(list)
}

// withdrawServer changes discovery's list: a server drains, or is gone.
func (d *scenarioRun) withdrawServer(b *serverSlot, gone bool) {
	d.mu.Lock()
	var list []discovery.Endpoint
	for _, e := range d.endpoints {
		if e.Name == b.name {
			if gone {
				continue
			}
			e.Draining = true
		}
		list = append(list, e)
	}
	d.endpoints = list
	d.mu.Unlock()
	d.discovery.SetEndpoints(list)
}

func (d *scenarioRun) recordDowntime(node int, from time.Time, killed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Downtimes = append(d.record.Downtimes, audit.Downtime{Node: node, From: from, To: time.Now(), Killed: killed})
}

// killDuringStart kills a node, starts it again, and kills it while it starts.
func (d *scenarioRun) killDuringStart(ctx context.Context, f Fault) error {
	from := time.Now()
	if err := d.restartNode(ctx, f.Target, parseDuration(f.Duration)); err != nil {
		return err
	}
	sleep(ctx, parseDuration(f.Argument))
	err := d.killNode(ctx, f.Target, parseDuration(f.Duration))
	d.recordDowntime(f.Target, from, true)
	return err
}

func (d *scenarioRun) killNode(ctx context.Context, i int, away time.Duration) error {
	from := time.Now()
	if err := d.restartNode(ctx, i, away); err != nil {
		return err
	}
	err := d.waitUntilReady()
	d.recordDowntime(i, from, true)
	return err
}

// restartNode kills a node and starts it again after a time.
func (d *scenarioRun) restartNode(ctx context.Context, i int, away time.Duration) error {
	d.mu.Lock()
	n := d.nodes[i]
	d.mu.Unlock()
	n.Kill()
	sleep(ctx, away)
	n, err := d.options.Environment.StartNode(i, d.nodeConfigs[i])
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[i] = n
	return nil
}
