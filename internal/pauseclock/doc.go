// Package pauseclock runs a pause.Detector for a process. A Clock observes the time in a
// heartbeat goroutine and in every call that reads the clock, so that the first goroutine to
// run after a pause detects it. Sockets of the networks that a Clock watches record when their
// data arrived, and whether they still hold data that arrived during a pause. Package pause
// defines what counts as a pause and how arrival times are derived.
package pauseclock
