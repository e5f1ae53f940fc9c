// Package pause decides what a process may believe after it did not run: because it was
// stopped by a signal, its guest was suspended, or it was kept off the cores. It has no I/O,
// reads no clock and starts no goroutine.
//
//   - A Detector finds pauses from observations of the clock, and dates what was read from
//     sockets around them.
//   - A Barrier delays an event loop after a pause until the sockets are drained.
//   - SortBacklog gives the order in which an event loop handles the events that waited behind a
//     Barrier.
//
// Times are durations since an origin that the caller chooses, by the monotonic clock unless
// said otherwise. No type is safe for concurrent use.
package pause
