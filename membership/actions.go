package membership

// Action is an effect that a StateMachine asks its caller to perform. The actions of one
// call, and of successive calls, must be carried out in the order returned: what must be
// on disk precedes the messages to the gateway and its peers.
type Action interface{ action() }

// FleetResized sets the fleet's size in the quota policy, as policy.FleetResized does: the
// gateway enforces the smaller of its shares by Gateways and by PreviousSize.
type FleetResized struct {
	Gateways     int
	PreviousSize int // 0: no change is in progress; negative: unknown, so that the share is none
}

// AddressAssigned sets the address to which messages for a number go.
type AddressAssigned struct {
	Number  int
	Address string // host:port
}

// SendAnnouncement sends an announcement to a number. It may be lost: it is repeated.
type SendAnnouncement struct {
	To           int
	Announcement Announcement
}

// SaveSnapshot stores a snapshot. It must be durable before the next action is carried out,
// so that a restart never takes back what the node has announced.
type SaveSnapshot struct{ Snapshot Snapshot }

// PhaseChanged reports that this node has entered a phase.
type PhaseChanged struct{ Phase Phase }

// LogEvent is an event for the operators' log.
type LogEvent struct {
	Message     string
	Attributes  []Attribute
	NeedsAction bool // the event does not resolve without an operator
}

// Attribute is a named value of an OperatorNote.
type Attribute struct {
	Key   string
	Value any
}

func (FleetResized) action()     {}
func (AddressAssigned) action()  {}
func (SendAnnouncement) action() {}
func (SaveSnapshot) action()     {}
func (PhaseChanged) action()     {}
func (LogEvent) action()         {}

// logInfo appends an event that resolves by itself, or needs no action.
func (m *StateMachine) logInfo(message string, attributes ...Attribute) {
	m.actions = append(m.actions, LogEvent{Message: message, Attributes: attributes})
}

// logWarning appends an event that needs an operator.
func (m *StateMachine) logWarning(message string, attributes ...Attribute) {
	m.actions = append(m.actions, LogEvent{Message: message, Attributes: attributes, NeedsAction: true})
}
