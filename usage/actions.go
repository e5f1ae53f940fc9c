package usage

// Action is an effect that a Tracker asks its caller to perform: a CounterCall, a
// PeerMessage, a RestoreLevel or a ShardStateChanged.
type Action interface{ action() }

// CounterCall is one exchange with a shard of the counter. The caller must read all entries
// of the total before it writes, and must pass the result to Tracker.HandleResponse exactly
// once, even after a timeout.
type CounterCall struct {
	ID    uint64 // unique within the process
	Shard int
	Key   TotalKey

	// Raise lists the entries to write unconditionally: those of this node's processes, and
	// those of dead writers that are lower in the counter than before.
	Raise []CounterEntry

	// AddIfMissing lists entries of other nodes. Each is written only if the counter has no
	// entry of that writer, because the writer may have raised its entry in the meantime.
	AddIfMissing []CounterEntry

	Level         Level // written with the entries; not written if At is zero
	RefreshExpiry bool  // restart the total's time to live if the call writes anything
	ReadEpoch     bool  // also read the shard's epoch
}

// CommandCount returns the number of counter commands that the call takes, at least 1.
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
	// Failed means that no valid response was received in time. The shard may or may not have
	// executed the call. The other fields are not used.
	Failed bool

	// Epoch is a random value that is generated each time the shard starts empty. It is empty
	// if the call did not read it.
	Epoch string

	Entries []CounterEntry // entries of the total before the call wrote
	Level   Level          // level before the call wrote; At is zero if there was none
}

// PeerMessage sends entries of this process to another node. Delivery is best-effort.
type PeerMessage struct {
	To      int // index of the node
	Entries []CounterEntry
}

// RestoreLevel reports a customer's level to the admission policy if this node cannot derive
// the level by itself, because its process has just started or it is isolated from its peers.
type RestoreLevel struct {
	Customer string
	Units    float64
}

// ShardStateChanged reports a change of a shard's state for the log.
type ShardStateChanged struct {
	Shard    int
	State    ShardState
	Evidence Evidence
}

func (CounterCall) action()       {}
func (PeerMessage) action()       {}
func (RestoreLevel) action()      {}
func (ShardStateChanged) action() {}
