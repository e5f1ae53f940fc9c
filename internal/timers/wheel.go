// Package timers holds an event loop's pending timers in a hierarchical timing wheel
// (Varghese and Lauck, 1987): the cost of adding or stopping a timer does not depend on the number
// of pending timers. It reads no clock and starts no goroutine.
package timers

import (
	"math/bits"
	"time"
)

const (
	levelCount    = 4
	slotBits      = 6 // one slot of a level spans all slots of the level below
	slotsPerLevel = 1 << slotBits
	slotMask      = slotsPerLevel - 1
	tickLength    = time.Millisecond
)

// noTick is returned if there is no matching tick.
const noTick = -1

// Wheel holds timers by the time at which they are due, in ticks of one millisecond. A timer
// never fires early. The zero Wheel is ready to use and is at time 0. A Wheel is not safe for
// concurrent use; the functions of its timers may call its methods.
type Wheel struct {
	currentTick int64 // all timers due at this tick or earlier have fired
	pending     int

	slots    [levelCount][slotsPerLevel]*Timer // heads of linked lists
	occupied [levelCount]uint64                // if bit i is set, slot i may hold timers; if it is clear, slot i is empty
}

// Timer is one timer of a Wheel.
type Timer struct {
	wheel   *Wheel
	fire    func()
	dueTick int64

	slot       **Timer // head of the list that holds the timer; nil if it fired or was stopped
	prev, next *Timer
}

// Len returns the number of pending timers.
func (w *Wheel) Len() int { return w.pending }

// Add adds a timer. The first Advance to at or later calls fire, in the goroutine that calls
// Advance. If at has passed, the timer is due at the next tick.
func (w *Wheel) Add(at time.Duration, fire func()) *Timer {
	roundedUp := int64((at + tickLength - 1) / tickLength)
	t := &Timer{wheel: w, fire: fire, dueTick: max(roundedUp, w.currentTick+1)}
	w.insert(t)
	w.pending++
	return t
}

// slotNumber returns the number of the slot of a level that contains a tick, counted from time 0.
func slotNumber(tick int64, level int) int64 { return tick >> (slotBits * level) }

// insert puts a timer into the lowest level whose slots include its tick. A timer beyond the top
// level is put into the last slot of the top level, and inserted again when that slot is reached.
func (w *Wheel) insert(t *Timer) {
	level := 0
	for level < levelCount-1 && slotNumber(t.dueTick, level)-slotNumber(w.currentTick, level) >= slotsPerLevel {
		level++
	}
	lastSlot := slotNumber(w.currentTick, level) + slotsPerLevel - 1
	i := min(slotNumber(t.dueTick, level), lastSlot) & slotMask
	t.link(&w.slots[level][i])
	w.occupied[level] |= 1 << i
}

// link puts the timer at the head of a slot's list.
func (t *Timer) link(slot **Timer) {
	t.slot = slot
	t.prev = nil
	t.next = *slot
	if t.next != nil {
		t.next.prev = t
	}
	*slot = t
}

// unlink removes the timer from its list.
func (t *Timer) unlink() {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		*t.slot = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.prev = nil
	t.next = nil
	t.slot = nil
}

// Stop removes a timer. It returns false if the timer is nil, has fired or was already stopped.
func (t *Timer) Stop() bool {
	if t == nil || t.slot == nil {
		return false
	}
	t.unlink()
	t.wheel.pending--
	return true
}

// Next returns the time at which Advance should be called again, or false if no timer is pending.
// It may be earlier than the time at which the next timer is due, but not later.
func (w *Wheel) Next() (time.Duration, bool) {
	if w.pending == 0 {
		return 0, false
	}
	earliest := int64(noTick)
	for level := range levelCount {
		tick := w.nextOccupied(level)
		if tick != noTick && (earliest == noTick || tick < earliest) {
			earliest = tick
		}
	}
	return time.Duration(earliest) * tickLength, true
}

// nextOccupied returns the first tick of the next slot of a level that holds timers, or
// noTick. It clears the bits of the empty slots that it skips.
func (w *Wheel) nextOccupied(level int) int64 {
	first := slotNumber(w.currentTick, level) + 1
	// Bit k stands for the slot with the number first+k.
	upcoming := bits.RotateLeft64(w.occupied[level], -int(first&slotMask))
	for upcoming != 0 {
		k := bits.TrailingZeros64(upcoming)
		upcoming &= upcoming - 1
		number := first + int64(k)
		i := number & slotMask
		if w.slots[level][i] != nil {
			return number << (slotBits * level)
		}
		w.occupied[level] &^= 1 << i
	}
	return noTick
}

// Advance moves the wheel to a time and fires the timers that are due, in order of their ticks.
// The order of timers with the same tick is not defined.
func (w *Wheel) Advance(now time.Duration) {
	end := int64(now / tickLength)
	for w.currentTick < end {
		next, anyPending := w.Next()
		nextTick := int64(next / tickLength)
		if !anyPending || nextTick > end {
			w.currentTick = end
			return
		}
		w.currentTick = nextTick
		w.cascadeAll()
		w.fireCurrent()
	}
}

// cascadeAll cascades each level that has reached a new slot, starting from the top level.
func (w *Wheel) cascadeAll() {
	for level := levelCount - 1; level > 0; level-- {
		ticksPerSlot := int64(1) << (slotBits * level)
		if w.currentTick%ticksPerSlot == 0 {
			w.cascade(level)
		}
	}
}

// cascade moves the timers of a level's current slot to lower levels.
func (w *Wheel) cascade(level int) {
	i := slotNumber(w.currentTick, level) & slotMask
	list := w.slots[level][i]
	w.slots[level][i] = nil
	w.occupied[level] &^= 1 << i
	for list != nil {
		t := list
		list = t.next
		w.insert(t)
	}
}

// fireCurrent fires the timers of the current tick. Their functions may stop other timers, and
// add timers, which are due at later ticks.
func (w *Wheel) fireCurrent() {
	i := w.currentTick & slotMask
	for t := w.slots[0][i]; t != nil; t = w.slots[0][i] {
		t.unlink()
		w.pending--
		t.fire()
	}
	w.occupied[0] &^= 1 << i
}
