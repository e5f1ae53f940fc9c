package h2

// Lock is a mutual exclusion lock for writes to a connection, which may block for long.
// Waiting for it blocks on a channel: testing/synctest does not regard a wait for a
// sync.Mutex as durably blocking, and virtual time would not advance.
type Lock chan struct{}

// NewLock returns an unlocked Lock.
func NewLock() Lock { return make(Lock, 1) }

// Lock locks l. It blocks while l is locked.
func (l Lock) Lock() { l <- struct{}{} }

// Unlock unlocks l, which must be locked.
func (l Lock) Unlock() { <-l }
