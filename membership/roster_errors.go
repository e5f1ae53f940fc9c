package membership

import "fmt"

// RosterProblem is the reason why a roster is not valid.
type RosterProblem int

// The problems. Each names the fields of RosterError that it sets.
const (
	ZeroEpoch           RosterProblem = iota // no field
	NoNodes                                  // no field
	UnnamedNode                              // Number
	DuplicateName                            // Name
	UnusableAddress                          // Name, Address: empty, or another node's
	LeavingNameUnusable                      // Name: empty, or another node's
	LeavingNumberTaken                       // Name, Number: a member's, or another leaving node's
	RemovedNodePresent                       // Name: removed, and a member or leaving
	NumberChanged                            // Name, Number, NewNumber: a node keeps its number
)

// RosterError is the error of a roster that is not valid by itself, or cannot follow the
// one before.
type RosterError struct {
	Problem   RosterProblem
	Name      string
	Address   string
	Number    int
	NewNumber int
}

// Error describes the problem and the node that has it.
func (e *RosterError) Error() string {
	switch e.Problem {
	case ZeroEpoch:
		return "the epoch is 0; the first is 1"
	case NoNodes:
		return "there is no node"
	case UnnamedNode:
		return fmt.Sprintf("node %d has no name", e.Number)
	case DuplicateName:
		return fmt.Sprintf("node %q stands twice", e.Name)
	case UnusableAddress:
		return fmt.Sprintf("node %q: the address %q is empty or another's", e.Name, e.Address)
	case LeavingNameUnusable:
		return fmt.Sprintf("node %q stands twice, or has no name", e.Name)
	case LeavingNumberTaken:
		return fmt.Sprintf("number %d of %q, which is leaving, is another's: it must be gone first", e.Number, e.Name)
	case RemovedNodePresent:
		return fmt.Sprintf("node %q is in the roster and gone", e.Name)
	case NumberChanged:
		return fmt.Sprintf("node %q had number %d and would have %d: a node keeps its number", e.Name, e.Number, e.NewNumber)
	default:
		return fmt.Sprintf("roster problem %d", int(e.Problem))
	}
}

// StaleEpochError is the error of a roster that is older than the one in force, or than the
// one in force before a restart.
type StaleEpochError struct {
	Epoch         uint64 // of the rejected roster
	Accepted      uint64 // in force
	BeforeRestart bool   // Accepted is known from the snapshot
}

// Error names both epochs.
func (e *StaleEpochError) Error() string {
	if e.BeforeRestart {
		return fmt.Sprintf("epoch %d is older than epoch %d, accepted before the restart", e.Epoch, e.Accepted)
	}
	return fmt.Sprintf("epoch %d is older than the accepted epoch %d", e.Epoch, e.Accepted)
}

// ChangedRosterError is the error of a roster that differs from the accepted one of the same
// epoch.
type ChangedRosterError struct {
	Epoch uint64
}

// Error names the epoch.
func (e *ChangedRosterError) Error() string {
	return fmt.Sprintf("the roster of epoch %d was changed without a new epoch", e.Epoch)
}
