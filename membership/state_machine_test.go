package membership

import (
	"errors"
	"testing"
)

// rejection returns the error of the log event that reports a rejected roster, or nil if there is
// none.
func rejection(actions []Action) error {
	for _, a := range actions {
		event, ok := a.(LogEvent)
		if !ok || event.Message != "roster rejected" || !event.NeedsAction {
			continue
		}
		for _, attribute := range event.Attributes {
			if err, ok := attribute.Value.(error); ok {
				return err
			}
		}
	}
	return nil
}

func TestConflictingRostersAreRejected(t *testing.T) {
	m := NewStateMachine(Settings{Name: "a", Snapshot: Snapshot{Epoch: 2, ChangeComplete: true}})
	var stale *StaleEpochError
	err := rejection(m.HandleRoster(testStart, Roster{Epoch: 1, Nodes: testNodes("a")}))
	if !errors.As(err, &stale) || *stale != (StaleEpochError{Epoch: 1, Accepted: 2, BeforeRestart: true}) {
		t.Errorf("a roster older than the snapshot: %v", err)
	}
	if err := rejection(m.HandleRoster(testStart, Roster{Epoch: 2, Nodes: testNodes("a", "b")})); err != nil || !m.ChangeComplete() {
		t.Errorf("the roster of the snapshot's epoch: %v, complete %v", err, m.ChangeComplete())
	}
	var changed *ChangedRosterError
	err = rejection(m.HandleRoster(testStart, Roster{Epoch: 2, Nodes: testNodes("a", "c")}))
	if !errors.As(err, &changed) || changed.Epoch != 2 || m.accepted.Nodes[1].Name != "b" {
		t.Errorf("a different roster of the same epoch: %v", err)
	}
	var invalid *RosterError
	err = rejection(m.HandleRoster(testStart, Roster{Epoch: 3}))
	if !errors.As(err, &invalid) || invalid.Problem != NoNodes || m.accepted.Epoch != 2 {
		t.Errorf("a roster without nodes: %v", err)
	}
}
