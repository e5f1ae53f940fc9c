package day

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/gateway"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/pause"
)

// Environment is where a day is played.
type Environment interface {
	// Network is what a stand-in or the clients use.
	Network(host string) network.Network
	// NewAddress gives an address that nobody uses yet.
	NewAddress() (string, error)
	// NodeDir is where a node keeps its files.
	NodeDir(node int) (string, error)
	// StartNode starts a node with a configuration.
	StartNode(node int, hcl []byte) (Node, error)
	// RecordTolerance is how late records may be here.
	RecordTolerance() time.Duration
}

// Node is a node under a day's control.
type Node interface {
	Kill()                 // at once
	Suspend(time.Duration) // holds it up for a time, and returns then
	Drain() error          // asks it to drain, and waits
}

// ProcessEnvironment plays a day on loopback sockets, each node a process of its own.
type ProcessEnvironment struct {
	Program string // this program
	TempDir string // a directory for configurations, state and logs
}

// Network is the machine's.
func (p *ProcessEnvironment) Network(string) network.Network { return network.OS{} }

// RecordTolerance is generous: the machine may be busy.
func (p *ProcessEnvironment) RecordTolerance() time.Duration { return 60 * time.Millisecond }

// NewAddress finds a port that is free for TCP and UDP.
func (p *ProcessEnvironment) NewAddress() (string, error) {
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		pc, err := net.ListenPacket("udp", l.Addr().String())
		l.Close()
		if err != nil {
			continue
		}
		pc.Close()
		return l.Addr().String(), nil
	}
	return "", fmt.Errorf("no port is free")
}

// NodeDir is a directory below Temp.
func (p *ProcessEnvironment) NodeDir(node int) (string, error) {
	dir := filepath.Join(p.TempDir, fmt.Sprint("node-", node))
	return dir, os.MkdirAll(dir, 0o700)
}

// StartNode runs "serve"; its log goes to a file beside its configuration.
func (p *ProcessEnvironment) StartNode(node int, hcl []byte) (Node, error) {
	dir, err := p.NodeDir(node)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "node.hcl")
	if err := os.WriteFile(path, hcl, 0o600); err != nil {
		return nil, err
	}
	logs, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logs.Close()
	cmd := exec.Command(p.Program, "serve", "-c", path)
	cmd.Stderr = logs
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &process{cmd}, nil
}

type process struct{ cmd *exec.Cmd }

func (p *process) Kill() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

func (p *process) Suspend(d time.Duration) {
	p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.cmd.Process.Signal(syscall.SIGCONT)
}

func (p *process) Drain() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	return p.cmd.Wait()
}

// VirtualEnvironment plays a day in virtual time, in a testing/synctest bubble.
type VirtualEnvironment struct {
	Memory           *network.Memory
	TempDir          string
	Log              io.Writer
	Seed             uint64
	hostCount        int
	wallClockOffsets sync.Map // what a node's wall clock is ahead, by number

	// Defects, to see the audit find them: EditConfig changes a node's configuration,
	// Deafen what it hears of the server list, Carry how its attempts are made.
	EditConfig         func([]byte) []byte
	TransformEndpoints func([]node.Endpoint) []node.Endpoint
	WrapUpstream       func(node.Upstream) node.Upstream
	Pause              pause.Settings // zero: the default
}

// Network is a host of the memory network.
func (b *VirtualEnvironment) Network(host string) network.Network { return b.Memory.Host(host) }

// RecordTolerance is what crossing the network takes.
func (b *VirtualEnvironment) RecordTolerance() time.Duration { return 5 * time.Millisecond }

// NewAddress gives each its own host.
func (b *VirtualEnvironment) NewAddress() (string, error) {
	b.hostCount++
	return fmt.Sprintf("10.0.%d.%d:80", b.hostCount/256, b.hostCount%256), nil
}

// NodeDir is a directory below Temp.
func (b *VirtualEnvironment) NodeDir(node int) (string, error) {
	dir := filepath.Join(b.TempDir, fmt.Sprint("node-", node))
	return dir, os.MkdirAll(dir, 0o700)
}

// SetWallClock sets what a node's wall clock is ahead.
func (b *VirtualEnvironment) SetWallClock(node int, ahead time.Duration) {
	b.wallClockOffsets.Store(node, ahead)
}

// StartNode starts a gateway in this process, on a host of its own.
func (b *VirtualEnvironment) StartNode(number int, hcl []byte) (Node, error) {
	if b.EditConfig != nil {
		hcl = b.EditConfig(hcl)
	}
	cfg, err := config.Parse(hcl, fmt.Sprintf("node-%d.hcl", number))
	if err != nil {
		return nil, err
	}
	b.Seed++
	host := b.Memory.Host(fmt.Sprint("node-", number))
	log := slog.New(slog.NewTextHandler(b.Log, &slog.HandlerOptions{Level: cfg.LogLevel})).With("node", number)
	g, err := gateway.Start(cfg, gateway.Options{Network: host, Log: log, Seed: b.Seed, TransformEndpoints: b.TransformEndpoints, WrapUpstream: b.WrapUpstream, Pause: b.Pause,
		WallClock: func() time.Time {
			ahead, _ := b.wallClockOffsets.Load(number)
			d, _ := ahead.(time.Duration)
			return time.Now().Add(d)
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
