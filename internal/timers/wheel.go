// Package timers holds a node's pending timers in a hierarchical timing wheel
// (Varghese and Lauck, 1987): adding and stopping cost the same however many
// are pending. It reads no clock.
package timers

import (
	"math/bits"
	"time"
)

const (
	levelCount    = 4
	slotBits      = 6
	slotsPerLevel = 1 << slotBits
	tickLength    = time.Millisecond
)

// Wheel holds timers by the time they run out at, in steps of a millisecond.
// A timer never fires early. The zero Wheel is ready at time 0; it is not safe
// for concurrent use.
type Wheel struct {
	currentTick int64 // all timers up to it have fired
	slots       [levelCount][slotsPerLevel]*Timer
	occupied    [levelCount]uint64 // slots that may hold timers
	pending     int
}

// Timer is one pending timer.
type Timer struct {
	fire       func()
	dueTick    int64
	wheel      *Wheel
	prev, next *Timer
	slot       **Timer
}

// Len is the number of timers pending.
func (w *Wheel) Len() int { return w.pending }

// Add has fire called by the first Advance at or after a time.
func (w *Wheel) Add(at time.Duration, fire func()) *Timer {
	t := &Timer{fire: fire, dueTick: int64((at + tickLength - 1) / tickLength), wheel: w}
	t.dueTick = max(t.dueTick, w.currentTick+1)
	w.insert(t)
	w.pending++
	return t
}

func (w *Wheel) insert(t *Timer) {
	l := 0
	for l < levelCount-1 && (t.dueTick>>(slotBits*l))-(w.currentTick>>(slotBits*l)) >= slotsPerLevel {
		l++
	}
	// One too far off for the top level waits in its last slot, and is placed
	// anew from there.
	pos := min(t.dueTick>>(slotBits*l), w.currentTick>>(slotBits*l)+slotsPerLevel-1)
	i := pos & (slotsPerLevel - 1)
	t.slot = &w.slots[l][i]
	t.prev, t.next = nil, *t.slot
	if t.next != nil {
		t.next.prev = t
	}
	*t.slot = t
	w.occupied[l] |= 1 << i
}

// Stop takes a timer out; it is false for one that fired or was stopped.
func (t *Timer) Stop() bool {
	if t == nil || t.slot == nil {
		return false
	}
	t.unlink()
	t.wheel.pending--
	return true
}

func (t *Timer) unlink() {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		*t.slot = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.prev, t.next, t.slot = nil, nil, nil
}

// Next is a time by which Advance is to be called again; false when nothing is
// pending. It may come before the next timer, never after it.
func (w *Wheel) Next() (time.Duration, bool) {
	if w.pending == 0 {
		return 0, false
	}
	best := int64(-1)
	for l := range levelCount {
		cur := w.currentTick >> (slotBits * l)
		// Slots from the one after the current on, in the order they come up.
		rot := bits.RotateLeft64(w.occupied[l], -int((cur+1)&(slotsPerLevel-1)))
		for rot != 0 {
			k := bits.TrailingZeros64(rot)
			rot &= rot - 1
			pos := cur + 1 + int64(k)
			if i := pos & (slotsPerLevel - 1); w.slots[l][i] == nil {
				w.occupied[l] &^= 1 << i
				continue
			}
			if at := pos << (slotBits * l); best < 0 || at < best {
				best = at
			}
			break
		}
	}
	return time.Duration(best) * tickLength, true
}

// Advance fires what has run out by now, in order of time; timers of one
// millisecond in no order.
func (w *Wheel) Advance(now time.Duration) {
	end := int64(now / tickLength)
	for w.currentTick < end {
		if w.pending == 0 {
			w.currentTick = end
			return
		}
		next, _ := w.Next()
		if n := int64(next / tickLength); n > end {
			w.currentTick = end
			return
		} else {
			w.currentTick = n
		}
		for l := levelCount - 1; l > 0; l-- {
			if w.currentTick&(1<<(slotBits*l)-1) == 0 {
				w.cascade(l)
			}
		}
		i := w.currentTick & (slotsPerLevel - 1)
		for t := w.slots[0][i]; t != nil; t = w.slots[0][i] {
			t.unlink()
			w.pending--
			t.fire()
		}
		w.occupied[0] &^= 1 << i
	}
}

// cascade places the timers of a level's current slot nearer.
func (w *Wheel) cascade(l int) {
	i := w.currentTick >> (slotBits * l) & (slotsPerLevel - 1)
	list := w.slots[l][i]
	w.slots[l][i] = nil
	w.occupied[l] &^= 1 << i
	for list != nil {
		t := list
		list = t.next
		t.prev, t.next = nil, nil
		w.insert(t)
	}
}
