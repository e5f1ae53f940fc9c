package day

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/membership"
)

func nodeName(i int) string { return fmt.Sprint("node-", i) }

// writeRoster gives a node the roster as it reaches the others: each by its own relay.
func (d *scenarioRun) writeRoster(i int) error {
	if d.roster == nil {
		return nil
	}
	dir, err := d.options.Environment.NodeDir(i)
	if err != nil {
		return err
	}
	d.mu.Lock()
	r := *d.roster
	d.mu.Unlock()
	at := func(k int) string {
		if k == i {
			return d.peerAddresses[i]
		}
		return d.relays[[2]int{i, k}].address
	}
	r.Nodes, r.Leaving = slices.Clone(r.Nodes), slices.Clone(r.Leaving)
	for k := range r.Nodes {
		r.Nodes[k].Address = at(k)
	}
	for k := range r.Leaving {
		r.Leaving[k].Address = at(r.Leaving[k].Number)
	}
	path := filepath.Join(dir, "roster.hcl")
	if err := os.WriteFile(path+".new", config.FormatRoster(&r), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// changeFleet has spares join or leave. The nodes read of it one after the other, in
// an order drawn from the seed.
func (d *scenarioRun) changeFleet(ctx context.Context, f Fault) error {
	n, _ := strconv.Atoi(f.Argument)
	d.mu.Lock()
	old := len(d.roster.Nodes)
	list := slices.Clone(d.roster.Nodes)
	if f.Kind == "fleet-shrink" {
		list = list[:old-n]
	} else {
		for i := range n {
			list = append(list, membership.Node{Name: nodeName(old + i), Address: nodeName(old+i) + ":1"})
		}
	}
	// Who left by an earlier change has ended since: the day vouches for it.
	var gone []string
	for _, l := range d.roster.Leaving {
		if d.nodes[l.Number] == nil {
			gone = append(gone, l.Name)
		}
	}
	r, err := d.roster.Next(list, gone)
	if err == nil {
		*d.roster = r
	}
	d.mu.Unlock()
	if err != nil {
		return err
	}
	if len(list) < old {
		d.clientNodes.Store(int64(len(list))) // their addresses are withdrawn first
	}
	order := rand.New(rand.NewPCG(uint64(d.script.Seed), r.Epoch)).Perm(max(old, len(list)))
	for _, i := range order {
		sleep(ctx, parseDuration(f.Duration)/time.Duration(len(order)))
		if err := d.writeRoster(i); err != nil {
			return err
		}
		if i >= old {
			n, err := d.options.Environment.StartNode(i, d.nodeConfigs[i])
			if err != nil {
				return err
			}
			d.mu.Lock()
			d.nodes[i] = n
			d.mu.Unlock()
		}
	}
	if len(list) > old {
		sleep(ctx, time.Second)
		d.clientNodes.Store(int64(len(list)))
		return d.waitUntilReady()
	}
	sleep(ctx, 2*time.Second)
	for i := len(list); i < old; i++ {
		d.mu.Lock()
		n := d.nodes[i]
		d.nodes[i] = nil
		d.mu.Unlock()
		if err := n.Drain(); err != nil {
			return err
		}
	}
	return nil
}
