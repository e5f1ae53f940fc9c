package membership

import "testing"

func TestPhasesOnlyAdvance(t *testing.T) {
	m := NewStateMachine(Settings{Name: "a"})
	if m.StartServing(); m.Phase() != Starting {
		t.Error("serving before the node is ready")
	}
	m.EndpointsReady()
	if m.Phase() != Starting {
		t.Error("ready without a roster")
	}
	m.HandleRoster(testStart, Roster{Epoch: 1, Nodes: testNodes("a", "b")})
	if m.Phase() != Ready {
		t.Error("not ready with endpoints and a roster")
	}
	m.StartServing()
	if actions := m.StartDraining(); m.Phase() != Draining || len(actions) != 2 {
		t.Errorf("phase %v after actions %v", m.Phase(), actions)
	}
	if m.StartServing(); m.Phase() != Draining {
		t.Error("a draining node is serving again")
	}
	if m.Stop(); m.Phase() != Stopped {
		t.Error("not stopped after Stop")
	}
	other := NewStateMachine(Settings{Name: "x"})
	other.EndpointsReady()
	if other.HandleRoster(testStart, Roster{Epoch: 1, Nodes: testNodes("a", "b")}); other.Phase() != Starting {
		t.Error("ready though the roster does not list the node")
	}
}
