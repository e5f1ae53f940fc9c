package day

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/gateway"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/pause"
)

// Environment provides the network, files and nodes of a scenario run.
type Environment interface {
	// Network returns the network of a host. The hosts are the fakes, the relays and the clients.
	Network(host string) network.Network
	// NewAddress returns an unused address.
	NewAddress() (string, error)
	// NodeDir returns the directory for a node's files.
	NodeDir(node int) (string, error)
	// StartNode starts a node with the given configuration.
	StartNode(node int, hcl []byte) (Node, error)
	// RecordTolerance returns the accepted time difference between records of different components.
	RecordTolerance() time.Duration
}

// Node is a node that the scenario run controls.
type Node interface {
	Kill()                 // ends the node immediately
	Suspend(time.Duration) // suspends the node for the given time, and returns when it runs again
	Drain() error          // asks the node to drain, and waits until it has ended
}

// VirtualEnvironment runs scenarios in virtual time, in a testing/synctest bubble.
type VirtualEnvironment struct {
	Memory    *network.Memory
	TempDir   string
	Log       io.Writer
	Seed      uint64
	hostCount int
	ahead     sync.Map // time.Duration by node number: how far the wall clock is ahead

	// Mutations, to check that the audit detects them: EditConfig changes the configuration of a
	// node, TransformEndpoints the endpoint list that it uses, and WrapUpstream how it sends
	// attempts.
	EditConfig         func([]byte) []byte
	TransformEndpoints func([]node.Endpoint) []node.Endpoint
	WrapUpstream       func(node.Upstream) node.Upstream
	Pause              pause.Settings // zero value: the defaults
}

// Network returns a host of the in-memory network.
func (e *VirtualEnvironment) Network(host string) network.Network { return e.Memory.Host(host) }

// RecordTolerance returns a tolerance that covers the latency of the in-memory network.
func (e *VirtualEnvironment) RecordTolerance() time.Duration { return 5 * time.Millisecond }

// NewAddress returns an address on a new host.
func (e *VirtualEnvironment) NewAddress() (string, error) {
	e.hostCount++
	return fmt.Sprintf("10.0.%d.%d:80", e.hostCount/256, e.hostCount%256), nil
}

// NodeDir creates and returns a directory below TempDir.
func (e *VirtualEnvironment) NodeDir(node int) (string, error) {
	dir := filepath.Join(e.TempDir, fmt.Sprint("node-", node))
	return dir, os.MkdirAll(dir, 0o700)
}

// SetWallClock sets how far a node's wall clock is ahead.
func (e *VirtualEnvironment) SetWallClock(node int, ahead time.Duration) { e.ahead.Store(node, ahead) }

// StartNode starts a gateway in this process, on a host of its own.
func (e *VirtualEnvironment) StartNode(number int, hcl []byte) (Node, error) {
	if e.EditConfig != nil {
		hcl = e.EditConfig(hcl)
	}
	cfg, err := config.Parse(hcl, fmt.Sprintf("node-%d.hcl", number))
	if err != nil {
		return nil, err
	}
	e.Seed++
	host := e.Memory.Host(fmt.Sprint("node-", number))
	log := slog.New(slog.NewTextHandler(e.Log, &slog.HandlerOptions{Level: cfg.LogLevel})).With("node", number)
	g, err := gateway.Start(cfg, gateway.Options{Network: host, Log: log, Seed: e.Seed, TransformEndpoints: e.TransformEndpoints, WrapUpstream: e.WrapUpstream, Pause: e.Pause,
		WallClock: func() time.Time {
			stored, _ := e.ahead.Load(number)
			offset, _ := stored.(time.Duration)
			return time.Now().Add(offset)
		}})
	if err != nil {
		return nil, err
	}
	return &virtualNode{g, host}, nil
}

type virtualNode struct {
	gateway *gateway.Gateway
	host    *network.Host
}

func (n *virtualNode) Kill() {
	n.host.Kill()
	n.gateway.Kill()
}

func (n *virtualNode) Suspend(d time.Duration) {
	n.host.Pause()
	time.Sleep(d)
	n.host.Resume()
}

func (n *virtualNode) Drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return n.gateway.Drain(ctx)
}
