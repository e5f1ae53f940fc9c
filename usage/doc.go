// Package usage decides what to believe of the shared counter. It keeps, for
// each customer and window of time, how many units every process of the fleet
// has passed: a register for each process, which that process alone raises.
// Registers merge by their maximum, whoever brings them, so an add whose answer
// never came may be made again, a counter that was emptied may be filled by any
// number of nodes at once, and nothing counts twice.
//
// It has no I/O: events in, actions out, time passed in. It is not safe for
// concurrent use.
package usage
