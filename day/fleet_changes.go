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

// writeRoster writes the roster file of a node, with the addresses of the relays through which the
// node reaches its peers.
func (run *scenarioRun) writeRoster(i int) error {
	if run.roster == nil {
		return nil
	}
	dir, err := run.options.Environment.NodeDir(i)
	if err != nil {
		return err
	}
	run.mu.Lock()
	r := *run.roster
	run.mu.Unlock()
	addressOf := func(k int) string {
		if k == i {
			return run.peerAddresses[i]
		}
		return run.relays[[2]int{i, k}].address
	}
	r.Nodes, r.Leaving = slices.Clone(r.Nodes), slices.Clone(r.Leaving)
	for k := range r.Nodes {
		r.Nodes[k].Address = addressOf(k)
	}
	for k := range r.Leaving {
		r.Leaving[k].Address = addressOf(r.Leaving[k].Number)
	}
	path := filepath.Join(dir, "roster.hcl")
	if err := os.WriteFile(path+".new", config.FormatRoster(&r), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// changeFleet adds spare nodes to the fleet, or removes nodes from it. The nodes get the new roster
// one after another, in an order drawn from the seed.
func (run *scenarioRun) changeFleet(ctx context.Context, f Fault) error {
	n, _ := strconv.Atoi(f.Argument)
	run.mu.Lock()
	oldSize := len(run.roster.Nodes)
	members := slices.Clone(run.roster.Nodes)
	if f.Kind == "fleet-shrink" {
		members = members[:oldSize-n]
	} else {
		for i := range n {
			members = append(members, membership.Node{Name: nodeName(oldSize + i), Address: nodeName(oldSize+i) + ":1"})
		}
	}
	// Nodes that left in an earlier change, and have ended since, are removed from the roster.
	var ended []string
	for _, l := range run.roster.Leaving {
		if run.nodes[l.Number] == nil {
			ended = append(ended, l.Name)
		}
	}
	r, err := run.roster.Next(members, ended)
	if err == nil {
		*run.roster = r
	}
	run.mu.Unlock()
	if err != nil {
		return err
	}
	if len(members) < oldSize {
		run.clientNodes.Store(int64(len(members))) // clients stop using the nodes before the nodes leave
	}
	order := rand.New(rand.NewPCG(uint64(run.script.Seed), r.Epoch)).Perm(max(oldSize, len(members)))
	for _, i := range order {
		sleep(ctx, toDuration(f.Duration)/time.Duration(len(order)))
		if err := run.writeRoster(i); err != nil {
			return err
		}
		if i >= oldSize {
			n, err := run.options.Environment.StartNode(i, run.nodeConfigs[i])
			if err != nil {
				return err
			}
			run.mu.Lock()
			run.nodes[i] = n
			run.mu.Unlock()
		}
	}
	if len(members) > oldSize {
		sleep(ctx, time.Second)
		run.clientNodes.Store(int64(len(members)))
		return run.waitUntilReady()
	}
	sleep(ctx, 2*time.Second)
	for i := len(members); i < oldSize; i++ {
		run.mu.Lock()
		n := run.nodes[i]
		run.nodes[i] = nil
		run.mu.Unlock()
		if err := n.Drain(); err != nil {
			return err
		}
	}
	return nil
}
