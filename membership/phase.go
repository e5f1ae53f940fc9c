package membership

import "fmt"

// Phase is a state in the life cycle of a node's process. Phases only advance. The values are sent
// in messages between peers and must not change.
type Phase int

// The phases, in order.
const (
	Starting Phase = iota // has no roster that lists the node, or no endpoint list
	Ready                 // has both, and accepts no connections yet
	Serving               // accepts connections
	Draining              // accepts no new connections and finishes requests in flight
	Stopped               // is about to exit, and sends no further announcement
)

// phaseNames lists the names of the phases in the log.
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

// StartServing reports that the node accepts connections. It has no effect unless the phase is
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

// Stop reports that no request is in flight any more. If the node is leaving the fleet, peers
// then stop waiting for it.
func (m *StateMachine) Stop() []Action {
	m.actions = nil
	if m.phase < Stopped {
		m.enterAndAnnounce(Stopped)
	}
	return m.actions
}

// becomeReadyIfPossible enters Ready from Starting if the node has endpoints and is a member.
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
