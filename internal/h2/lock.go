package h2

// Lock is a lock that is held over writes to a connection, which may take long. Who
// waits for it waits on a channel, so that virtual time passes (testing/synctest
// takes one that waits for a sync.Mutex for busy).
type Lock chan struct{}

// NewLock returns a Lock that nobody holds.
func NewLock() Lock { return make(Lock, 1) }

// Lock takes the lock.
func (l Lock) Lock() { l <- struct{}{} }

// Unlock gives it back.
func (l Lock) Unlock() { <-l }
