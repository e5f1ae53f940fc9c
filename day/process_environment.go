package day

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"yardcleat.example/yardcleat/internal/network"
)

// ProcessEnvironment runs scenarios on loopback sockets, with a process for each node. All addresses of a run are
// on a loopback host that no other run uses, so that nodes and fakes can be sure of their ports. Its methods must not
// be called concurrently, except Network and RecordTolerance. The caller must call Close.
type ProcessEnvironment struct {
	Program string // path of the yardcleat program
	TempDir string // a directory for configurations, state and logs

	host        string       // "" until the first address is needed
	reservation net.Listener // held from then on; nil where there is only one loopback host
	lastPort    int
}

// Ports on a loopback host. Outgoing connections have other hosts, so their ports don't matter.
const (
	reservationPort = 20000
	maxPort         = 65535
)

// maxReservationAttempts is the number of loopback hosts that are tried.
const maxReservationAttempts = 100

// Network returns the network of the operating system.
func (p *ProcessEnvironment) Network(string) network.Network { return network.OS{} }

// RecordTolerance returns a large tolerance, because the machine may be busy.
func (p *ProcessEnvironment) RecordTolerance() time.Duration { return 60 * time.Millisecond }

// NewAddress returns an address for TCP and UDP that it has not returned before.
func (p *ProcessEnvironment) NewAddress() (string, error) {
	if p.host == "" {
		if err := p.reserveHost(); err != nil {
			return "", err
		}
	}
	for p.lastPort < maxPort {
		p.lastPort++
		address := net.JoinHostPort(p.host, fmt.Sprint(p.lastPort))
		if canListen(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no port of %s is free for both TCP and UDP", p.host)
}

// reserveHost draws a loopback host for the run and holds a port of it, which keeps other runs from using the host.
// Systems that have 127.0.0.1 alone get that one: there another program may take a port before a node does.
func (p *ProcessEnvironment) reserveHost() error {
	p.lastPort = reservationPort
	for range maxReservationAttempts {
		host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
		reservation, err := net.Listen("tcp", net.JoinHostPort(host, fmt.Sprint(reservationPort)))
		if errors.Is(err, syscall.EADDRNOTAVAIL) {
			p.host = "127.0.0.1"
			return nil
		}
		if err == nil {
			p.host, p.reservation = host, reservation
			return nil
		}
	}
	return errors.New("no loopback host is free")
}

// canListen reports whether an address is free for TCP and UDP.
func canListen(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	packetConn, err := net.ListenPacket("udp", address)
	if err == nil {
		err = packetConn.Close()
	}
	return errors.Join(err, listener.Close()) == nil
}

// Close releases the loopback host.
func (p *ProcessEnvironment) Close() error {
	if p.reservation == nil {
		return nil
	}
	return p.reservation.Close()
}

// NodeDir creates and returns a directory below TempDir.
func (p *ProcessEnvironment) NodeDir(node int) (string, error) {
	dir := filepath.Join(p.TempDir, fmt.Sprint("node-", node))
	return dir, os.MkdirAll(dir, 0o700)
}

// StartError reports that a node's process ended, or did not serve in time, after it was started.
type StartError struct {
	Node int
	Text string // the last line of the node's log
}

func (e *StartError) Error() string { return fmt.Sprintf("node %d did not start: %s", e.Node, e.Text) }

// startTimeout is how long a node may take until it serves.
const startTimeout = 20 * time.Second

// StartNode runs "yardcleat serve", and writes its log to a file next to its configuration. It returns when the node
// serves, or a *StartError.
func (p *ProcessEnvironment) StartNode(node int, hcl []byte) (Node, error) {
	dir, err := p.NodeDir(node)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "node.hcl")
	if err := os.WriteFile(path, hcl, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	log := &startLog{file: logFile, serving: make(chan struct{})}
	cmd := exec.Command(p.Program, "serve", "-c", path)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, logFile.Close())
	}
	started := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		started.err = errors.Join(cmd.Wait(), logFile.Close())
		close(started.exited)
	}()
	select {
	case <-log.serving:
		return started, nil
	case <-started.exited:
	case <-time.After(startTimeout):
		started.Kill()
	}
	return nil, &StartError{Node: node, Text: log.lastLine()}
}

// servingMessage is in the line that a node logs when it serves.
const servingMessage = `"msg":"serving"`

// startLog writes a node's log to its file, and watches it until the node serves.
type startLog struct {
	file    io.Writer
	serving chan struct{} // closed when the node serves

	mu       sync.Mutex
	text     []byte // nil once the node serves
	isServed bool
}

// Write appends to the log.
func (l *startLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isServed {
		l.text = append(l.text, text...)
		if bytes.Contains(l.text, []byte(servingMessage)) {
			l.isServed, l.text = true, nil
			close(l.serving)
		}
	}
	return l.file.Write(text)
}

// lastLine returns the last line that was written before the node served.
func (l *startLog) lastLine() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := strings.TrimSpace(string(l.text))
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// process is a node that runs in a process of its own.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // of the process; may be read only after exited is closed
}

func (p *process) Kill() {
	_ = p.cmd.Process.Kill() // fails if the process has exited
	<-p.exited
}

func (p *process) Suspend(d time.Duration) {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails if the process has exited, which Drain reports
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

func (p *process) Drain() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has exited, which err tells
	<-p.exited
	return p.err
}
