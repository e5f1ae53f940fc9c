// Package pause handles pauses of the process: times in which it did not run because it was
// stopped by a signal, its virtual machine was suspended, or the scheduler gave it no CPU. The
// package performs no I/O, reads no clock and starts no goroutine.
//
//   - A Detector detects pauses from observations of the clock, and estimates when bytes that were
//     read from sockets around a pause arrived.
//   - A Barrier delays an event loop after a pause until the sockets are drained.
//   - SortBacklog sorts the events that waited behind a Barrier into the order in which the event
//     loop handles them.
//
// Times are durations since an origin that the caller chooses, by the monotonic clock unless
// stated otherwise. No type is safe for concurrent use.
package pause
