package usage

// Action is an effect that a Tracker asks its caller to perform: a CounterCall, a
// PeerMessage, a RestoreLevel or an OperatorNote.
type Action interface{ action() }

// CounterCall is one exchange with a shard of the counter. The caller must first read all
// entries of the total, then write, and must pass the result to Tracker.HandleResponse
// exactly once, also after a timeout.
type CounterCall struct {
	ID    uint64 // unique within the process
	Shard int
	Key   TotalKey

	// Raise are entries to write unconditionally: those of this node's processes, and those
	// of dead writers that are lower in the counter than before.
	Raise []CounterEntry

	// AddIfMissing are entries of other nodes, to write only where the counter has none:
	// their writers may have raised them since.
	AddIfMissing []CounterEntry

	Level         Level // to write beside the entries; a zero At: none
	RefreshExpiry bool  // restart the total's time to live, if anything is written
	ReadEpoch     bool  // read the shard's epoch, too
}

// CommandCount is the number of counter commands that the call takes, at least 1.
func (c CounterCall) CommandCount() int {
	count := 1 + len(c.AddIfMissing)
	if len(c.Raise) > 0 || !c.Level.At.IsZero() {
		count++
	}
	if c.RefreshExpiry {
		count++
	}
	if c.ReadEpoch {
		count++
	}
	return count
}

// CounterResponse is the result of a CounterCall.
type CounterResponse struct {
	// Failed means that no valid response came in time. The call may or may not have been
	// carried out. The other fields are not used.
	Failed bool

	// Epoch is a value drawn anew whenever the shard starts empty; "": not read.
	Epoch string

	Entries []CounterEntry // of the total, before the call wrote
	Level   Level          // before the call wrote; a zero At: none
}

// PeerMessage sends entries of this process to another node. Delivery is best effort.
type PeerMessage struct {
	To      int // index of the node
	Entries []CounterEntry
}

// RestoreLevel reports a customer's level to the admission policy, where this node cannot
// know it by itself: its process is young, or it is isolated from its peers.
type RestoreLevel struct {
	Customer string
	Units    float64
}

// ShardStateChanged reports a change of a shard's state, for the log.
type ShardStateChanged struct {
	Shard    int
	State    ShardState
	Evidence Evidence
}

func (CounterCall) action()       {}
func (PeerMessage) action()       {}
func (RestoreLevel) action()      {}
func (ShardStateChanged) action() {}
