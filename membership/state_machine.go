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
	Epoch        uint64
	Nodes        []Node
	Leaving      []LeavingNode // every node that was taken out and may not have heard of it yet
	RemovedNames []string      // names that surely run no more, as the operators vouch: they hold up no change
}

// LeavingNode is a node on its way out, with the number it had.
type LeavingNode struct {
	Number int
	Node
}

// Validate tells what is wrong with a roster by itself.
func (r *Roster) Validate() error {
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
	for _, name := range r.RemovedNames {
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
	next := Roster{Epoch: r.Epoch + 1, Nodes: list, RemovedNames: slices.Clone(r.RemovedNames)}
	for _, name := range gone {
		if !slices.Contains(next.RemovedNames, name) {
			next.RemovedNames = append(next.RemovedNames, name)
		}
	}
	next.RemovedNames = slices.DeleteFunc(next.RemovedNames, func(name string) bool { return next.numberOf(name) >= 0 }) // it has come back
	before := slices.Clone(r.Leaving)
	for i, n := range r.Nodes {
		before = append(before, LeavingNode{i, n})
	}
	for _, l := range before {
		if slices.Contains(next.RemovedNames, l.Name) {
			continue
		}
		switch j := next.numberOf(l.Name); {
		case j < 0:
			next.Leaving = append(next.Leaving, l)
		case j != l.Number:
			return next, fmt.Errorf("node %q had number %d and would have %d: a node keeps its number", l.Name, l.Number, j)
		}
	}
	slices.SortFunc(next.Leaving, func(a, b LeavingNode) int { return a.Number - b.Number })
	return next, next.Validate()
}

func (r *Roster) numberOf(name string) int {
	return slices.IndexFunc(r.Nodes, func(n Node) bool { return n.Name == name })
}

// equal tells whether two rosters say the same; one epoch must.
func (r *Roster) equal(o *Roster) bool {
	return slices.Equal(r.Nodes, o.Nodes) && slices.Equal(r.Leaving, o.Leaving) && slices.Equal(r.RemovedNames, o.RemovedNames)
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
	Stopped  // nothing is to be expected of it
)

func (p Phase) String() string {
	return [...]string{"starting", "ready", "serving", "draining", "gone"}[p]
}

// Announcement is what a node says of itself to its peers.
type Announcement struct {
	Epoch uint64 // that it has read
	Stage Stage  // how far that change is for it
	Phase Phase
}

// Stage is how far a change is for a node.
type Stage int

// The stages, in order.
const (
	StageReceived      Stage = iota // it knows the new roster, and holds its old parts
	StageMinimumShares              // all have read it: it holds the smaller of old and new, or none
	StageComplete                   // all hold the smaller: it holds its new parts
)

// Action is something a Member wants done.
type Action interface{ action() }

// FleetResized is for the module: see policy.Fleet.
type FleetResized struct{ Gateways, PreviousSize int }

// AddressAssigned sets where a number is reached; "": nowhere.
type AddressAssigned struct {
	Number  int
	Address string
}

// SendAnnouncement says a Hello to a number.
type SendAnnouncement struct {
	To           int
	Announcement Announcement
}

// SaveSnapshot is for the disk; it must be there before what follows it is done.
type SaveSnapshot struct{ Snapshot Snapshot }

// PhaseChanged tells of a new phase of this node.
type PhaseChanged struct{ Phase Phase }

// OperatorNote is for the operators.
type OperatorNote struct {
	Text        string
	NeedsAction bool // it needs someone
}

func (FleetResized) action()     {}
func (AddressAssigned) action()  {}
func (SendAnnouncement) action() {}
func (SaveSnapshot) action()     {}
func (PhaseChanged) action()     {}
func (OperatorNote) action()     {}

// Snapshot is what outlives a process.
type Snapshot struct {
	Epoch          uint64 `json:"Epoch"` // taken; 0: none
	ChangeComplete bool   `json:"Over"`  // that change was over
}

// Settings is what a Member is told at its start.
type Settings struct {
	Name                       string
	Snapshot                   Snapshot
	ChangeAnnouncementInterval time.Duration // between Hellos while a change is under way; 0: 500 ms
	IdleAnnouncementInterval   time.Duration // and while none is; 0: 10 s
	ReminderInterval           time.Duration // between notes of who holds a change up; 0: 30 s
}

// peerState is what a number has said.
type peerState struct {
	epoch uint64
	stage Stage
	phase Phase
}

// StateMachine is one node's.
type StateMachine struct {
	settings      Settings
	accepted      *Roster      // taken
	pending       *Roster      // read, and not taken yet
	number        int          // number; -1: in no roster
	nodes         map[int]Node // who has, or had, each number
	numbers       []int        // of names, in order
	stage         Stage
	previousSize  int               // nodes before the change
	peers         map[int]peerState // by number, of the roster's union with the one before
	hasEndpoints  bool              // there is a server list
	phase         Phase
	lastAnnounced time.Time
	lastReminded  time.Time
	acceptedAt    time.Time // when the roster was taken
	actions       []Action
}

// NewStateMachine returns a Member that has read nothing yet.
func NewStateMachine(s Settings) *StateMachine {
	for _, d := range []struct {
		v    *time.Duration
		than time.Duration
	}{{&s.ChangeAnnouncementInterval, 500 * time.Millisecond}, {&s.IdleAnnouncementInterval, 10 * time.Second}, {&s.ReminderInterval, 30 * time.Second}} {
		if *d.v <= 0 {
			*d.v = d.than
		}
	}
	return &StateMachine{settings: s, number: -1, peers: map[int]peerState{}}
}

// Number is this node's; -1 where it is in no roster.
func (m *StateMachine) Number() int { return m.number }

// Phase is where this node stands.
func (m *StateMachine) Phase() Phase { return m.phase }

// ChangeComplete tells whether no change is under way, as far as this node knows.
func (m *StateMachine) ChangeComplete() bool { return m.accepted != nil && m.stage == StageComplete }

// HandleRoster takes in a roster as it was read. One that can't be meant changes nothing; a later epoch is
// taken at once, but where the last change is not over here: then it waits.
func (m *StateMachine) HandleRoster(now time.Time, r Roster) []Action {
	m.actions = nil
	if err := r.Validate(); err != nil {
		m.notify(true, "the roster is left aside: %v", err)
		return m.actions
	}
	switch {
	case m.accepted == nil:
		m.acceptFirst(now, &r)
	case r.Epoch < m.accepted.Epoch:
		m.notify(true, "the roster of epoch %d is left aside: %d is taken", r.Epoch, m.accepted.Epoch)
	case r.Epoch == m.accepted.Epoch:
		if !r.equal(m.accepted) {
			m.notify(true, "the roster of epoch %d has changed without a new epoch; it is left aside", r.Epoch)
		}
	case m.pending != nil && r.Epoch < m.pending.Epoch:
	default:
		m.pending = &r
		m.advanceStage(now) // it may vouch for those that hold the last change up
		m.acceptPending(now)
	}
	m.becomeReadyIfPossible()
	return m.actions
}

// acceptFirst takes the first roster that this process reads.
func (m *StateMachine) acceptFirst(now time.Time, r *Roster) {
	mem := m.settings.Snapshot
	if r.Epoch < mem.Epoch {
		m.notify(true, "the roster of epoch %d is older than the %d taken before the restart; it is left aside", r.Epoch, mem.Epoch)
		return
	}
	// What was over before a restart is over. Else this process can't know what
	// parts are still held by others, and begins with none.
	known := mem.Epoch == r.Epoch && mem.ChangeComplete || r.Epoch == 1
	m.accept(now, r, -1, known)
}

// acceptPending takes the roster that waits, once the last change is over.
func (m *StateMachine) acceptPending(now time.Time) {
	if m.pending == nil || m.stage != StageComplete {
		return
	}
	was := len(m.accepted.Nodes)
	if m.pending.Epoch != m.accepted.Epoch+1 {
		// An epoch was missed: others may have left parts to each other in it.
		m.notify(false, "epoch %d follows on %d here; this node holds no part of ceilings until the change is over", m.pending.Epoch,
			m.accepted.Epoch)
		was = -1
	}
	r := m.pending
	m.pending = nil
	m.accept(now, r, was, false)
}

// accept makes a roster the one in force. The disk knows before anything is done.
func (m *StateMachine) accept(now time.Time, r *Roster, was int, over bool) {
	m.accepted, m.previousSize, m.acceptedAt, m.lastReminded, m.lastAnnounced = r, was, now, now, time.Time{}
	switch {
	case over:
		m.stage = StageComplete
	case was < 0:
		m.stage = StageMinimumShares // it holds nothing
	default:
		m.stage = StageReceived
	}
	m.number = -1
	m.actions = append(m.actions, SaveSnapshot{Snapshot{r.Epoch, over}})
	m.nodes, m.numbers = map[int]Node{}, nil
	for i, n := range r.Nodes {
		m.nodes[i] = n
	}
	for _, l := range r.Leaving {
		m.nodes[l.Number] = l.Node
	}
	for i, n := range m.nodes {
		m.numbers = append(m.numbers, i)
		if n.Name == m.settings.Name {
			m.number = i
		}
	}
	slices.Sort(m.numbers)
	for _, i := range m.numbers {
		m.actions = append(m.actions, AddressAssigned{i, m.nodes[i].Address})
	}
	if over {
		m.actions = append(m.actions, FleetResized{len(r.Nodes), 0})
	} else if was < 0 {
		m.actions = append(m.actions, FleetResized{len(r.Nodes), -1})
	}
	m.notify(false, "roster of epoch %d: %d nodes, this one has number %d", r.Epoch, len(r.Nodes), m.number)
	m.advanceStage(now)
}

// laggards lists the numbers that have not said what this node waits for, nor left.
// Who has gone on to a later epoch is through with this one, or holds nothing.
func (m *StateMachine) laggards() (list []int) {
	for _, i := range m.numbers {
		if i == m.number || m.pending != nil && slices.Contains(m.pending.RemovedNames, m.nodes[i].Name) {
			continue
		}
		h := m.peers[i]
		if (h.epoch < m.accepted.Epoch || h.epoch == m.accepted.Epoch && h.stage < m.stage) && !(h.phase == Stopped && i >= len(m.accepted.Nodes)) {
			list = append(list, i)
		}
	}
	return list
}

// advanceStage goes on with the change once all are as far as this node.
func (m *StateMachine) advanceStage(now time.Time) {
	if m.accepted == nil || m.stage == StageComplete || len(m.laggards()) > 0 {
		return
	}
	m.lastAnnounced = time.Time{}
	if m.stage++; m.stage == StageMinimumShares {
		m.actions = append(m.actions, FleetResized{len(m.accepted.Nodes), m.previousSize})
		m.advanceStage(now)
		return
	}
	m.actions = append(m.actions, SaveSnapshot{Snapshot{m.accepted.Epoch, true}}, FleetResized{len(m.accepted.Nodes), 0})
	m.notify(false, "all nodes have taken epoch %d, after %v", m.accepted.Epoch, now.Sub(m.acceptedAt).Round(time.Millisecond))
	m.acceptPending(now)
}

// HandleAnnouncement takes in what a number said of itself. Its words may come twice, late or in
// any order: an epoch is never unsaid.
func (m *StateMachine) HandleAnnouncement(now time.Time, from int, h Announcement) []Action {
	m.actions = nil
	old := m.peers[from]
	word := peerState{h.Epoch, h.Stage, h.Phase}
	if old.epoch > h.Epoch || old.epoch == h.Epoch && old.stage > h.Stage {
		word.epoch, word.stage = old.epoch, old.stage
	}
	m.peers[from] = word
	if m.accepted != nil {
		if h.Epoch > m.accepted.Epoch && m.pending == nil && h.Epoch > old.epoch {
			m.notify(true, "number %d has taken epoch %d, and this node has read none after %d", from, h.Epoch, m.accepted.Epoch)
		}
		// Who is behind hears at once what was said here: it may wait for it.
		if h.Epoch == m.accepted.Epoch && h.Stage < m.stage && from != m.number {
			m.actions = append(m.actions, SendAnnouncement{from, m.announcement()})
		}
		m.advanceStage(now)
	}
	m.becomeReadyIfPossible()
	return m.actions
}

// EndpointsReady tells that there is a server list.
func (m *StateMachine) EndpointsReady() []Action {
	m.actions = nil
	m.hasEndpoints = true
	m.becomeReadyIfPossible()
	return m.actions
}

// StartServing tells that the fronts take connections; Drain that they take none any more;
// End that nothing is held.
func (m *StateMachine) StartServing() []Action { return m.enterLaterPhase(Serving) }

// StartDraining tells peers that this node is on its way out.
func (m *StateMachine) StartDraining() []Action { return m.enterLaterPhase(Draining) }

// Stop tells peers that nothing is to be expected of this node.
func (m *StateMachine) Stop() []Action { return m.enterLaterPhase(Stopped) }

func (m *StateMachine) enterLaterPhase(p Phase) []Action {
	m.actions = nil
	if p > m.phase && (p != Serving || m.phase == Ready) {
		m.enterPhase(p)
		m.announceToAll()
	}
	return m.actions
}

// becomeReadyIfPossible leaves Starting once there is a roster with this node in it and a list.
func (m *StateMachine) becomeReadyIfPossible() {
	if m.phase == Starting && m.hasEndpoints && m.accepted != nil && m.accepted.numberOf(m.settings.Name) >= 0 {
		m.enterPhase(Ready)
	}
}

func (m *StateMachine) enterPhase(p Phase) {
	m.phase = p
	m.actions = append(m.actions, PhaseChanged{p})
}

func (m *StateMachine) announcement() Announcement {
	return Announcement{m.accepted.Epoch, m.stage, m.phase}
}

// announceToAll says a Hello to every other number.
func (m *StateMachine) announceToAll() {
	if m.accepted == nil {
		return
	}
	for _, i := range m.numbers {
		if i != m.number {
			m.actions = append(m.actions, SendAnnouncement{i, m.announcement()})
		}
	}
}

// Tick is to be called some times a second.
func (m *StateMachine) Tick(now time.Time) []Action {
	m.actions = nil
	if m.accepted == nil {
		return nil
	}
	every := m.settings.IdleAnnouncementInterval
	if m.stage != StageComplete {
		every = m.settings.ChangeAnnouncementInterval
	}
	if now.Sub(m.lastAnnounced) >= every || now.Before(m.lastAnnounced) {
		m.lastAnnounced = now
		m.announceToAll()
	}
	if missing := m.laggards(); m.stage != StageComplete && len(missing) > 0 && now.Sub(m.lastReminded) >= m.settings.ReminderInterval {
		m.lastReminded = now
		m.notify(true, "epoch %d is held up: numbers %v have not said it, or not all of it; what they hold of ceilings is counted as theirs", m.accepted.Epoch,
			missing[:min(len(missing), 20)])
	}
	return m.actions
}

func (m *StateMachine) notify(wrong bool, format string, args ...any) {
	m.actions = append(m.actions, OperatorNote{fmt.Sprintf(format, args...), wrong})
}
