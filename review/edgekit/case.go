package edgekit

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// MaxTime is the longest time that a case takes.
const MaxTime = 115 * time.Second

// Exit codes of a case.
const (
	exitKept   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Case is a case that is being played.
type Case struct {
	Root    string // of the repository
	Dir     string // a temporary folder
	Trouble bool   // the disruption happens
	Record  *Record

	mu      sync.Mutex
	broken  int
	closers []func()
}

// Play plays a case and ends the process with 1 if it called Broken, 2 if it returned an error, 0 otherwise.
// Whatever was passed to Defer is called before, in reverse order.
func Play(play func(*Case) error) {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	os.Exit(run(*root, *record, play))
}

func run(root, record string, play func(*Case) error) int {
	c := &Case{Root: root, Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if c.Record, err = NewRecord(record); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer c.Record.Close()
	if c.Dir, err = os.MkdirTemp("", "case"); err != nil {
		c.Record.Say("not run: %v", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(c.Dir) }()
	defer c.close()
	return c.outcome(play)
}

// outcome plays the case and returns its exit code.
func (c *Case) outcome(play func(*Case) error) int {
	ended := make(chan error, 1)
	go func() { ended <- play(c) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var err error
	select {
	case err = <-ended:
	case s := <-interrupted:
		err = fmt.Errorf("signal: %v", s)
	case <-time.After(MaxTime):
		err = fmt.Errorf("the case takes longer than %v", MaxTime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken > 0:
		c.Record.Say("the rule was broken: %d times", c.broken)
		return exitBroken
	case err != nil:
		c.Record.Say("not run: %v", err)
		return exitNotRun
	}
	c.Record.Say("the rule held")
	return exitKept
}

// Defer has a function called when the case ends.
func (c *Case) Defer(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, f)
}

func (c *Case) close() {
	c.mu.Lock()
	closers := c.closers
	c.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

// maxSaid is how many breaks are also written to standard output.
const maxSaid = 5

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.mu.Lock()
	c.broken++
	n := c.broken
	c.mu.Unlock()
	if n <= maxSaid {
		c.Record.Say("BROKEN: "+format, args...)
		return
	}
	c.Record.Line("BROKEN: "+format, args...)
}

// StartNode starts a node, and ends it when the case ends.
func (c *Case) StartNode(config *Config) (*Node, error) {
	n, err := StartNode(c.Root, config, c.Dir)
	if err != nil {
		return nil, err
	}
	c.Record.Say("%s: ready at %s, process %d", config.Name, n.Address, n.PID())
	c.Defer(n.Kill)
	return n, nil
}

// StartServers starts app servers with one behavior, named PREFIX0 and so on, and returns them with their entries
// in the list.
func (c *Case) StartServers(prefix string, count int, handle func(Arrival) Answer) ([]*AppServer, []Endpoint, error) {
	var servers []*AppServer
	var list []Endpoint
	for i := range count {
		s, err := StartAppServer(fmt.Sprintf("%s%d", prefix, i), func(a Arrival) Answer {
			c.Record.Line("%s got %s", a.Server, a.ID)
			return handle(a)
		})
		if err != nil {
			return nil, nil, err
		}
		c.Defer(s.Close)
		servers = append(servers, s)
		list = append(list, Endpoint{Name: s.Name, Address: s.Address, Zone: "a", Type: "std", Group: i, Status: "ready", Weight: 1})
	}
	return servers, list, nil
}

// RecordLists records the lists that a discovery writes, but for empty answers to watches.
func (c *Case) RecordLists(name string, d *Discovery) {
	d.OnSent(func(l List, _ int) {
		if l.Snapshot || len(l.Endpoints) > 0 {
			c.Record.Line("the %s address of discovery wrote index %d, whole %v: %+v", name, l.Index, l.Snapshot, l.Endpoints)
		}
	})
}

// StartDiscovery starts a discovery, and ends it when the case ends.
func (c *Case) StartDiscovery(list []Endpoint) (*Discovery, error) {
	d, err := StartDiscovery(list)
	if err == nil {
		c.Defer(d.Close)
	}
	return d, err
}
