package usage

import "fmt"

// Evidence is the reason why a Tracker changed the state of a shard: a FailedCalls, a
// LostEntries, an UnconfirmedClaims or a CompleteResponses. String describes it for the log.
type Evidence interface{ fmt.Stringer }

// FailedCalls is evidence of an unresponsive shard.
type FailedCalls struct {
	Count int // consecutive calls without a valid response
}

func (f FailedCalls) String() string {
	return fmt.Sprintf("%d consecutive calls failed", f.Count)
}

// LostEntries is evidence that a shard lost entries of a total, or that another shard answers
// in its place.
type LostEntries struct {
	Key         TotalKey
	Missing     int        // number of missing entries
	Lower       int        // number of entries that are lower than the shard had confirmed
	LargestLoss MilliUnits // largest decrease of one entry
}

func (l LostEntries) String() string {
	return fmt.Sprintf("entries lost: customer %s, window %d: %d entries missing and %d lower, by at most %.3f units",
		l.Key.Customer, l.Key.Window, l.Missing, l.Lower, l.LargestLoss.inUnits())
}

// any reports whether an entry was lost.
func (l LostEntries) any() bool { return l.Missing > 0 || l.Lower > 0 }

// UnconfirmedClaims is evidence of a diverged shard.
type UnconfirmedClaims struct {
	Key   TotalKey
	Count int // number of writers whose nodes sent entries that the shard lacks
}

func (u UnconfirmedClaims) String() string {
	return fmt.Sprintf("customer %s, window %d: entries that %d peers reported as written are missing",
		u.Key.Customer, u.Key.Window, u.Count)
}

// CompleteResponses is evidence of a healthy shard.
type CompleteResponses struct {
	Count int // consecutive responses with every expected entry
}

func (c CompleteResponses) String() string {
	return fmt.Sprintf("%d consecutive responses held every expected entry", c.Count)
}
