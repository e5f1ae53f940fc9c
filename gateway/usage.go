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
	usageTickInterval     = 100 * time.Millisecond
	usageSaveInterval     = time.Second
	usageMessageShare     = 0.05 // of the mail that a node takes in; the module's reports have 0.85
	usageMessageMark      = 'T'  // first byte of its messages; the module's begin with their version
	usageMessageEntrySize = 8 + 4 + 8
	maxTotalsPerSave      = 2000 // accounts looked at in one turn of the loop
)

// usageRecorder runs a Tally in the node's loop, and carries out what it says.
type usageRecorder struct {
	gateway         *Gateway
	tracker         *usage.Tracker
	client          *rediscounter.Client
	sendToPeer      func(to int, data []byte)
	customerByHash  map[uint64]string // of customers, by hash
	peersByCustomer map[string][]int
	incarnation     uint64
	unsaved         []usage.CounterEntry // that storage could not take
}

// newUsageRecorder opens what a tally needs. It is nil where no counter is configured.
func (g *Gateway) newUsageRecorder(inc uint64, tell func(int, []byte)) (*usageRecorder, *storage.Store, error) {
	c := g.cfg.Counter
	if c == nil {
		return nil, nil, nil
	}
	gateways := len(g.cfg.Peers.Addresses) + 1
	set := usage.Settings{Self: usage.WriterID{Node: g.cfg.Number, Incarnation: inc}, Shards: len(c.Addresses), Window: c.Window,
		RetainedWindows: int(c.Keep / c.Window), CallsPerSecond: c.Calls / float64(gateways), PeerMessagesPerSecond: g.cfg.Peers.MailPerSecond * usageMessageShare,
		Plans: map[string]usage.Plan{}}
	for _, p := range g.cfg.Plans {
		set.Plans[p.Name] = usage.Plan{Rate: p.Rate, Burst: p.Burst}
	}
	l := &usageRecorder{gateway: g, tracker: usage.New(set), sendToPeer: tell, customerByHash: map[uint64]string{}, peersByCustomer: map[string][]int{}, incarnation: inc}
	for _, cu := range g.cfg.Customers {
		l.customerByHash[xxhash.Sum64String(cu.Name)] = cu.Name
	}
	l.assignPeers(gateways)
	l.client = rediscounter.New(rediscounter.Options{Network: g.o.Network, Addresses: c.Addresses,
		ClientName: fmt.Sprintf("node-%d", g.cfg.Number), Timeout: c.Limit, Retention: c.Keep})
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
	l.tracker.LoadStored(l.gateway.o.Wall(), list)
	return l, db, nil
}

// assignPeers says which nodes customers come in through, in a fleet of a size.
func (l *usageRecorder) assignPeers(gateways int) {
	clear(l.peersByCustomer)
	for _, cu := range l.gateway.cfg.Customers {
		for i := range min(cu.Nodes, gateways) {
			l.peersByCustomer[cu.Name] = append(l.peersByCustomer[cu.Name], (cu.First+i)%gateways)
		}
	}
}

// resize follows a change of the fleet, in the node's loop.
func (l *usageRecorder) resize(gateways int) {
	l.assignPeers(gateways)
	l.tracker.SetCallsPerSecond(l.gateway.cfg.Counter.Calls / float64(gateways))
}

// RequestSeen and Passed are the node's words, in its loop.
func (l *usageRecorder) RequestSeen(t *node.Request) {
	l.perform(l.tracker.RecordRequest(l.gateway.o.Wall(), t.Customer, t.Plan, l.peersByCustomer[t.Customer]))
}

func (l *usageRecorder) RequestForwarded(t *node.Request) {
	l.tracker.RecordForwarded(l.gateway.o.Wall(), t.Customer, t.Plan, l.peersByCustomer[t.Customer], t.Units)
}

// run ticks, and saves in groups: it costs requests nothing but the copy.
func (l *usageRecorder) run(ctx context.Context, db *storage.Store) {
	tick := time.NewTicker(usageTickInterval)
	defer tick.Stop()
	saved := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			if db != nil && !l.gateway.killed.Load() {
				l.save(context.Background(), db) // the node's loop ends after this
			}
			return
		}
		l.gateway.node.Do(func() { l.perform(l.tracker.Tick(l.gateway.o.Wall())) })
		if db != nil && time.Since(saved) >= usageSaveInterval {
			saved = time.Now()
			l.save(ctx, db)
		}
	}
}

// save stores what has changed, some accounts at a time: each look takes the loop
// well under a millisecond.
func (l *usageRecorder) save(ctx context.Context, db *storage.Store) {
	for more := true; more; {
		lists := make(chan []usage.CounterEntry, 1)
		l.gateway.node.Do(func() {
			var list []usage.CounterEntry
			list, more = l.tracker.StorageChanges(l.gateway.o.Wall(), maxTotalsPerSave)
			lists <- list
		})
		select {
		case list := <-lists:
			// What could not be stored is tried again with the next.
			if l.unsaved = append(l.unsaved, list...); len(l.unsaved) == 0 {
				return
			}
			slices.SortStableFunc(l.unsaved, func(a, b usage.CounterEntry) int { // bbolt takes keys in order best
				return cmp.Or(cmp.Compare(a.Writer.Incarnation, b.Writer.Incarnation), cmp.Compare(a.Key.Window, b.Key.Window),
					cmp.Compare(a.Key.Customer, b.Key.Customer))
			})
			if err := db.Save(l.unsaved); err != nil {
				l.gateway.o.Log.Error("totals can't be stored; the node serves on", "error", err)
				return
			}
			l.unsaved = nil
		case <-ctx.Done():
			return
		}
	}
}

// perform carries out actions, in the loop.
func (l *usageRecorder) perform(acts []usage.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case usage.CounterCall:
			l.client.Do(a, func(ans usage.CounterResponse) {
				l.gateway.node.Do(func() { l.perform(l.tracker.HandleResponse(l.gateway.o.Wall(), a.ID, ans)) })
			})
		case usage.PeerMessage:
			l.sendToPeer(a.To, l.encode(a.Entries))
		case usage.RestoreLevel:
			l.gateway.node.SetUsageLevel(a.Customer, a.Units)
		case usage.OperatorNote:
			log := l.gateway.o.Log.Warn
			if a.State == usage.Healthy {
				log = l.gateway.o.Log.Info
			}
			log("counter shard state changed", "shard", a.Shard, "state", a.State.String(), "evidence", a.Evidence.String())
		}
	}
}

// encode makes a message of registers of this process.
func (l *usageRecorder) encode(list []usage.CounterEntry) []byte {
	b := make([]byte, 0, 9+usageMessageEntrySize*len(list))
	b = binary.BigEndian.AppendUint64(append(b, usageMessageMark), l.incarnation)
	for _, r := range list {
		b = binary.BigEndian.AppendUint64(b, xxhash.Sum64String(r.Key.Customer))
		b = binary.BigEndian.AppendUint32(b, uint32(r.Key.Window))
		b = binary.BigEndian.AppendUint64(b, uint64(r.Units))
	}
	return b
}

// receivePeerMessage takes a message; false where it is not one of these.
func (l *usageRecorder) receivePeerMessage(from int, b []byte) bool {
	if len(b) == 0 || b[0] != usageMessageMark {
		return false
	}
	if list, ok := l.decode(from, b); ok {
		l.gateway.node.Do(func() { l.tracker.MergeFromPeer(l.gateway.o.Wall(), from, list) })
	}
	return true
}

// decode reads a message that begins with tallyMark, and leaves out customers not
// known here; a malformed one, of a newer version, is not ok.
func (l *usageRecorder) decode(from int, b []byte) (list []usage.CounterEntry, ok bool) {
	if len(b) < 9 || (len(b)-9)%usageMessageEntrySize != 0 {
		return nil, false
	}
	owner := usage.WriterID{Node: from, Incarnation: binary.BigEndian.Uint64(b[1:])}
	for b = b[9:]; len(b) > 0; b = b[usageMessageEntrySize:] {
		name, known := l.customerByHash[binary.BigEndian.Uint64(b)]
		if units := binary.BigEndian.Uint64(b[12:]); known && units < 1<<62 {
			list = append(list, usage.CounterEntry{Key: usage.TotalKey{Customer: name, Window: int64(binary.BigEndian.Uint32(b[8:]))},
				Writer: owner, Units: usage.MilliUnits(units)})
		}
	}
	return list, true
}

var _ node.UsageRecorder = (*usageRecorder)(nil)
