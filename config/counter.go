package config

import "time"

// minRetainedWindows is the minimum retention of a total, in windows: gateways still read the
// total of the previous window while they count the current one.
const minRetainedWindows = 2

func (l *loader) counter(in *counterBlock) {
	if in == nil {
		return
	}
	c := &Counter{
		CommandsPerSecond: l.number(in.CommandsPerSecond, numberBounds{Default: 500, Min: 1, Max: 1e6}),
		Timeout:           l.duration(in.Timeout, durationBounds{Default: 80 * time.Millisecond, Min: time.Millisecond, Max: time.Minute}),
		Window:            l.duration(in.Window, durationBounds{Default: time.Minute, Min: time.Second, Max: day}),
		Retention:         l.duration(in.Retention, durationBounds{Default: time.Hour, Min: time.Second, Max: 30 * day}),
		Addresses:         l.addresses(in.Addresses),
	}
	if len(c.Addresses) == 0 {
		l.addError(in.Addresses.Range(), "No address", "At least one part of the counter is needed.")
	}
	if shortest := minRetainedWindows * c.Window; c.Retention < shortest {
		l.addError(rangeOf(in.Retention, in.Addresses), "Kept too shortly", "Totals must be kept for at least two windows, %v.", shortest)
	}
	l.config.Counter = c
}
