// Package pauseclock runs a pause.Detector for a process. A Clock observes the time from a
// heartbeat goroutine and from everyone who asks for the time, so that whoever runs first
// after a pause finds it; the network that it watches dates what sockets give, and tells
// which sockets still hold what arrived during a pause. The decisions are those of package
// pause.
package pauseclock
