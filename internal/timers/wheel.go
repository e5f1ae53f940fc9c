// Package timers holds a node's pending timers in a hierarchical timing wheel
// (Varghese and Lauck, 1987): adding and stopping cost the same however many
// are pending. It reads no clock.
package timers

import (
	"math/bits"
	"time"
)

const (
	levels    = 4
	slotBits  = 6
	slots     = 1 << slotBits
	precision = time.Millisecond
)

// Wheel holds timers by the time they run out at, in steps of a millisecond.
// A timer never fires early. The zero Wheel is ready at time 0; it is not safe
// for concurrent use.
type Wheel struct {
	tick  int64 // all timers up to it have fired
	level [levels][slots]*Timer
	used  [levels]uint64 // slots that may hold timers
	n     int
}

// Timer is one pending timer.
type Timer struct {
	Fire       func()
	at         int64
	w          *Wheel
	prev, next *Timer
	slot       **Timer
}

// Len is the number of timers pending.
func (w *Wheel) Len() int { return w.n }

// Add has fire called by the first Advance at or after a time.
func (w *Wheel) Add(at time.Duration, fire func()) *Timer {
	t := &Timer{Fire: fire, at: int64((at + precision - 1) / precision), w: w}
	t.at = max(t.at, w.tick+1)
	w.place(t)
	w.n++
	return t
}

func (w *Wheel) place(t *Timer) {
	l := 0
	for l < levels-1 && (t.at>>(slotBits*l))-(w.tick>>(slotBits*l)) >= slots {
		l++
	}
	// One too far off for the top level waits in its last slot, and is placed
	// anew from there.
	pos := min(t.at>>(slotBits*l), w.tick>>(slotBits*l)+slots-1)
	i := pos & (slots - 1)
	t.slot = &w.level[l][i]
	t.prev, t.next = nil, *t.slot
	if t.next != nil {
		t.next.prev = t
	}
	*t.slot = t
	w.used[l] |= 1 << i
}

// Stop takes a timer out; it is false for one that fired or was stopped.
func (t *Timer) Stop() bool {
	if t == nil || t.slot == nil {
		return false
	}
	t.unlink()
	t.w.n--
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
	if w.n == 0 {
		return 0, false
	}
	best := int64(-1)
	for l := range levels {
		cur := w.tick >> (slotBits * l)
		// Slots from the one after the current on, in the order they come up.
		rot := bits.RotateLeft64(w.used[l], -int((cur+1)&(slots-1)))
		for rot != 0 {
			k := bits.TrailingZeros64(rot)
			rot &= rot - 1
			pos := cur + 1 + int64(k)
			if i := pos & (slots - 1); w.level[l][i] == nil {
				w.used[l] &^= 1 << i
				continue
			}
			if at := pos << (slotBits * l); best < 0 || at < best {
				best = at
			}
			break
		}
	}
	return time.Duration(best) * precision, true
}

// Advance fires what has run out by now, in order of time; timers of one
// millisecond in no order.
func (w *Wheel) Advance(now time.Duration) {
	end := int64(now / precision)
	for w.tick < end {
		if w.n == 0 {
			w.tick = end
			return
		}
		next, _ := w.Next()
		if n := int64(next / precision); n > end {
			w.tick = end
			return
		} else {
			w.tick = n
		}
		for l := levels - 1; l > 0; l-- {
			if w.tick&(1<<(slotBits*l)-1) == 0 {
				w.cascade(l)
			}
		}
		i := w.tick & (slots - 1)
		for t := w.level[0][i]; t != nil; t = w.level[0][i] {
			t.unlink()
			w.n--
			t.Fire()
		}
		w.used[0] &^= 1 << i
	}
}

// cascade places the timers of a level's current slot nearer.
func (w *Wheel) cascade(l int) {
	i := w.tick >> (slotBits * l) & (slots - 1)
	list := w.level[l][i]
	w.level[l][i] = nil
	w.used[l] &^= 1 << i
	for list != nil {
		t := list
		list = t.next
		t.prev, t.next = nil, nil
		w.place(t)
	}
}
