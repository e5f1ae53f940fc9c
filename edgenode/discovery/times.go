package discovery

import "time"

// How a watch spends the time that news may take: it counts as told 6 s after discovery
// had it and could be reached, whatever failed meanwhile. The worst order of failures: a
// call is out as discovery comes back, and is silent (1.7 s); the pause is at its longest
// (0.2 s); a dial is lost (0.5 s), and a pause (0.2 s); the next call is silent, too
// (1.7 s), and a pause; the third is answered at once: 4.5 s.
const (
	longPollTime    = time.Second            // a call may wait for news; the agent is on this machine, and its answers cost nothing
	responseGrace   = 700 * time.Millisecond // beyond which it is silent; the process may stand still for some of it
	dialTimeout     = 500 * time.Millisecond
	minBackoff      = 20 * time.Millisecond // between calls that fail, doubled up to most
	maxBackoff      = 200 * time.Millisecond
	maxResponseBody = 1 << 20 // of one answer
)
