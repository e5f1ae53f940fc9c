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

// play carries out one fault, takes it back after its time, and records what failed.
func (d *stage) play(ctx context.Context, f Fault) {
	d.say("%s %d %s", f.Kind, f.Target, f.Argument)
	if err := d.playFault(ctx, f); err != nil {
		d.mu.Lock()
		d.errs = append(d.errs, fmt.Errorf("fault %s: %w", f.Kind, err))
		d.mu.Unlock()
	}
	d.say("%s %d %s is over", f.Kind, f.Target, f.Argument)
}

// playFault carries out a fault by the part of the system that it befalls.
func (d *stage) playFault(ctx context.Context, f Fault) error {
	part, action, _ := strings.Cut(f.Kind, "-")
	switch part {
	case "node":
		return d.playNodeFault(ctx, f, action)
	case "fleet":
		return d.changeFleet(ctx, f)
	case "proxy":
		return d.killProxy(ctx, f)
	case "peers":
		return d.playPeerFault(ctx, f, action)
	case "discovery":
		return d.playDiscoveryFault(ctx, f, action)
	case "clock":
		return d.setClock(ctx, f)
	case "authoriser":
		return during(ctx, f, func() error { return d.auth.InjectFault(action, f.Argument) }, func() error { return d.auth.InjectFault("ok", "") })
	case "counter":
		return d.playCounterFault(ctx, f, action)
	default:
		return d.playServerFault(ctx, f, action)
	}
}

// during keeps a fault in force for its time.
func during(ctx context.Context, f Fault, begin, end func() error) error {
	beginErr := begin()
	sleep(ctx, dur(f.Duration))
	return errors.Join(beginErr, end())
}

func (d *stage) playNodeFault(ctx context.Context, f Fault, action string) error {
	switch action {
	case "kill":
		return d.killNode(ctx, f.Target, dur(f.Duration))
	case "kill-start":
		return d.killTwice(ctx, f)
	default: // stop
		from := time.Now()
		d.mu.Lock()
		n := d.nodes[f.Target]
		d.mu.Unlock()
		n.Suspend(dur(f.Duration))
		d.down(f.Target, from, false)
		return nil
	}
}

func (d *stage) killProxy(ctx context.Context, f Fault) error {
	d.mu.Lock()
	p := d.fronts[f.Target]
	d.mu.Unlock()
	from := time.Now()
	p.Kill()
	sleep(ctx, dur(f.Duration))
	err := d.startProxy(f.Target)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.ProxyDown = append(d.record.ProxyDown, audit.Down{Node: f.Target, From: from, To: time.Now()})
	return err
}

func (d *stage) playPeerFault(ctx context.Context, f Fault, action string) error {
	if action == "cut" {
		to, _ := strconv.Atoi(f.Argument) // the script was checked
		r := d.relays[[2]int{f.Target, to}]
		return during(ctx, f, func() error { r.lose(1); return nil }, func() error { r.lose(0); return nil })
	}
	share, _ := strconv.ParseFloat(f.Argument, 64) // the script was checked
	return during(ctx, f, func() error { d.lose(share); return nil }, func() error { d.lose(0); return nil })
}

func (d *stage) playDiscoveryFault(ctx context.Context, f Fault, action string) error {
	if action == "silent" {
		return during(ctx, f, func() error { return d.discovery.InjectFault(action) }, func() error { return d.discovery.InjectFault("ok") })
	}
	return d.discovery.InjectFault(action)
}

// setClock sets a node's wall clock, where that is not the machine's.
func (d *stage) setClock(ctx context.Context, f Fault) error {
	clocks, ok := d.o.Environment.(interface{ SetWallClock(int, time.Duration) })
	if !ok {
		d.say("clock-set: the machine's clock is not ours to set; left out")
		return nil
	}
	return during(ctx, f, func() error { clocks.SetWallClock(f.Target, dur(f.Argument)); return nil },
		func() error { clocks.SetWallClock(f.Target, 0); return nil })
}

func (d *stage) playCounterFault(ctx context.Context, f Fault, action string) error {
	c := d.counters[f.Target]
	switch action {
	case "silent", "refuse", "lose", "slow":
		return during(ctx, f, func() error { return c.InjectFault(action, f.Argument) }, func() error { return c.InjectFault("ok", "") })
	default:
		return c.InjectFault(action, f.Argument)
	}
}

func (d *stage) playServerFault(ctx context.Context, f Fault, action string) error {
	d.mu.Lock()
	b := d.servers[f.Target%len(d.servers)]
	server := b.server
	d.mu.Unlock()
	switch action {
	case "drain":
		d.delist(b, false)
		sleep(ctx, dur(f.Duration))
		server.Kill()
		d.delist(b, true)
	case "vanish":
		server.Kill()
		sleep(ctx, dur(f.Duration))
		d.delist(b, true)
	case "return":
		err := d.startServer(b, true)
		d.mu.Lock()
		list := d.list
		d.mu.Unlock()
		d.discovery.SetEndpoints(list)
		return err
	case "flap":
		d.flap(ctx, b, dur(f.Duration))
	default:
		return during(ctx, f, func() error { return server.InjectFault(action, f.Argument) }, func() error { return server.InjectFault("ok", "") })
	}
	return nil
}

// flap takes a server out of discovery's list and puts it back.
func (d *stage) flap(ctx context.Context, b *box, away time.Duration) {
	d.mu.Lock()
	var kept, off []discovery.Endpoint
	for _, e := range d.list {
		if e.Name == b.name {
			off = append(off, e)
		} else {
			kept = append(kept, e)
		}
	}
	d.list = kept
	d.mu.Unlock()
	d.discovery.SetEndpoints(kept)
	sleep(ctx, away)
	d.mu.Lock()
	d.list = append(slices.Clone(d.list), off...)
	list := d.list
	d.mu.Unlock()
	d.discovery.SetEndpoints(list)
}

// delist changes discovery's list: a server drains, or is gone.
func (d *stage) delist(b *box, gone bool) {
	d.mu.Lock()
	var list []discovery.Endpoint
	for _, e := range d.list {
		if e.Name == b.name {
			if gone {
				continue
			}
			e.Draining = true
		}
		list = append(list, e)
	}
	d.list = list
	d.mu.Unlock()
	d.discovery.SetEndpoints(list)
}

func (d *stage) down(node int, from time.Time, killed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Down = append(d.record.Down, audit.Down{Node: node, From: from, To: time.Now(), Killed: killed})
}

// killTwice kills a node, starts it again, and kills it while it starts.
func (d *stage) killTwice(ctx context.Context, f Fault) error {
	from := time.Now()
	if err := d.restart(ctx, f.Target, dur(f.Duration)); err != nil {
		return err
	}
	sleep(ctx, dur(f.Argument))
	err := d.killNode(ctx, f.Target, dur(f.Duration))
	d.down(f.Target, from, true)
	return err
}

func (d *stage) killNode(ctx context.Context, i int, away time.Duration) error {
	from := time.Now()
	if err := d.restart(ctx, i, away); err != nil {
		return err
	}
	err := d.ready()
	d.down(i, from, true)
	return err
}

// restart kills a node and starts it again after a time.
func (d *stage) restart(ctx context.Context, i int, away time.Duration) error {
	d.mu.Lock()
	n := d.nodes[i]
	d.mu.Unlock()
	n.Kill()
	sleep(ctx, away)
	n, err := d.o.Environment.StartNode(i, d.configs[i])
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[i] = n
	return nil
}
