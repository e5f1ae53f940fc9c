package usage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Random faults of counter, messages and nodes occur, alone and together. At all times
// nothing counts twice. Once all is healed the counter holds all that any living process
// forwarded, and all that was saved of dead ones.
func TestCounterConvergesAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 4)
		t.Repeat(f.randomEvents())
		f.heal("first")
		f.fault = noFault
		f.messagesDelivered = true
		f.advance(12 * time.Second)
		f.checkInvariants()
		for _, n := range f.nodes {
			f.checkConverged(n)
		}
	})
}

// checkConverged checks that the counter holds all that a node's process forwarded.
func (f *fleet) checkConverged(n *node) {
	for key, writers := range f.forwarded {
		want, forwarded := writers[n.writer()]
		if !forwarded {
			continue
		}
		if got := f.copies[0].totals[key][n.writer()]; got != want {
			f.t.Fatalf("healed, the counter holds %d of %v for %v, %d forwarded", got, n.writer(), key, want)
		}
	}
}

// randomEvents are the actions of the state machine.
func (f *fleet) randomEvents() map[string]func(*rapid.T) {
	customer := rapid.SampledFrom([]string{"a", "b", "c"})
	index := rapid.IntRange(0, 3)
	drawNode := func(t *rapid.T) *node { return f.nodes[index.Draw(t, "node")] }
	return map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			n := drawNode(t)
			f.forward(n, customer.Draw(t, "customer"), float64(rapid.IntRange(1, 4).Draw(t, "units")))
		},
		"time": func(t *rapid.T) {
			f.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"save":      func(t *rapid.T) { drawNode(t).save(f.now) },
		"kill":      func(t *rapid.T) { f.restart(drawNode(t), true) },
		"lose disk": func(t *rapid.T) { f.restart(drawNode(t), false) },
		"fault": func(t *rapid.T) {
			f.fault = rapid.SampledFrom([]counterFault{noFault, noResponse, lostResponses}).Draw(t, "fault")
		},
		"empty": func(*rapid.T) { f.replaceWithEmpty() },
		"copy":  func(*rapid.T) { f.savedCopy = f.copies[0].clone() },
		"mail":  func(*rapid.T) { f.messagesDelivered = !f.messagesDelivered },
		"split": func(*rapid.T) { f.splitCounter() },
		"heal":  func(t *rapid.T) { f.heal(rapid.SampledFrom([]string{"first", "second", "both"}).Draw(t, "how")) },
		"old copy back": func(*rapid.T) {
			if f.savedCopy != nil && !f.split {
				f.replaceWith(f.savedCopy.clone())
			}
		},
		"": func(*rapid.T) { f.checkInvariants() },
	}
}
