package usage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against lost and double-counted usage under random faults of the counter, of messages and
// of nodes, alone and in combination. No unit may ever be counted twice. After all faults have ended,
// the counter must hold everything that the running processes forwarded.
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

// checkConverged checks that the counter holds everything that a node's process forwarded.
func (f *fleet) checkConverged(n *node) {
	for key, writers := range f.forwarded {
		want, found := writers[n.writer()]
		if !found {
			continue
		}
		if got := f.copies[0].totals[key][n.writer()]; got != want {
			f.t.Fatalf("after all faults ended, the counter holds %d of %v for %v, %d forwarded", got, n.writer(), key, want)
		}
	}
}

// randomEvents returns the actions of the state machine test. The order of their names determines
// the sequences that a seed generates.
func (f *fleet) randomEvents() map[string]func(*rapid.T) {
	customer := rapid.SampledFrom([]string{"a", "b", "c"})
	index := rapid.IntRange(0, 3)
	drawNode := func(t *rapid.T) *node { return f.nodes[index.Draw(t, "node")] }
	return map[string]func(*rapid.T){
		"proxy request": func(t *rapid.T) {
			n := drawNode(t)
			f.forward(n, customer.Draw(t, "customer"), float64(rapid.IntRange(1, 4).Draw(t, "units")))
		},
		"time passes": func(t *rapid.T) {
			f.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"save":         func(t *rapid.T) { drawNode(t).save(f.now) },
		"kill process": func(t *rapid.T) { f.restart(drawNode(t), true) },
		"lose disk":    func(t *rapid.T) { f.restart(drawNode(t), false) },
		"fault": func(t *rapid.T) {
			f.fault = rapid.SampledFrom([]counterFault{noFault, noResponse, lostResponses}).Draw(t, "fault")
		},
		"empty counter":    func(*rapid.T) { f.replaceWithEmpty() },
		"copy counter":     func(*rapid.T) { f.savedCopy = f.copies[0].clone() },
		"message delivery": func(*rapid.T) { f.messagesDelivered = !f.messagesDelivered },
		"split":            func(*rapid.T) { f.splitCounter() },
		"heal":             func(t *rapid.T) { f.heal(rapid.SampledFrom([]string{"first", "second", "both"}).Draw(t, "how")) },
		"old copy restored": func(*rapid.T) {
			if f.savedCopy != nil && !f.split {
				f.replaceWith(f.savedCopy.clone())
			}
		},
		"": func(*rapid.T) { f.checkInvariants() },
	}
}
