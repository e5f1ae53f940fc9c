// Package processtest has what tests need to run a node in a process of its own.
package processtest

import (
	"bytes"
	"regexp"
	"sync"
)

// AnyPort is an address on loopback at which the kernel chooses the port. A node that listens there logs
// the address that it got, so that no other process can take the port before the node has it.
const AnyPort = "127.0.0.1:0"

// Log is the standard error of a node's process. It may be written and read concurrently.
type Log struct {
	mu       sync.Mutex
	text     bytes.Buffer
	address  string
	listened chan struct{} // closed when address is set
}

// NewLog returns an empty Log.
func NewLog() *Log { return &Log{listened: make(chan struct{})} }

// listeningLine matches the line that a node writes when it has opened a listener.
var listeningLine = regexp.MustCompile(`(?m)^.* msg=listening .*\baddress=(\S+).*\n`)

// Write appends to the log.
func (l *Log) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(text)
	if l.address != "" {
		return len(text), nil
	}
	if match := listeningLine.FindSubmatch(l.text.Bytes()); match != nil {
		l.address = string(match[1])
		close(l.listened)
	}
	return len(text), nil
}

// String returns what was written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Listened returns a channel that is closed when the node has logged the address of its first listener.
func (l *Log) Listened() <-chan struct{} { return l.listened }

// Address returns the address of the node's first listener, or "" if none is logged yet.
func (l *Log) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}
