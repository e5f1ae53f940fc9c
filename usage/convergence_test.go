package usage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Random faults of counter, messages and nodes, alone and together. At all
// times nothing counts twice. Once all is healed the counter holds all that any
// living process passed, and all that was saved of dead ones.
func TestCounterConvergesAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleet(t, 4)
		surely := map[TotalKey]map[WriterID]MilliUnits{} // saved, or the process lives
		customer := rapid.SampledFrom([]string{"a", "b", "c"})
		node := rapid.IntRange(0, 3)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				m := w.nodes[node.Draw(t, "node")]
				w.forward(m, customer.Draw(t, "customer"), float64(rapid.IntRange(1, 4).Draw(t, "units")))
			},
			"time": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"save": func(t *rapid.T) {
				m := w.nodes[node.Draw(t, "node")]
				m.save(w.now)
			},
			"kill": func(t *rapid.T) { w.restart(w.nodes[node.Draw(t, "node")], true) },
			"lose disk": func(t *rapid.T) {
				w.restart(w.nodes[node.Draw(t, "node")], false)
			},
			"fault": func(t *rapid.T) { w.fault = rapid.SampledFrom([]string{"", "silent", "lost"}).Draw(t, "fault") },
			"empty": func(t *rapid.T) { w.replaceWithEmpty() },
			"copy":  func(t *rapid.T) { w.savedCopy = w.copies[0].clone() },
			"mail":  func(t *rapid.T) { w.messagesDelivered = !w.messagesDelivered },
			"split": func(t *rapid.T) { w.divide() },
			"heal":  func(t *rapid.T) { w.heal(rapid.SampledFrom([]string{"first", "second", "both"}).Draw(t, "how")) },
			"old copy back": func(t *rapid.T) {
				if w.savedCopy != nil && !w.split {
					w.copies[0] = w.savedCopy.clone()
					w.copies[1] = w.copies[0]
				}
			},
			"": func(t *rapid.T) { w.checkInvariants() },
		})
		w.heal("first")
		w.fault, w.messagesDelivered = "", true
		w.advance(12 * time.Second)
		w.checkInvariants()
		for _, m := range w.nodes {
			for k, owners := range w.truth {
				o := WriterID{m.index, m.incarnation}
				if surely[k] == nil {
					surely[k] = map[WriterID]MilliUnits{}
				}
				if u, ok := owners[o]; ok {
					surely[k][o] = u
				}
			}
		}
		for k, owners := range surely {
			for o, u := range owners {
				if got := w.copies[0].totals[k][o]; got != u {
					t.Fatalf("healed, the counter holds %d of %v for %v, %d passed", got, o, k, u)
				}
			}
		}
	})
}
