package membership

import "time"

// Announcement is a node's message to its peers about its own state.
type Announcement struct {
	Epoch uint64 // epoch of its accepted roster
	Stage Stage  // stage of the change to that epoch
	Phase Phase
}

// Stage is the progress of an epoch change on one node. Within an epoch, stages only advance.
// The values are sent in messages between peers and must not change.
type Stage int

// The stages, in order. The package documentation describes what each one guarantees.
const (
	StageReceived      Stage = iota // the previous share is in force
	StageMinimumShares              // the smaller of the previous and the new share is in force
	StageComplete                   // the new share is in force
)

// announcement returns this node's current announcement. There must be an accepted roster.
func (m *StateMachine) announcement() Announcement {
	return Announcement{Epoch: m.accepted.Epoch, Stage: m.stage, Phase: m.phase}
}

// isBehind reports whether an announcement is of an earlier epoch than another, or of an earlier
// stage of the same epoch.
func (a Announcement) isBehind(b Announcement) bool {
	return a.Epoch < b.Epoch || a.Epoch == b.Epoch && a.Stage < b.Stage
}

// HandlePeerRestart records that a new process runs under a number, so that its phase is Starting
// again. It must be called before the first announcement of the new process is handled.
// Announcements of the earlier process must not be handled after it.
func (m *StateMachine) HandlePeerRestart(from int) {
	peer := m.peers[from]
	peer.Phase = Starting
	m.peers[from] = peer
}

// HandleAnnouncement handles a peer's announcement. Announcements may be lost, duplicated, delayed
// or reordered: the recorded epoch and stage of a peer never decrease, nor does the phase of one
// process.
func (m *StateMachine) HandleAnnouncement(now time.Time, from int, a Announcement) []Action {
	m.actions = nil
	previous := m.peers[from]
	m.recordAnnouncement(from, a)
	if m.accepted != nil {
		if a.Epoch > m.accepted.Epoch && a.Epoch > previous.Epoch && m.pending == nil {
			m.logWarning("peer accepted a later roster than this node has read",
				Attribute{"peer", from}, Attribute{"peer_epoch", a.Epoch}, Attribute{"epoch", m.accepted.Epoch})
		}
		m.replyIfBehind(from, a)
		m.advanceStage(now)
	}
	m.becomeReadyIfPossible()
	return m.actions
}

// recordAnnouncement records the latest epoch, stage and phase that a peer has announced.
func (m *StateMachine) recordAnnouncement(from int, a Announcement) {
	previous := m.peers[from]
	if a.isBehind(previous) {
		a.Epoch = previous.Epoch
		a.Stage = previous.Stage
	}
	a.Phase = max(a.Phase, previous.Phase)
	m.peers[from] = a
}

// replyIfBehind sends this node's announcement at once to a peer that is at an earlier stage of the
// same change, because the peer may be waiting for it.
func (m *StateMachine) replyIfBehind(from int, a Announcement) {
	if a.Epoch == m.accepted.Epoch && a.Stage < m.stage && from != m.number {
		m.actions = append(m.actions, SendAnnouncement{from, m.announcement()})
	}
}

// announceIfDue repeats this node's announcement. The interval depends on whether a change is in
// progress.
func (m *StateMachine) announceIfDue(now time.Time) {
	interval := m.settings.IdleAnnouncementInterval
	if m.stage != StageComplete {
		interval = m.settings.ChangeAnnouncementInterval
	}
	clockSetBack := now.Before(m.lastAnnounced)
	if now.Sub(m.lastAnnounced) >= interval || clockSetBack {
		m.lastAnnounced = now
		m.announceToAll()
	}
}

// announceToAll sends this node's announcement to every other number.
func (m *StateMachine) announceToAll() {
	if m.accepted == nil {
		return
	}
	for _, number := range m.numbers {
		if number != m.number {
			m.actions = append(m.actions, SendAnnouncement{number, m.announcement()})
		}
	}
}
