// Package edgekit has stand-ins of the users' platform for the cases of the second review: discovery, app
// servers and clients on loopback, the start of an edge node by the command of the deploy file, and a record of
// what was sent and answered.
package edgekit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the record of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() }

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Limits are the limits of a node, as the platform's configuration states them.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration of a node.
type Config struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	PeerListen string          `json:"peer_listen,omitempty"`
	Peers      []string        `json:"peers,omitempty"`
	Known      json.RawMessage `json:"known,omitempty"`
	Settings   json.RawMessage `json:"settings"`
}

// Write writes the configuration to a file, by replacement.
func (c *Config) Write(path string) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Node is a running edge node.
type Node struct {
	Address    string
	ConfigPath string
	cmd        *exec.Cmd
	done       chan struct{}
	err        error
}

// RunCommand returns the command run of the deploy file in the root of the repository.
func RunCommand(root string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", errors.New("deploy/balancer.toml has no line run")
}

// StartNode starts a node from the root of the repository, as the platform does, and waits until it is ready.
func StartNode(root string, config *Config, dir string) (*Node, error) {
	path := filepath.Join(dir, config.Name+".json")
	if err := config.Write(path); err != nil {
		return nil, err
	}
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, config.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME="+config.Name,
		"NODE_LISTEN="+config.Listen, "NODE_DISCOVERY="+config.Discovery, "TMPDIR="+dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n := &Node{Address: config.Listen, ConfigPath: path, cmd: cmd, done: make(chan struct{})}
	go func() {
		n.err = cmd.Wait()
		close(n.done)
	}()
	if err := n.awaitReady(); err != nil {
		n.Kill()
		return nil, err
	}
	return n, nil
}

// awaitReady waits until the node answers /up with 200.
func (n *Node) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		if n.Ended() {
			return fmt.Errorf("the node ended: %w", n.err)
		}
		c, err := Dial(n.Address)
		if err == nil {
			a := c.Exchange("GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n", "GET", time.Second)
			c.Close()
			if a.Status == 200 {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the node is not ready after 30 s")
}

// PID returns the process ID.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process, which this program started.
func (n *Node) Signal(s os.Signal) { _ = n.cmd.Process.Signal(s) }

// AwaitEnd waits until the process has ended, and reports whether it did in time.
func (n *Node) AwaitEnd(timeout time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill()
	<-n.done
}

// MemoryKB returns a figure of /proc/PID/status in KiB, such as VmRSS or VmHWM.
func (n *Node) MemoryKB(key string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, key+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// Descriptors returns the number of open descriptors and how many of them are sockets.
func (n *Node) Descriptors() (all, sockets int) {
	folder := fmt.Sprintf("/proc/%d/fd", n.PID())
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0, 0
	}
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(folder, entry.Name()))
		if err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return len(entries), sockets
}
