package membership

import (
	"encoding/json"
	"testing"
)

// Guards against changes of the stored format: a snapshot must have exactly these JSON fields.
func TestSnapshotHasGoldenJSON(t *testing.T) {
	const golden = `{"Epoch":41,"Over":true}`
	want := Snapshot{Epoch: 41, ChangeComplete: true}
	var got Snapshot
	if err := json.Unmarshal([]byte(golden), &got); err != nil || got != want {
		t.Errorf("decoded to %+v, %v", got, err)
	}
	if b, err := json.Marshal(want); err != nil || string(b) != golden {
		t.Errorf("encoded to %s, %v", b, err)
	}
}

// Guards against changes of the values that represent phases and stages in messages between peers.
func TestWireCodesKeepTheirValues(t *testing.T) {
	for want, phase := range []Phase{Starting, Ready, Serving, Draining, Stopped} {
		if int(phase) != want {
			t.Errorf("phase %v is %d, want %d", phase, phase, want)
		}
	}
	for want, stage := range []Stage{StageReceived, StageMinimumShares, StageComplete} {
		if int(stage) != want {
			t.Errorf("stage %d, want %d", stage, want)
		}
	}
}
