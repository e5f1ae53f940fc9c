package membership

import (
	"slices"
	"time"
)

// unknownSize is the fleet's size before a change if this process cannot know which shares are in
// force at other nodes. The node then enforces no share until the change is complete.
const unknownSize = -1

// maxNumbersInReminder bounds how many node numbers a reminder lists, to limit the length of the
// log line.
const maxNumbersInReminder = 20

// acceptFirst accepts the first roster that this process reads.
func (m *StateMachine) acceptFirst(now time.Time, r *Roster) {
	saved := m.settings.Snapshot
	if r.Epoch < saved.Epoch {
		m.reject(&StaleEpochError{Epoch: r.Epoch, Accepted: saved.Epoch, BeforeRestart: true})
		return
	}
	// A change that was complete before a restart is still complete, and the first epoch has no
	// previous shares. In all other cases the shares in force at other nodes are unknown.
	completeBeforeRestart := r.Epoch == saved.Epoch && saved.ChangeComplete
	m.accept(now, r, unknownSize, completeBeforeRestart || r.Epoch == 1)
}

// acceptPending accepts the pending roster once the change in progress is complete.
func (m *StateMachine) acceptPending(now time.Time) {
	if m.pending == nil || m.stage != StageComplete {
		return
	}
	previousSize := len(m.accepted.Nodes)
	if m.pending.Epoch != m.accepted.Epoch+1 {
		// Other nodes may have changed their shares in the epochs that this node missed.
		previousSize = unknownSize
		m.logInfo("roster epochs skipped; enforcing no quota share until the change completes",
			Attribute{"epoch", m.pending.Epoch}, Attribute{"previous_epoch", m.accepted.Epoch})
	}
	r := m.pending
	m.pending = nil
	m.accept(now, r, previousSize, false)
}

// accept puts a roster in force. The snapshot is saved before any other action.
func (m *StateMachine) accept(now time.Time, r *Roster, previousSize int, complete bool) {
	m.accepted = r
	m.previousSize = previousSize
	m.stage = firstStage(previousSize, complete)
	m.acceptedAt = now
	m.lastReminded = now
	m.lastAnnounced = time.Time{}
	m.actions = append(m.actions, SaveSnapshot{Snapshot{Epoch: r.Epoch, ChangeComplete: complete}})
	m.indexNumbers()
	for _, number := range m.numbers {
		m.actions = append(m.actions, AddressAssigned{number, m.nodes[number].Address})
	}
	if complete {
		m.actions = append(m.actions, FleetResized{Gateways: len(r.Nodes)})
	} else if previousSize < 0 {
		m.actions = append(m.actions, FleetResized{Gateways: len(r.Nodes), PreviousSize: unknownSize})
	}
	m.logInfo("roster accepted", Attribute{"epoch", r.Epoch}, Attribute{"nodes", len(r.Nodes)}, Attribute{"number", m.number})
	m.advanceStage(now)
}

// firstStage returns the stage in which a node accepts a roster. A node without a known previous
// size enforces no share, so it skips StageReceived, which keeps the previous share in force.
func firstStage(previousSize int, complete bool) Stage {
	switch {
	case complete:
		return StageComplete
	case previousSize < 0:
		return StageMinimumShares
	default:
		return StageReceived
	}
}

// indexNumbers derives nodes, numbers and this node's number from the accepted roster.
func (m *StateMachine) indexNumbers() {
	m.nodes = map[int]Node{}
	for number, n := range m.accepted.Nodes {
		m.nodes[number] = n
	}
	for _, l := range m.accepted.Leaving {
		m.nodes[l.Number] = l.Node
	}
	m.number = noNumber
	m.numbers = nil
	for number, n := range m.nodes {
		m.numbers = append(m.numbers, number)
		if n.Name == m.settings.Name {
			m.number = number
		}
	}
	slices.Sort(m.numbers)
}

// advanceStage enters the next stage if no awaited node is behind the current one.
func (m *StateMachine) advanceStage(now time.Time) {
	if m.accepted == nil || m.stage == StageComplete || len(m.awaitedNumbers()) > 0 {
		return
	}
	m.lastAnnounced = time.Time{} // the next Tick announces the stage
	m.stage++
	if m.stage == StageMinimumShares {
		m.actions = append(m.actions, FleetResized{Gateways: len(m.accepted.Nodes), PreviousSize: m.previousSize})
		m.advanceStage(now)
		return
	}
	m.actions = append(m.actions,
		SaveSnapshot{Snapshot{Epoch: m.accepted.Epoch, ChangeComplete: true}},
		FleetResized{Gateways: len(m.accepted.Nodes)})
	m.logInfo("membership change completed",
		Attribute{"epoch", m.accepted.Epoch}, Attribute{"after", now.Sub(m.acceptedAt).Round(time.Millisecond)})
	m.acceptPending(now)
}

// awaitedNumbers returns the numbers, in order, of the nodes that the change waits for at the
// current stage.
func (m *StateMachine) awaitedNumbers() []int {
	var awaited []int
	for _, number := range m.numbers {
		if number != m.number && !m.isRemoved(number) && !m.hasReachedStage(number) {
			awaited = append(awaited, number)
		}
	}
	return awaited
}

// isRemoved reports whether the pending roster lists the node under RemovedNames. The accepted
// roster cannot list one of its own nodes there, because Validate rejects it.
func (m *StateMachine) isRemoved(number int) bool {
	return m.pending != nil && slices.Contains(m.pending.RemovedNames, m.nodes[number].Name)
}

// hasReachedStage reports whether a peer has reached this node's epoch and stage. A peer in a later
// epoch has completed this epoch or enforces no share. A leaving peer that has stopped enforces no
// share either.
func (m *StateMachine) hasReachedStage(number int) bool {
	peer := m.peers[number]
	isLeaving := number >= len(m.accepted.Nodes)
	if isLeaving && peer.Phase == Stopped {
		return true
	}
	return !peer.isBehind(m.announcement())
}

// remindIfDue logs the nodes that a change has been waiting for, at ReminderInterval.
func (m *StateMachine) remindIfDue(now time.Time) {
	if m.stage == StageComplete || now.Sub(m.lastReminded) < m.settings.ReminderInterval {
		return
	}
	waiting := m.awaitedNumbers()
	if len(waiting) == 0 {
		return
	}
	m.lastReminded = now
	m.logWarning("membership change waiting for nodes; their quota shares stay reserved",
		Attribute{"epoch", m.accepted.Epoch}, Attribute{"numbers", waiting[:min(len(waiting), maxNumbersInReminder)]})
}
