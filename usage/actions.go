package usage

// Action is something a Tally wants done.
type Action interface{ action() }

// CounterCall asks for all registers of a total, then sets those in Raise, and puts those
// in Seed where there are none. Answered must follow.
type CounterCall struct {
	ID           uint64
	Shard        int
	Key          TotalKey
	Raise        []CounterEntry // of this process, of earlier ones of this node, and of dead ones that the counter holds lower
	AddIfMissing []CounterEntry // of others
	Level        Level          // to be kept beside them; At zero: none

	RefreshExpiry bool // set anew how long the total is kept
	ReadEpoch     bool // ask for the part's epoch, too
}

// CommandCount is how many commands the call takes.
func (c CounterCall) CommandCount() int {
	n := 1 + len(c.AddIfMissing)
	for _, also := range []bool{len(c.Raise) > 0 || !c.Level.At.IsZero(), c.RefreshExpiry, c.ReadEpoch} {
		if also {
			n++
		}
	}
	return n
}

// PeerMessage sends registers to another node; they may be lost.
type PeerMessage struct {
	To      int
	Entries []CounterEntry
}

// RestoreLevel says how full a customer's store is, to a node that can't know: its
// process is young, or it may hear none of the others.
type RestoreLevel struct {
	Customer string
	Units    float64
}

// OperatorNote is for the operators.
type OperatorNote struct {
	Shard    int
	State    ShardState
	Evidence string
}

func (CounterCall) action()  {}
func (PeerMessage) action()  {}
func (RestoreLevel) action() {}
func (OperatorNote) action() {}

// CounterResponse is what the counter said to a Call.
type CounterResponse struct {
	Failed  bool           // it gave none: the call may or may not have counted
	Epoch   string         // drawn anew whenever the part starts empty; "": not asked for
	Entries []CounterEntry // before the call raised any
	Level   Level
}
