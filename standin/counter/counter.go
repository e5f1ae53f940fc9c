// Package counter is a fake shard of the shared counter: it implements the RESP commands that the
// gateway uses and can inject faults.
package counter

import (
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Server is one shard.
type Server struct {
	mu                sync.Mutex
	respServer        *redcon.Server
	datasets          [2]*dataset // by the parity of the client's node number; the same one unless split
	savedDataset      *dataset
	unresponsive      bool
	refuseConnections bool
	loseReplies       bool // executes commands but sends no replies
	delay             time.Duration
	faultsCleared     chan struct{} // closed when faults are cleared; ends the wait of silent and lose
}

// dataset is the stored data, by key; a hash's values are by field.
type dataset struct {
	values map[string]string
	hashes map[string]map[string]string
}

// mergeHashes adds the fields that only other has, and takes the larger value of integer fields that both have.
func (d *dataset) mergeHashes(other *dataset) {
	for key, hash := range other.hashes {
		if d.hashes[key] == nil {
			d.hashes[key] = map[string]string{}
		}
		for field, value := range hash {
			if old, exists := d.hashes[key][field]; !exists || isLargerInteger(value, old) {
				d.hashes[key][field] = value
			}
		}
	}
}

// isLargerInteger reports whether a value is an integer that is larger than another one.
func isLargerInteger(value, other string) bool {
	n, err := strconv.ParseInt(value, 10, 64)
	m, otherErr := strconv.ParseInt(other, 10, 64)
	return err == nil && otherErr == nil && n > m
}

func newDataset() *dataset { return &dataset{map[string]string{}, map[string]map[string]string{}} }

func (d *dataset) clone() *dataset {
	copied := &dataset{maps.Clone(d.values), map[string]map[string]string{}}
	for key, hash := range d.hashes {
		copied.hashes[key] = maps.Clone(hash)
	}
	return copied
}

// New returns an empty shard.
func New() *Server {
	s := &Server{faultsCleared: make(chan struct{})}
	s.datasets[0] = newDataset()
	s.datasets[1] = s.datasets[0]
	s.respServer = redcon.NewServer("", s.handle, func(redcon.Conn) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.refuseConnections
	}, nil)
	return s
}

// Serve accepts connections on l until Kill is called.
func (s *Server) Serve(l net.Listener) error { return s.respServer.Serve(l) }

// Kill stops the server immediately, ends its faults and closes its connections.
func (s *Server) Kill() {
	s.InjectFault("ok", "")
	s.respServer.Close()
}

// Totals returns the sum of the integer fields of each hash whose key begins with the prefix.
func (s *Server) Totals(prefix string) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := map[string]int64{}
	for key, hash := range s.datasets[0].hashes {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		for _, value := range hash {
			if n, err := strconv.ParseInt(value, 10, 64); err == nil {
				totals[key] += n
			}
		}
	}
	return totals
}

// InjectFault sets a lasting fault: silent (executes nothing and sends no replies), refuse (refuses
// connections and closes existing ones at their next command), lose (executes commands but sends no
// replies), slow (delays commands by the duration arg), or ok (ends all of these). Or it changes the
// stored data once: empty, save, restore (the saved data), split (nodes with even and odd numbers
// use separate copies from then on), or heal (ends a split and keeps the copy of the even nodes, arg
// first, of the odd nodes, arg second, or the larger value of each integer field, arg both).
func (s *Server) InjectFault(fault, arg string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	setBoth := func(d *dataset) { s.datasets[0], s.datasets[1] = d, d }
	switch fault {
	case "ok":
		close(s.faultsCleared)
		s.faultsCleared = make(chan struct{})
		s.unresponsive, s.refuseConnections, s.loseReplies, s.delay = false, false, false, 0
	case "silent":
		s.unresponsive = true
	case "refuse":
		s.refuseConnections = true
	case "lose":
		s.loseReplies = true
	case "slow":
		delay, err := time.ParseDuration(arg)
		if err != nil {
			return fmt.Errorf("slow: %w", err)
		}
		s.delay = delay
	case "empty":
		setBoth(newDataset())
	case "save":
		s.savedDataset = s.datasets[0].clone()
	case "restore":
		if s.savedDataset != nil {
			setBoth(s.savedDataset.clone())
		}
	case "split":
		s.datasets[1] = s.datasets[0].clone()
	case "heal":
		switch arg {
		case "first":
			setBoth(s.datasets[0])
		case "second":
			setBoth(s.datasets[1])
		case "both":
			s.datasets[0].mergeHashes(s.datasets[1])
			setBoth(s.datasets[0])
		default:
			return fmt.Errorf("heal: argument must be first, second or both, got %q", arg)
		}
	default:
		return fmt.Errorf("unknown fault %q", fault)
	}
	return nil
}

// handle executes a command and replies to it, subject to the faults.
func (s *Server) handle(c redcon.Conn, cmd redcon.Command) {
	args := make([]string, len(cmd.Args))
	for i, a := range cmd.Args {
		args[i] = string(a)
	}
	name := strings.ToUpper(args[0])
	if name == "CLIENT" && len(args) == 3 && strings.EqualFold(args[1], "SETNAME") {
		c.SetContext(args[2])
	}
	s.mu.Lock()
	unresponsive, loseReplies, delay, refuseConnections, faultsCleared := s.unresponsive, s.loseReplies, s.delay, s.refuseConnections, s.faultsCleared
	s.mu.Unlock()
	if refuseConnections {
		c.Close()
		return
	}
	if unresponsive {
		<-faultsCleared
		c.Close()
		return
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	s.mu.Lock()
	reply := s.execute(c, name, args[1:])
	s.mu.Unlock()
	if loseReplies {
		<-faultsCleared
		c.Close()
		return
	}
	reply()
}

// execute executes a command and returns a function that writes the reply.
func (s *Server) execute(c redcon.Conn, name string, args []string) (reply func()) {
	d := s.datasets[0]
	if clientName, _ := c.Context().(string); clientName != "" {
		if n, err := strconv.Atoi(strings.TrimPrefix(clientName, "node-")); err == nil {
			d = s.datasets[n%2]
		}
	}
	minArgs := map[string]int{"GET": 1, "SET": 2, "SETNX": 2, "HGETALL": 1, "HSET": 3, "HSETNX": 3, "PEXPIRE": 2}
	if len(args) < minArgs[name] {
		return func() { c.WriteError("ERR wrong number of arguments for '" + name + "'") }
	}
	replyBool := func(b bool) func() {
		if b {
			return func() { c.WriteInt(1) }
		}
		return func() { c.WriteInt(0) }
	}
	switch name {
	case "PING":
		return func() { c.WriteString("PONG") }
	case "CLIENT":
		return func() { c.WriteString("OK") }
	case "GET":
		value, ok := d.values[args[0]]
		if !ok {
			return c.WriteNull
		}
		return func() { c.WriteBulkString(value) }
	case "SET":
		_, exists := d.values[args[0]]
		if exists && len(args) > 2 && strings.EqualFold(args[2], "NX") {
			return c.WriteNull
		}
		d.values[args[0]] = args[1]
		return func() { c.WriteString("OK") }
	case "SETNX":
		_, exists := d.values[args[0]]
		if !exists {
			d.values[args[0]] = args[1]
		}
		return replyBool(!exists)
	case "HGETALL":
		hash := maps.Clone(d.hashes[args[0]])
		return func() {
			c.WriteArray(2 * len(hash))
			for field, value := range hash {
				c.WriteBulkString(field)
				c.WriteBulkString(value)
			}
		}
	case "HSET", "HSETNX":
		hash := d.hashes[args[0]]
		if hash == nil {
			hash = map[string]string{}
			d.hashes[args[0]] = hash
		}
		added := 0
		for i := 1; i+1 < len(args); i += 2 {
			_, exists := hash[args[i]]
			if exists && name == "HSETNX" {
				continue
			}
			if !exists {
				added++
			}
			hash[args[i]] = args[i+1]
		}
		return func() { c.WriteInt(added) }
	case "PEXPIRE": // nothing expires: a test is shorter than the retention
		_, exists := d.hashes[args[0]]
		return replyBool(exists)
	}
	return func() { c.WriteError("ERR unknown command '" + name + "'") }
}
