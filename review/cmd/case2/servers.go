package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/review/platform"
)

// world has the app servers of the case, and what they remember.
type world struct {
	record  *platform.Record
	trouble bool
	list    *platform.EndpointList
	servers []*server

	mu          sync.Mutex
	keys        map[string]*keyState
	connections int // made by nodes
	late        int // of these: made while the listener was blocked or until a second later
}

// keyState is what the group of a key's first app server remembers. The other group does not have it.
type keyState struct {
	group   int
	fails   bool      // the first attempt is answered with an error, after it ran
	firstAt time.Time // when the request first came whole
	runs    int
}

// server is one app server.
type server struct {
	world     *world
	name      string
	group     int
	listener  *platform.LateListener
	http      *http.Server
	blockedAt atomic.Int64 // Unix time in ns of the last Block

	mu   sync.Mutex
	idle map[net.Conn]bool
}

func newWorld(o *platform.Options) (*world, error) {
	w := &world{record: o.Record, trouble: o.Trouble, list: platform.NewEndpointList(), keys: map[string]*keyState{}}
	for i := range groups * groupSize {
		s := &server{world: w, name: fmt.Sprintf("s-%d", i+1), group: i/groupSize + 1, idle: map[net.Conn]bool{}}
		var err error
		if s.listener, err = platform.NewLateListener(); err != nil {
			return nil, err
		}
		s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.trackConnection, ReadHeaderTimeout: time.Minute}
		go func() { _ = s.http.Serve(s.listener) }()
		w.servers = append(w.servers, s)
		w.list.Set(platform.Endpoint{Name: s.name, Address: s.listener.Addr().String(), Zone: "room-a", Type: "std", Group: s.group, Status: "ready", Weight: 1})
	}
	return w, nil
}

func (s *server) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	switch state {
	case http.StateNew:
		s.world.countConnection(time.Since(time.Unix(0, s.blockedAt.Load())) < blockTime+time.Second)
	case http.StateIdle:
		s.idle[c] = true
	}
}

func (w *world) countConnection(late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connections++
	if late {
		w.late++
	}
}

// closeIdle closes the connections on which no request is open, as an app server may at any time.
func (s *server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		_ = c.Close()
	}
	clear(s.idle)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
	if key == "" {
		s.world.record.Printf("%s: runs lookup %s", s.name, id)
		time.Sleep(lookupWork)
		w.Header().Set("Connection", "close") // so that most attempts of lookups make a connection
		_, _ = io.WriteString(w, "record for "+id)
		return
	}
	s.serveLoan(w, id, key, len(body))
}

// serveLoan runs a loan, unless the group still remembers its key.
func (s *server) serveLoan(w http.ResponseWriter, id, key string, size int) {
	fails, run, age := s.world.begin(key, s.group)
	s.world.record.Printf("%s (group %d): got loan %s whole, %d bytes, %d ms after its first attempt: run %t", s.name, s.group, key, size,
		age.Milliseconds(), run)
	if !fails {
		_, _ = io.WriteString(w, "loan for "+id)
		return
	}
	s.disturbSibling()
	time.Sleep(loanWork)
	s.world.record.Printf("%s: answers loan %s with 500 after it ran", s.name, key)
	w.WriteHeader(http.StatusInternalServerError)
}

// begin reports whether an attempt is answered with an error, whether it runs, and the time since the first of its key.
func (w *world) begin(key string, group int) (fails, run bool, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.keys[key]
	first := k == nil
	if first {
		k = &keyState{group: group, firstAt: time.Now(), fails: len(w.keys)%failingShare == failingShare-1}
		w.keys[key] = k
	}
	age = time.Since(k.firstAt)
	if run = first || k.group != group || age > window+windowSlack; run {
		k.runs++
	}
	return first && k.fails, run, age
}

// disturbSibling closes the idle connections to the other app server of the group. With the disruption it also has
// new connections to it come up late, by about a second.
func (s *server) disturbSibling() {
	for _, other := range s.world.servers {
		if other == s || other.group != s.group {
			continue
		}
		if s.world.trouble {
			other.blockedAt.Store(time.Now().UnixNano())
			if err := other.listener.Block(); err != nil {
				s.world.record.Printf("%s: cannot block: %v", other.name, err)
			}
			s.world.record.Printf("%s: connections come up late from now on", other.name)
			time.AfterFunc(blockTime, other.listener.Unblock)
		}
		other.closeIdle()
	}
}
