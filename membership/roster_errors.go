package membership

import "fmt"

// RosterProblem is the reason why a roster is not valid.
type RosterProblem int

// The problems. The comment of each lists the fields of RosterError that are set.
const (
	ZeroEpoch           RosterProblem = iota // none
	NoNodes                                  // none
	UnnamedNode                              // Number
	DuplicateName                            // Name
	UnusableAddress                          // Name, Address: the address is empty or used by another node
	LeavingNameUnusable                      // Name: the name is empty or used by another node
	LeavingNumberTaken                       // Name, Number: the number belongs to a member or another leaving node
	RemovedNodePresent                       // Name: the node is removed, but also a member or leaving
	NumberChanged                            // Name, Number, NewNumber: a node must keep its number
)

// RosterError reports a roster that is not valid by itself, or cannot follow the previous one.
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
		return fmt.Sprintf("node %q is listed twice", e.Name)
	case UnusableAddress:
		return fmt.Sprintf("node %q: the address %q is empty or used by another node", e.Name, e.Address)
	case LeavingNameUnusable:
		return fmt.Sprintf("leaving node %q is listed twice, or has no name", e.Name)
	case LeavingNumberTaken:
		return fmt.Sprintf("number %d of leaving node %q is used by another node; the leaving node must be listed as gone first", e.Number, e.Name)
	case RemovedNodePresent:
		return fmt.Sprintf("node %q is listed as gone, but is also a member or leaving", e.Name)
	case NumberChanged:
		return fmt.Sprintf("number of node %q would change from %d to %d; a node must keep its number", e.Name, e.Number, e.NewNumber)
	default:
		return fmt.Sprintf("roster problem %d", int(e.Problem))
	}
}

// StaleEpochError reports a roster that is older than the accepted one, or than the one accepted
// before a restart.
type StaleEpochError struct {
	Epoch         uint64 // epoch of the rejected roster
	Accepted      uint64 // accepted epoch
	BeforeRestart bool   // Accepted is from the snapshot of an earlier process
}

// Error states both epochs.
func (e *StaleEpochError) Error() string {
	if e.BeforeRestart {
		return fmt.Sprintf("epoch %d is older than epoch %d, accepted before the restart", e.Epoch, e.Accepted)
	}
	return fmt.Sprintf("epoch %d is older than the accepted epoch %d", e.Epoch, e.Accepted)
}

// ChangedRosterError reports a roster that differs from the accepted one of the same epoch.
type ChangedRosterError struct {
	Epoch uint64
}

// Error states the epoch.
func (e *ChangedRosterError) Error() string {
	return fmt.Sprintf("the roster of epoch %d was changed without a new epoch", e.Epoch)
}
