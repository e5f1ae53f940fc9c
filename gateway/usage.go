package gateway

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/storage"
	"yardcleat.example/yardcleat/usage"
	"yardcleat.example/yardcleat/usage/rediscounter"
)

const (
	tallyTick  = 100 * time.Millisecond
	saveEvery  = time.Second
	tallyMail  = 0.05 // of the mail that a node takes in; the module's reports have 0.85
	tallyMark  = 'T'  // first byte of its messages; the module's begin with their version
	tallyEntry = 8 + 4 + 8
	saveAtOnce = 2000 // accounts looked at in one turn of the loop
)

// usageRecorder runs a Tally in the node's loop, and carries out what it says.
type usageRecorder struct {
	g       *Gateway
	t       *usage.Tally
	client  *rediscounter.Client
	tell    func(to int, data []byte)
	names   map[uint64]string // of customers, by hash
	peers   map[string][]int
	inc     uint64
	unsaved []usage.Register // that storage could not take
}

// newLedger opens what a tally needs. It is nil where no counter is configured.
func (g *Gateway) newLedger(inc uint64, tell func(int, []byte)) (*usageRecorder, *storage.Store, error) {
	c := g.cfg.Counter
	if c == nil {
		return nil, nil, nil
	}
	gateways := len(g.cfg.Peers.Addresses) + 1
	set := usage.Settings{Me: usage.Owner{Node: g.cfg.Number, Incarnation: inc}, Parts: len(c.Addresses), Window: c.Window,
		Keep: int(c.Keep / c.Window), Calls: c.Calls / float64(gateways), Mail: g.cfg.Peers.MailPerSecond * tallyMail,
		Rates: map[string]usage.Plan{}}
	for _, p := range g.cfg.Plans {
		set.Rates[p.Name] = usage.Plan{Rate: p.Rate, Burst: p.Burst}
	}
	l := &usageRecorder{g: g, t: usage.New(set), tell: tell, names: map[uint64]string{}, peers: map[string][]int{}, inc: inc}
	for _, cu := range g.cfg.Customers {
		l.names[xxhash.Sum64String(cu.Name)] = cu.Name
	}
	l.place(gateways)
	l.client = rediscounter.New(rediscounter.Options{Network: g.o.Network, Addresses: c.Addresses,
		Name: fmt.Sprintf("node-%d", g.cfg.Number), Limit: c.Limit, Keep: c.Keep})
	g.closes = append(g.closes, l.client.Close)
	if g.cfg.StateDir == "" {
		return l, nil, nil
	}
	db, list, aside, err := storage.Open(filepath.Join(g.cfg.StateDir, "tally"), g.cfg.Number)
	if err != nil {
		return nil, nil, err
	}
	if aside != nil {
		g.o.Log.Warn("the stored totals are left aside", "error", aside)
	}
	g.closes = append(g.closes, func() { db.Close() })
	l.t.Recall(l.g.o.Wall(), list)
	return l, db, nil
}

// place says which nodes customers come in through, in a fleet of a size.
func (l *usageRecorder) place(gateways int) {
	clear(l.peers)
	for _, cu := range l.g.cfg.Customers {
		for i := range min(cu.Nodes, gateways) {
			l.peers[cu.Name] = append(l.peers[cu.Name], (cu.First+i)%gateways)
		}
	}
}

// resize follows a change of the fleet, in the node's loop.
func (l *usageRecorder) resize(gateways int) {
	l.place(gateways)
	l.t.Share(l.g.cfg.Counter.Calls / float64(gateways))
}

// RequestSeen and Passed are the node's words, in its loop.
func (l *usageRecorder) RequestSeen(t *node.Request) {
	l.carry(l.t.Seen(l.g.o.Wall(), t.Customer, t.Plan, l.peers[t.Customer]))
}

func (l *usageRecorder) RequestForwarded(t *node.Request) {
	l.t.Passed(l.g.o.Wall(), t.Customer, t.Plan, l.peers[t.Customer], t.Units)
}

// run ticks, and saves in groups: it costs requests nothing but the copy.
func (l *usageRecorder) run(ctx context.Context, db *storage.Store) {
	tick := time.NewTicker(tallyTick)
	defer tick.Stop()
	saved := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			if db != nil && !l.g.killed.Load() {
				l.save(context.Background(), db) // the node's loop ends after this
			}
			return
		}
		l.g.node.Do(func() { l.carry(l.t.Tick(l.g.o.Wall())) })
		if db != nil && time.Since(saved) >= saveEvery {
			saved = time.Now()
			l.save(ctx, db)
		}
	}
}

// save stores what has changed, some accounts at a time: each look takes the loop
// well under a millisecond.
func (l *usageRecorder) save(ctx context.Context, db *storage.Store) {
	for more := true; more; {
		lists := make(chan []usage.Register, 1)
		l.g.node.Do(func() {
			var list []usage.Register
			list, more = l.t.Changes(l.g.o.Wall(), saveAtOnce)
			lists <- list
		})
		select {
		case list := <-lists:
			// What could not be stored is tried again with the next.
			if l.unsaved = append(l.unsaved, list...); len(l.unsaved) == 0 {
				return
			}
			slices.SortStableFunc(l.unsaved, func(a, b usage.Register) int { // bbolt takes keys in order best
				return cmp.Or(cmp.Compare(a.Owner.Incarnation, b.Owner.Incarnation), cmp.Compare(a.Key.Window, b.Key.Window),
					cmp.Compare(a.Key.Customer, b.Key.Customer))
			})
			if err := db.Save(l.unsaved); err != nil {
				l.g.o.Log.Error("totals can't be stored; the node serves on", "error", err)
				return
			}
			l.unsaved = nil
		case <-ctx.Done():
			return
		}
	}
}

// carry carries out actions, in the loop.
func (l *usageRecorder) carry(acts []usage.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case usage.Call:
			l.client.Do(a, func(ans usage.Answer) {
				l.g.node.Do(func() { l.carry(l.t.Answered(l.g.o.Wall(), a.ID, ans)) })
			})
		case usage.Tell:
			l.tell(a.To, l.encode(a.Registers))
		case usage.Restore:
			l.g.node.SetUsageLevel(a.Customer, a.Units)
		case usage.Note:
			log := l.g.o.Log.Warn
			if a.State == usage.Sound {
				log = l.g.o.Log.Info
			}
			log("counter is "+a.State.String(), "part", a.Part, "evidence", a.Text)
		}
	}
}

// encode makes a message of registers of this process.
func (l *usageRecorder) encode(list []usage.Register) []byte {
	b := make([]byte, 0, 9+tallyEntry*len(list))
	b = binary.BigEndian.AppendUint64(append(b, tallyMark), l.inc)
	for _, r := range list {
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64String(r.Key.Customer))
		b = binary.BigEndian.AppendUint32(b, uint32(r.Key.Window))
		b = binary.BigEndian.AppendUint64(b, uint64(r.Units))
	}
	return b
}

// heard takes a message; false where it is not one of these.
func (l *usageRecorder) heard(from int, b []byte) bool {
	if len(b) == 0 || b[0] != tallyMark {
		return false
	}
	if list, ok := l.decode(from, b); ok {
		l.g.node.Do(func() { l.t.Heard(l.g.o.Wall(), from, list) })
	}
	return true
}

// decode reads a message that begins with tallyMark, and leaves out customers not
// known here; a malformed one, of a newer version, is not ok.
func (l *usageRecorder) decode(from int, b []byte) (list []usage.Register, ok bool) {
	if len(b) < 9 || (len(b)-9)%tallyEntry != 0 {
		return nil, false
	}
	owner := usage.Owner{Node: from, Incarnation: binary.BigEndian.Uint64(b[1:])}
	for b = b[9:]; len(b) > 0; b = b[tallyEntry:] {
		name, known := l.names[binary.BigEndian.Uint64(b)]
		if units := binary.BigEndian.Uint64(b[12:]); known && units < 1<<62 {
			list = append(list, usage.Register{Key: usage.Key{Customer: name, Window: int64(binary.BigEndian.Uint32(b[8:]))},
				Owner: owner, Units: usage.Milli(units)})
		}
	}
	return list, true
}

var _ node.UsageRecorder = (*usageRecorder)(nil)
