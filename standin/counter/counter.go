// Package counter is a small stand-in for one part of the shared counter: the
// few commands of RESP that are needed, with faults on demand.
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

// Server is one part.
type Server struct {
	mu     sync.Mutex
	rs     *redcon.Server
	side   [2]*data // by the node that asks; one but for a split
	saved  *data
	silent bool
	refuse bool
	lose   bool // does what it is told, and answers nothing
	slow   time.Duration
	freed  chan struct{} // closed when a silence ends
}

type data struct {
	values map[string]string
	hashes map[string]map[string]string
}

func newData() *data { return &data{map[string]string{}, map[string]map[string]string{}} }

func (d *data) clone() *data {
	c := &data{maps.Clone(d.values), map[string]map[string]string{}}
	for k, h := range d.hashes {
		c.hashes[k] = maps.Clone(h)
	}
	return c
}

// New returns an empty part.
func New() *Server {
	s := &Server{freed: make(chan struct{})}
	s.side[0] = newData()
	s.side[1] = s.side[0]
	s.rs = redcon.NewServer("", s.handle, func(redcon.Conn) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.refuse
	}, nil)
	return s
}

// Serve serves until Kill.
func (s *Server) Serve(l net.Listener) error { return s.rs.Serve(l) }

// Kill ends the server and its connections at once.
func (s *Server) Kill() {
	s.InjectFault("ok", "")
	s.rs.Close()
}

// Totals sums the fields of each hash whose name begins with a prefix, but those
// that are not numbers.
func (s *Server) Totals(prefix string) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for key, h := range s.side[0].hashes {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		for _, v := range h {
			if n, err := strconv.ParseInt(v, 10, 64); err == nil {
				out[key] += n
			}
		}
	}
	return out
}

// InjectFault sets a fault: silent, refuse, lose, slow (a duration), ok; or does one:
// empty, save, restore (what was saved), split (nodes of even and odd numbers
// part ways), heal (first, second or both).
func (s *Server) InjectFault(fault, arg string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	both := func(d *data) { s.side[0], s.side[1] = d, d }
	switch fault {
	case "ok":
		close(s.freed)
		s.freed = make(chan struct{})
		s.silent, s.refuse, s.lose, s.slow = false, false, false, 0
	case "silent":
		s.silent = true
	case "refuse":
		s.refuse = true
	case "lose":
		s.lose = true
	case "slow":
		d, err := time.ParseDuration(arg)
		if err != nil {
			return fmt.Errorf("slow: %w", err)
		}
		s.slow = d
	case "empty":
		both(newData())
	case "save":
		s.saved = s.side[0].clone()
	case "restore":
		if s.saved != nil {
			both(s.saved.clone())
		}
	case "split":
		s.side[1] = s.side[0].clone()
	case "heal":
		switch arg {
		case "first":
			both(s.side[0])
		case "second":
			both(s.side[1])
		case "both":
			for k, h := range s.side[1].hashes {
				if s.side[0].hashes[k] == nil {
					s.side[0].hashes[k] = map[string]string{}
				}
				for f, v := range h {
					old, _ := strconv.ParseInt(s.side[0].hashes[k][f], 10, 64)
					if n, err := strconv.ParseInt(v, 10, 64); err == nil && n > old {
						s.side[0].hashes[k][f] = v
					}
				}
			}
			both(s.side[0])
		default:
			return fmt.Errorf("heal: %q is not first, second or both", arg)
		}
	default:
		return fmt.Errorf("fault %q is unknown", fault)
	}
	return nil
}

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
	silent, lose, slow, refuse, freed := s.silent, s.lose, s.slow, s.refuse, s.freed
	s.mu.Unlock()
	if refuse {
		c.Close()
		return
	}
	if silent {
		<-freed
		c.Close()
		return
	}
	if slow > 0 {
		time.Sleep(slow)
	}
	s.mu.Lock()
	answer := s.run(c, name, args[1:])
	s.mu.Unlock()
	if lose {
		<-freed
		c.Close()
		return
	}
	answer()
}

// run carries out a command and returns how to answer it.
func (s *Server) run(c redcon.Conn, name string, args []string) (answer func()) {
	d := s.side[0]
	if who, _ := c.Context().(string); who != "" {
		if n, err := strconv.Atoi(strings.TrimPrefix(who, "node-")); err == nil {
			d = s.side[n%2]
		}
	}
	need := map[string]int{"GET": 1, "SET": 2, "SETNX": 2, "HGETALL": 1, "HSET": 3, "HSETNX": 3, "PEXPIRE": 2}
	if len(args) < need[name] {
		return func() { c.WriteError("ERR wrong number of arguments for '" + name + "'") }
	}
	bit := func(b bool) func() {
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
		v, ok := d.values[args[0]]
		if !ok {
			return c.WriteNull
		}
		return func() { c.WriteBulkString(v) }
	case "SET":
		_, have := d.values[args[0]]
		if have && len(args) > 2 && strings.EqualFold(args[2], "NX") {
			return c.WriteNull
		}
		d.values[args[0]] = args[1]
		return func() { c.WriteString("OK") }
	case "SETNX":
		_, have := d.values[args[0]]
		if !have {
			d.values[args[0]] = args[1]
		}
		return bit(!have)
	case "HGETALL":
		h := maps.Clone(d.hashes[args[0]])
		return func() {
			c.WriteArray(2 * len(h))
			for f, v := range h {
				c.WriteBulkString(f)
				c.WriteBulkString(v)
			}
		}
	case "HSET", "HSETNX":
		h := d.hashes[args[0]]
		if h == nil {
			h = map[string]string{}
			d.hashes[args[0]] = h
		}
		added := 0
		for i := 1; i+1 < len(args); i += 2 {
			_, have := h[args[i]]
			if have && name == "HSETNX" {
				continue
			}
			if !have {
				added++
			}
			h[args[i]] = args[i+1]
		}
		return func() { c.WriteInt(added) }
	case "PEXPIRE": // what is kept is kept for the length of a test
		_, have := d.hashes[args[0]]
		return bit(have)
	}
	return func() { c.WriteError("ERR unknown command '" + name + "'") }
}
