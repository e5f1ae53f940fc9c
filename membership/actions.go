package membership

// Action is an effect that a StateMachine asks its caller to perform. The actions of one call,
// and of successive calls, must be carried out in the order in which they are returned: state
// that must be durable is saved before the gateway and its peers are notified.
type Action interface{ action() }

// FleetResized sets the fleet's size in the quota policy, like policy.FleetResized: the gateway
// enforces the smaller of its shares for the sizes Gateways and PreviousSize.
type FleetResized struct {
	Gateways     int
	PreviousSize int // 0: no change is in progress; negative: unknown, so that the share is zero
}

// AddressAssigned sets the address to which messages for a node number are sent.
type AddressAssigned struct {
	Number  int
	Address string // host:port
}

// SendAnnouncement sends an announcement to the node with a number. Delivery need not be
// reliable, because announcements are repeated.
type SendAnnouncement struct {
	To           int
	Announcement Announcement
}

// SaveSnapshot stores a snapshot. It must be durable before the next action is carried out, so
// that a restarted node never falls behind the state that it has announced.
type SaveSnapshot struct{ Snapshot Snapshot }

// PhaseChanged reports that this node has entered a phase.
type PhaseChanged struct{ Phase Phase }

// LogEvent is an event to be written to the log.
type LogEvent struct {
	Message     string
	Attributes  []Attribute
	NeedsAction bool // an operator has to act
}

// Attribute is a named value of a LogEvent.
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

// logInfo appends an event that needs no action by an operator.
func (m *StateMachine) logInfo(message string, attributes ...Attribute) {
	m.actions = append(m.actions, LogEvent{Message: message, Attributes: attributes})
}

// logWarning appends an event that needs action by an operator.
func (m *StateMachine) logWarning(message string, attributes ...Attribute) {
	m.actions = append(m.actions, LogEvent{Message: message, Attributes: attributes, NeedsAction: true})
}
