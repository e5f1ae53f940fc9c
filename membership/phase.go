package membership

import "fmt"

// Phase is a step in the life of a node's process. Phases only advance. Their values are
// those of the messages between peers and must not change.
type Phase int

// The phases, in order.
const (
	Starting Phase = iota // it has no roster that names it, or no endpoint list
	Ready                 // it has both, and accepts no connections yet
	Serving               // it accepts connections
	Draining              // it accepts no new connections and finishes what is in flight
	Stopped               // it is about to exit, and announces nothing more
)

// phaseNames are the names in log lines.
var phaseNames = [...]string{Starting: "starting", Ready: "ready", Serving: "serving", Draining: "draining", Stopped: "stopped"}

// String returns the name of the phase.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// EndpointsReady reports that the node has a list of upstream endpoints.
func (m *StateMachine) EndpointsReady() []Action {
	m.actions = nil
	m.hasEndpoints = true
	m.becomeReadyIfPossible()
	return m.actions
}

// StartServing reports that the node accepts connections. It has no effect unless the node is
// Ready.
func (m *StateMachine) StartServing() []Action {
	m.actions = nil
	if m.phase == Ready {
		m.enterAndAnnounce(Serving)
	}
	return m.actions
}

// StartDraining reports that the node accepts no new connections.
func (m *StateMachine) StartDraining() []Action {
	m.actions = nil
	if m.phase < Draining {
		m.enterAndAnnounce(Draining)
	}
	return m.actions
}

// Stop reports that nothing is in flight any more. Peers stop waiting for this node if it is
// leaving.
func (m *StateMachine) Stop() []Action {
	m.actions = nil
	if m.phase < Stopped {
		m.enterAndAnnounce(Stopped)
	}
	return m.actions
}

// becomeReadyIfPossible leaves Starting once the node has endpoints and is a member.
func (m *StateMachine) becomeReadyIfPossible() {
	if m.phase != Starting || !m.hasEndpoints || m.accepted == nil {
		return
	}
	if m.accepted.numberOf(m.settings.Name) >= 0 {
		m.enterPhase(Ready)
	}
}

func (m *StateMachine) enterAndAnnounce(p Phase) {
	m.enterPhase(p)
	m.announceToAll()
}

func (m *StateMachine) enterPhase(p Phase) {
	m.phase = p
	m.actions = append(m.actions, PhaseChanged{p})
}
