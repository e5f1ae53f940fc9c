package membership

import "time"

// noNumber is the number of a node that the accepted roster does not list.
const noNumber = -1

// StateMachine is one node's view of the fleet: the roster in force, the progress of the change to
// it, the peers' latest announcements, and this node's phase. Each method that returns actions
// handles one event; the actions are valid until the next such call. A StateMachine is not safe
// for concurrent use.
type StateMachine struct {
	settings Settings
	phase    Phase
	actions  []Action // actions of the call in progress

	hasEndpoints bool // the node has a list of upstream endpoints

	accepted     *Roster // roster in force; nil if there is none yet
	pending      *Roster // next roster, accepted when the change in progress is complete
	stage        Stage   // stage of the change to the accepted roster
	previousSize int     // number of nodes before that change; see unknownSize
	acceptedAt   time.Time

	number  int          // this node's number; see noNumber
	nodes   map[int]Node // members and leaving nodes of the accepted roster, by number
	numbers []int        // keys of nodes, in order

	peers         map[int]Announcement // latest announcement of each number
	lastAnnounced time.Time            // zero if an announcement is due
	lastReminded  time.Time
}

// NewStateMachine returns a StateMachine in phase Starting that has no roster.
func NewStateMachine(s Settings) *StateMachine {
	return &StateMachine{settings: s.withDefaults(), number: noNumber, peers: map[int]Announcement{}}
}

// Number returns this node's number, or -1 if no accepted roster lists the node.
func (m *StateMachine) Number() int { return m.number }

// Phase returns this node's phase.
func (m *StateMachine) Phase() Phase { return m.phase }

// ChangeComplete reports whether a roster is in force and the change to it is complete, as
// far as this node knows.
func (m *StateMachine) ChangeComplete() bool { return m.accepted != nil && m.stage == StageComplete }

// HandleRoster handles a roster that was read from its file. A roster that is invalid, older than
// the accepted one, or different from it under the same epoch is rejected with a log event. A later
// roster is accepted at once, or stays pending while a change is in progress.
func (m *StateMachine) HandleRoster(now time.Time, r Roster) []Action {
	m.actions = nil
	if err := r.Validate(); err != nil {
		m.reject(err)
		return m.actions
	}
	switch {
	case m.accepted == nil:
		m.acceptFirst(now, &r)
	case r.Epoch <= m.accepted.Epoch:
		m.checkAgainstAccepted(&r)
	case m.pending == nil || r.Epoch >= m.pending.Epoch:
		m.pending = &r
		m.advanceStage(now) // the roster may remove nodes that the change waits for
		m.acceptPending(now)
	}
	m.becomeReadyIfPossible()
	return m.actions
}

// checkAgainstAccepted rejects a roster that conflicts with the accepted one.
func (m *StateMachine) checkAgainstAccepted(r *Roster) {
	if r.Epoch < m.accepted.Epoch {
		m.reject(&StaleEpochError{Epoch: r.Epoch, Accepted: m.accepted.Epoch})
	} else if !r.equal(m.accepted) {
		m.reject(&ChangedRosterError{Epoch: r.Epoch})
	}
}

// reject logs that a roster is not used.
func (m *StateMachine) reject(err error) {
	m.logWarning("roster rejected", Attribute{"error", err})
}

// Tick repeats announcements and reminders that are due. It should be called several times a
// second, at intervals shorter than the shortest one in Settings.
func (m *StateMachine) Tick(now time.Time) []Action {
	m.actions = nil
	if m.accepted == nil {
		return nil
	}
	m.announceIfDue(now)
	m.remindIfDue(now)
	return m.actions
}
