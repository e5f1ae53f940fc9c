package usage

// Action is something a Tally wants done.
type Action interface{ action() }

// Call asks for all registers of a total, then sets those in Raise, and puts those
// in Seed where there are none. Answered must follow.
type Call struct {
	ID    uint64
	Part  int
	Key   Key
	Raise []Register // of this process, of earlier ones of this node, and of dead ones that the counter holds lower
	Seed  []Register // of others
	Level Level      // to be kept beside them; At zero: none

	Expire bool // set anew how long the total is kept
	Epoch  bool // ask for the part's epoch, too
}

// Cost is how many commands the call takes.
func (c Call) Cost() int {
	n := 1 + len(c.Seed)
	for _, also := range []bool{len(c.Raise) > 0 || !c.Level.At.IsZero(), c.Expire, c.Epoch} {
		if also {
			n++
		}
	}
	return n
}

// Tell sends registers to another node; they may be lost.
type Tell struct {
	To        int
	Registers []Register
}

// Restore says how full a customer's store is, to a node that can't know: its
// process is young, or it may hear none of the others.
type Restore struct {
	Customer string
	Units    float64
}

// Note is for the operators.
type Note struct {
	Part  int
	State State
	Text  string
}

func (Call) action()    {}
func (Tell) action()    {}
func (Restore) action() {}
func (Note) action()    {}

// Answer is what the counter said to a Call.
type Answer struct {
	Failed    bool       // it gave none: the call may or may not have counted
	Epoch     string     // drawn anew whenever the part starts empty; "": not asked for
	Registers []Register // before the call raised any
	Level     Level
}
