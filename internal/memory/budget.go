// Package memory divides the memory that may be used for what clients send and are sent. A Budget is the memory of
// all of them together, an Account the part of one request. It has no I/O: time is passed in, and the owner of an
// account is told when its memory is wanted for another.
package memory

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

// ErrNoRoom is the error for bytes for which there is no room.
var ErrNoRoom = errors.New("no memory to spare")

// Use is what memory is used for. If memory is short, the uses that are named first get none first.
type Use int

// The uses.
const (
	SentAhead Use = iota // requests that a client sends before it has the response to the one in flight
	Request              // a request that is being read or is in flight
	Response             // a response of a server
	numUses
)

// usableQuarters is how many quarters of the budget may be in use, by whatever, after memory is reserved for a use.
var usableQuarters = [numUses]int64{SentAhead: 1, Request: 3, Response: 4}

// reclaimAfter is how long memory is left to a use that waits for its client, if it is wanted for another.
var reclaimAfter = [numUses]time.Duration{
	Request:  100 * time.Millisecond, // clients send a request at once
	Response: time.Second,            // clients may read slowly
}

// maxScanned is the number of accounts that are checked for one that can be reclaimed.
const maxScanned = 8

// Budget is memory that accounts share. Its methods, and those of its accounts, may be called from any goroutine.
type Budget struct {
	limit              int64
	mu                 sync.Mutex
	used               int64              // charged to all accounts
	queue              [numUses]list.List // of accounts that wait for their clients, by use; those that have waited longest first
	shortageReportedAt time.Time
}

// shortageReportInterval is the time between two reports of a shortage.
const shortageReportInterval = 10 * time.Second

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Owner is told that the memory of its account is reclaimed.
type Owner interface {
	// HasUnreadData reports whether the client has sent bytes that have not been read yet, so that the account only
	// seems to wait for the client. It must not call the budget.
	HasUnreadData() bool

	// Reclaim ends what the memory is used for. The account is closed already.
	Reclaim()
}

// Account is what one request and its response hold, or the requests that a client sends ahead. A nil Account has no
// limit.
type Account struct {
	budget *Budget
	owner  Owner
	free   int64 // bytes that are not charged to the budget

	// Guarded by the budget's lock.
	held    [numUses]int64
	charged int64         // the part of what is held that is charged to the budget
	closed  bool          // it holds nothing any more
	queue   *list.List    // the queue that the account is in, or nil
	element *list.Element // its place there
	since   time.Time     // since when it is there
}

// NewAccount returns an account, or nil if the budget is nil. Its first freeBytes are not charged to the budget. The
// owner may be nil if Wait is not called.
func (b *Budget) NewAccount(freeBytes int64, owner Owner) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, owner: owner, free: freeBytes}
}

// Reserve adds bytes to an account. If there is no room it first reclaims other accounts that have waited for their
// clients for too long. If that does not help it returns ErrNoRoom, and what was reserved for the same use is
// released, unless that is requests sent ahead: the one before them goes on. That is one step, so that of several
// messages no more get no room than have to.
func (a *Account) Reserve(now time.Time, use Use, bytes int64) error {
	if a == nil {
		return nil
	}
	for {
		victim, err := a.tryReserve(now, use, bytes)
		if victim == nil {
			return err
		}
		victim.owner.Reclaim()
	}
}

// tryReserve adds bytes if there is room. If there is none it returns an account that it has closed, or an error.
func (a *Account) tryReserve(now time.Time, use Use, bytes int64) (victim *Account, err error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.closed:
		return nil, ErrNoRoom
	case b.hasRoom(use, a.chargeOf(bytes)-a.charged):
		a.setHeld(use, a.held[use]+bytes)
		return nil, nil
	case use == SentAhead:
		return nil, ErrNoRoom
	}
	if victim = b.oldestWaiting(now, a); victim != nil {
		victim.close()
		return victim, nil
	}
	a.setHeld(use, 0)
	return nil, ErrNoRoom
}

// hasRoom reports whether bytes may be charged for a use. The lock must be held.
func (b *Budget) hasRoom(use Use, bytes int64) bool {
	return bytes <= 0 || b.used+bytes <= b.limit/4*usableQuarters[use]
}

// Release removes bytes of a use from an account.
func (a *Account) Release(use Use, bytes int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.setHeld(use, max(0, a.held[use]-bytes))
}

// Close removes all bytes from an account for good.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.close()
}

// close is Close for a caller that holds the budget's lock.
func (a *Account) close() {
	a.dequeue()
	a.closed = true
	for use := range numUses {
		a.setHeld(use, 0)
	}
}

// setHeld sets the number of bytes that an account holds for a use. The budget's lock must be held.
func (a *Account) setHeld(use Use, bytes int64) {
	a.held[use] = bytes
	charged := a.chargeOf(0)
	a.budget.used += charged - a.charged
	a.charged = charged
}

// chargeOf returns what is charged for an account that holds additional bytes. The budget's lock must be held.
func (a *Account) chargeOf(additional int64) int64 {
	held := additional
	for _, bytes := range a.held {
		held += bytes
	}
	return max(0, held-a.free)
}

// Wait records that the account waits for its client from now on: its memory may be reclaimed for another.
func (a *Account) Wait(now time.Time, use Use) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.closed {
		return
	}
	a.dequeue()
	a.queue = &a.budget.queue[use]
	a.since = now
	a.element = a.queue.PushBack(a)
}

// StopWaiting records that the account does not wait for its client any more. It returns false if the account was
// closed, because its memory was reclaimed.
func (a *Account) StopWaiting() bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.dequeue()
	return !a.closed
}

// dequeue takes the account out of its queue. The budget's lock must be held.
func (a *Account) dequeue() {
	if a.queue != nil {
		a.queue.Remove(a.element)
	}
	a.queue, a.element = nil, nil
}

// oldestWaiting returns the account that has waited for its client for longest, long enough to be reclaimed, other than
// except. Requests go before responses. It returns nil if there is none.
func (b *Budget) oldestWaiting(now time.Time, except *Account) *Account {
	for use := range numUses {
		if victim := b.oldestOf(use, now, except); victim != nil {
			return victim
		}
	}
	return nil
}

// oldestOf returns the account that has waited longest for a use and holds memory of the budget. It returns nil if
// there is none among the first maxScanned that have waited for long enough.
func (b *Budget) oldestOf(use Use, now time.Time, except *Account) *Account {
	scanned := 0
	for element := b.queue[use].Front(); element != nil && scanned < maxScanned; element = element.Next() {
		a := element.Value.(*Account)
		if now.Sub(a.since) < reclaimAfter[use] {
			break
		}
		if a == except || a.charged == 0 {
			continue
		}
		if scanned++; !a.owner.HasUnreadData() {
			return a
		}
	}
	return nil
}

// ShortageIsDue reports whether a shortage that somebody has met now is to be reported: the last one was not reported
// shortly before.
func (b *Budget) ShortageIsDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.shortageReportedAt) < shortageReportInterval {
		return false
	}
	b.shortageReportedAt = now
	return true
}

// Used returns how many bytes are charged to the budget.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
