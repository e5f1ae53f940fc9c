// Package membership decides who is in the fleet, and what a node may do at each step
// of its life. It has no I/O: rosters as they are read and peers' words come in,
// and it says what to tell the module, the peers, the disk and the operators.
//
// A roster names the nodes and their numbers, with an epoch that rises by one at
// each change. Every node reads a new epoch at its own time and says so. Once all its
// nodes, and all that were taken out in this epoch or an earlier one, have said so, or
// are vouched for as gone, parts of ceilings shrink to the smaller of old and new; once
// all have said that, the new ones hold (see policy.Fleet). Nothing rests on clocks but
// how often things are said.
package membership

import (
	"fmt"
	"slices"
	"time"
)

// Node is one line of a roster.
type Node struct {
	Name    string
	Address string // of its peers' port
}

// Roster is who is in the fleet: the node at index i has number i.
type Roster struct {
	Epoch   uint64
	Nodes   []Node
	Leaving []Leaver // every node that was taken out and may not have heard of it yet
	Gone    []string // names that surely run no more, as the operators vouch: they hold up no change
}

// Leaver is a node on its way out, with the number it had.
type Leaver struct {
	Number int
	Node
}

// Check tells what is wrong with a roster by itself.
func (r *Roster) Check() error {
	if r.Epoch == 0 {
		return fmt.Errorf("the epoch is 0; the first is 1")
	}
	if len(r.Nodes) == 0 {
		return fmt.Errorf("there is no node")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, n := range r.Nodes {
		switch {
		case n.Name == "":
			return fmt.Errorf("node %d has no name", i)
		case names[n.Name]:
			return fmt.Errorf("node %q stands twice", n.Name)
		case n.Address == "" || addresses[n.Address]:
			return fmt.Errorf("node %q: the address %q is empty or another's", n.Name, n.Address)
		}
		names[n.Name], addresses[n.Address] = true, true
	}
	numbers := map[int]bool{}
	for _, l := range r.Leaving {
		switch {
		case l.Name == "" || names[l.Name]:
			return fmt.Errorf("node %q stands twice, or has no name", l.Name)
		case l.Number < len(r.Nodes) || numbers[l.Number]:
			return fmt.Errorf("number %d of %q, which is leaving, is another's: it must be gone first", l.Number, l.Name)
		case l.Address == "" || addresses[l.Address]:
			return fmt.Errorf("node %q: the address %q is empty or another's", l.Name, l.Address)
		}
		names[l.Name], addresses[l.Address], numbers[l.Number] = true, true, true
	}
	for _, name := range r.Gone {
		if names[name] {
			return fmt.Errorf("node %q is in the roster and gone", name)
		}
	}
	return nil
}

// Next is the roster that follows: with other nodes, those taken out leaving, and
// those vouched for as gone. Who was leaving goes on leaving until it is in the
// roster again, under its number, or gone: nothing else can be known of it.
func (r *Roster) Next(list []Node, gone []string) (Roster, error) {
	next := Roster{Epoch: r.Epoch + 1, Nodes: list, Gone: slices.Clone(r.Gone)}
	for _, name := range gone {
		if !slices.Contains(next.Gone, name) {
			next.Gone = append(next.Gone, name)
		}
	}
	next.Gone = slices.DeleteFunc(next.Gone, func(name string) bool { return next.number(name) >= 0 }) // it has come back
	before := slices.Clone(r.Leaving)
	for i, n := range r.Nodes {
		before = append(before, Leaver{i, n})
	}
	for _, l := range before {
		if slices.Contains(next.Gone, l.Name) {
			continue
		}
		switch j := next.number(l.Name); {
		case j < 0:
			next.Leaving = append(next.Leaving, l)
		case j != l.Number:
			return next, fmt.Errorf("node %q had number %d and would have %d: a node keeps its number", l.Name, l.Number, j)
		}
	}
	slices.SortFunc(next.Leaving, func(a, b Leaver) int { return a.Number - b.Number })
	return next, next.Check()
}

func (r *Roster) number(name string) int {
	return slices.IndexFunc(r.Nodes, func(n Node) bool { return n.Name == name })
}

// same tells whether two rosters say the same; one epoch must.
func (r *Roster) same(o *Roster) bool {
	return slices.Equal(r.Nodes, o.Nodes) && slices.Equal(r.Leaving, o.Leaving) && slices.Equal(r.Gone, o.Gone)
}

// Phase is where a node stands in its life. Health answers and announcements of its
// addresses follow it.
type Phase int

// The phases, in order.
const (
	Starting Phase = iota // it has no roster, or no server list
	Ready                 // it has all it needs, and has not said so to its front
	Serving
	Draining // it takes no new connections, and ends what it holds
	Gone     // nothing is to be expected of it
)

func (p Phase) String() string {
	return [...]string{"starting", "ready", "serving", "draining", "gone"}[p]
}

// Hello is what a node says of itself to its peers.
type Hello struct {
	Epoch uint64 // that it has read
	Stage Stage  // how far that change is for it
	Phase Phase
}

// Stage is how far a change is for a node.
type Stage int

// The stages, in order.
const (
	Read    Stage = iota // it knows the new roster, and holds its old parts
	Smaller              // all have read it: it holds the smaller of old and new, or none
	Over                 // all hold the smaller: it holds its new parts
)

// Action is something a Member wants done.
type Action interface{ action() }

// Fleet is for the module: see policy.Fleet.
type Fleet struct{ Gateways, Was int }

// Address sets where a number is reached; "": nowhere.
type Address struct {
	Number  int
	Address string
}

// Tell says a Hello to a number.
type Tell struct {
	To    int
	Hello Hello
}

// Remember is for the disk; it must be there before what follows it is done.
type Remember struct{ Memory Memory }

// Changed tells of a new phase of this node.
type Changed struct{ Phase Phase }

// Note is for the operators.
type Note struct {
	Text  string
	Wrong bool // it needs someone
}

func (Fleet) action()    {}
func (Address) action()  {}
func (Tell) action()     {}
func (Remember) action() {}
func (Changed) action()  {}
func (Note) action()     {}

// Memory is what outlives a process.
type Memory struct {
	Epoch uint64 `json:"Epoch"` // taken; 0: none
	Over  bool   `json:"Over"`  // that change was over
}

// Settings is what a Member is told at its start.
type Settings struct {
	Name   string
	Memory Memory
	Fast   time.Duration // between Hellos while a change is under way; 0: 500 ms
	Slow   time.Duration // and while none is; 0: 10 s
	Remind time.Duration // between notes of who holds a change up; 0: 30 s
}

// heard is what a number has said.
type heard struct {
	epoch uint64
	stage Stage
	phase Phase
}

// Member is one node's.
type Member struct {
	set     Settings
	roster  *Roster      // taken
	next    *Roster      // read, and not taken yet
	me      int          // number; -1: in no roster
	names   map[int]Node // who has, or had, each number
	numbers []int        // of names, in order
	stage   Stage
	was     int           // nodes before the change
	heard   map[int]heard // by number, of the roster's union with the one before
	list    bool          // there is a server list
	phase   Phase
	told    time.Time
	noted   time.Time
	changed time.Time // when the roster was taken
	acts    []Action
}

// New returns a Member that has read nothing yet.
func New(s Settings) *Member {
	for _, d := range []struct {
		v    *time.Duration
		than time.Duration
	}{{&s.Fast, 500 * time.Millisecond}, {&s.Slow, 10 * time.Second}, {&s.Remind, 30 * time.Second}} {
		if *d.v <= 0 {
			*d.v = d.than
		}
	}
	return &Member{set: s, me: -1, heard: map[int]heard{}}
}

// Number is this node's; -1 where it is in no roster.
func (m *Member) Number() int { return m.me }

// Phase is where this node stands.
func (m *Member) Phase() Phase { return m.phase }

// Over tells whether no change is under way, as far as this node knows.
func (m *Member) Over() bool { return m.roster != nil && m.stage == Over }

// Roster takes in a roster as it was read. One that can't be meant changes nothing; a later epoch is
// taken at once, but where the last change is not over here: then it waits.
func (m *Member) Roster(now time.Time, r Roster) []Action {
	m.acts = nil
	if err := r.Check(); err != nil {
		m.note(true, "the roster is left aside: %v", err)
		return m.acts
	}
	switch {
	case m.roster == nil:
		m.begin(now, &r)
	case r.Epoch < m.roster.Epoch:
		m.note(true, "the roster of epoch %d is left aside: %d is taken", r.Epoch, m.roster.Epoch)
	case r.Epoch == m.roster.Epoch:
		if !r.same(m.roster) {
			m.note(true, "the roster of epoch %d has changed without a new epoch; it is left aside", r.Epoch)
		}
	case m.next != nil && r.Epoch < m.next.Epoch:
	default:
		m.next = &r
		m.settle(now) // it may vouch for those that hold the last change up
		m.advance(now)
	}
	m.phases()
	return m.acts
}

// begin takes the first roster that this process reads.
func (m *Member) begin(now time.Time, r *Roster) {
	mem := m.set.Memory
	if r.Epoch < mem.Epoch {
		m.note(true, "the roster of epoch %d is older than the %d taken before the restart; it is left aside", r.Epoch, mem.Epoch)
		return
	}
	// What was over before a restart is over. Else this process can't know what
	// parts are still held by others, and begins with none.
	known := mem.Epoch == r.Epoch && mem.Over || r.Epoch == 1
	m.take(now, r, -1, known)
}

// advance takes the roster that waits, once the last change is over.
func (m *Member) advance(now time.Time) {
	if m.next == nil || m.stage != Over {
		return
	}
	was := len(m.roster.Nodes)
	if m.next.Epoch != m.roster.Epoch+1 {
		// An epoch was missed: others may have left parts to each other in it.
		m.note(false, "epoch %d follows on %d here; this node holds no part of ceilings until the change is over", m.next.Epoch,
			m.roster.Epoch)
		was = -1
	}
	r := m.next
	m.next = nil
	m.take(now, r, was, false)
}

// take makes a roster the one in force. The disk knows before anything is done.
func (m *Member) take(now time.Time, r *Roster, was int, over bool) {
	m.roster, m.was, m.changed, m.noted, m.told = r, was, now, now, time.Time{}
	switch {
	case over:
		m.stage = Over
	case was < 0:
		m.stage = Smaller // it holds nothing
	default:
		m.stage = Read
	}
	m.me = -1
	m.acts = append(m.acts, Remember{Memory{r.Epoch, over}})
	m.names, m.numbers = map[int]Node{}, nil
	for i, n := range r.Nodes {
		m.names[i] = n
	}
	for _, l := range r.Leaving {
		m.names[l.Number] = l.Node
	}
	for i, n := range m.names {
		m.numbers = append(m.numbers, i)
		if n.Name == m.set.Name {
			m.me = i
		}
	}
	slices.Sort(m.numbers)
	for _, i := range m.numbers {
		m.acts = append(m.acts, Address{i, m.names[i].Address})
	}
	if over {
		m.acts = append(m.acts, Fleet{len(r.Nodes), 0})
	} else if was < 0 {
		m.acts = append(m.acts, Fleet{len(r.Nodes), -1})
	}
	m.note(false, "roster of epoch %d: %d nodes, this one has number %d", r.Epoch, len(r.Nodes), m.me)
	m.settle(now)
}

// missing lists the numbers that have not said what this node waits for, nor left.
// Who has gone on to a later epoch is through with this one, or holds nothing.
func (m *Member) missing() (list []int) {
	for _, i := range m.numbers {
		if i == m.me || m.next != nil && slices.Contains(m.next.Gone, m.names[i].Name) {
			continue
		}
		h := m.heard[i]
		if (h.epoch < m.roster.Epoch || h.epoch == m.roster.Epoch && h.stage < m.stage) && !(h.phase == Gone && i >= len(m.roster.Nodes)) {
			list = append(list, i)
		}
	}
	return list
}

// settle goes on with the change once all are as far as this node.
func (m *Member) settle(now time.Time) {
	if m.roster == nil || m.stage == Over || len(m.missing()) > 0 {
		return
	}
	m.told = time.Time{}
	if m.stage++; m.stage == Smaller {
		m.acts = append(m.acts, Fleet{len(m.roster.Nodes), m.was})
		m.settle(now)
		return
	}
	m.acts = append(m.acts, Remember{Memory{m.roster.Epoch, true}}, Fleet{len(m.roster.Nodes), 0})
	m.note(false, "all nodes have taken epoch %d, after %v", m.roster.Epoch, now.Sub(m.changed).Round(time.Millisecond))
	m.advance(now)
}

// Heard takes in what a number said of itself. Its words may come twice, late or in
// any order: an epoch is never unsaid.
func (m *Member) Heard(now time.Time, from int, h Hello) []Action {
	m.acts = nil
	old := m.heard[from]
	word := heard{h.Epoch, h.Stage, h.Phase}
	if old.epoch > h.Epoch || old.epoch == h.Epoch && old.stage > h.Stage {
		word.epoch, word.stage = old.epoch, old.stage
	}
	m.heard[from] = word
	if m.roster != nil {
		if h.Epoch > m.roster.Epoch && m.next == nil && h.Epoch > old.epoch {
			m.note(true, "number %d has taken epoch %d, and this node has read none after %d", from, h.Epoch, m.roster.Epoch)
		}
		// Who is behind hears at once what was said here: it may wait for it.
		if h.Epoch == m.roster.Epoch && h.Stage < m.stage && from != m.me {
			m.acts = append(m.acts, Tell{from, m.hello()})
		}
		m.settle(now)
	}
	m.phases()
	return m.acts
}

// Listed tells that there is a server list.
func (m *Member) Listed() []Action {
	m.acts = nil
	m.list = true
	m.phases()
	return m.acts
}

// Serve tells that the fronts take connections; Drain that they take none any more;
// End that nothing is held.
func (m *Member) Serve() []Action { return m.reach(Serving) }

// Drain tells peers that this node is on its way out.
func (m *Member) Drain() []Action { return m.reach(Draining) }

// End tells peers that nothing is to be expected of this node.
func (m *Member) End() []Action { return m.reach(Gone) }

func (m *Member) reach(p Phase) []Action {
	m.acts = nil
	if p > m.phase && (p != Serving || m.phase == Ready) {
		m.become(p)
		m.sayAll()
	}
	return m.acts
}

// phases leaves Starting once there is a roster with this node in it and a list.
func (m *Member) phases() {
	if m.phase == Starting && m.list && m.roster != nil && m.roster.number(m.set.Name) >= 0 {
		m.become(Ready)
	}
}

func (m *Member) become(p Phase) {
	m.phase = p
	m.acts = append(m.acts, Changed{p})
}

func (m *Member) hello() Hello { return Hello{m.roster.Epoch, m.stage, m.phase} }

// sayAll says a Hello to every other number.
func (m *Member) sayAll() {
	if m.roster == nil {
		return
	}
	for _, i := range m.numbers {
		if i != m.me {
			m.acts = append(m.acts, Tell{i, m.hello()})
		}
	}
}

// Tick is to be called some times a second.
func (m *Member) Tick(now time.Time) []Action {
	m.acts = nil
	if m.roster == nil {
		return nil
	}
	every := m.set.Slow
	if m.stage != Over {
		every = m.set.Fast
	}
	if now.Sub(m.told) >= every || now.Before(m.told) {
		m.told = now
		m.sayAll()
	}
	if missing := m.missing(); m.stage != Over && len(missing) > 0 && now.Sub(m.noted) >= m.set.Remind {
		m.noted = now
		m.note(true, "epoch %d is held up: numbers %v have not said it, or not all of it; what they hold of ceilings is counted as theirs", m.roster.Epoch,
			missing[:min(len(missing), 20)])
	}
	return m.acts
}

func (m *Member) note(wrong bool, format string, args ...any) {
	m.acts = append(m.acts, Note{fmt.Sprintf(format, args...), wrong})
}
