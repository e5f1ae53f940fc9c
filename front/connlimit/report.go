package connlimit

import (
	"time"

	"yardcleat.example/yardcleat/policy/connections"
)

// Cause is how and why a connection was ended.
type Cause struct {
	Action connections.Action
	Reason connections.Reason
}

// Counts is the connections of a listener, and what has happened to them since its start.
type Counts struct {
	Open             map[connections.State]int // connections by state
	Ended            map[Cause]int             // connections that were ended
	RejectedRequests int                       // complete requests beyond those that may be in flight
	AcceptErrors     int
}

const (
	// reportInterval is the time in which at most maxReportLines lines are logged.
	reportInterval = 10 * time.Second
	maxReportLines = 10
)

// report counts what happens to connections, and limits how much of it is logged.
type report struct {
	ended            map[Cause]int
	rejectedRequests int
	acceptErrors     int

	intervalStart time.Time
	lines         int // that were logged since intervalStart
	unlogged      int // connections that were ended with no line, and not logged together yet
}

func newReport() report { return report{ended: map[Cause]int{}} }

// mayLog reports whether another line may be logged, and counts it.
func (r *report) mayLog(now time.Time) bool {
	if now.Sub(r.intervalStart) >= reportInterval {
		r.intervalStart, r.lines = now, 0
	}
	if r.lines >= maxReportLines {
		return false
	}
	r.lines++
	return true
}

// reportEnd counts and logs that a connection is ended. The lock must be held.
func (l *Limiter) reportEnd(i connections.Instruction, owner Owner) {
	if i.Action == connections.Finish {
		return
	}
	l.report.ended[Cause{i.Action, i.Reason}]++
	if i.Reason == connections.Shutdown {
		return
	}
	now := time.Now()
	if l.report.mayLog(now) {
		l.log.Warn("ending a client's connection", "client", owner.RemoteAddr().String(), "state", i.Connection.State().String(),
			"action", i.Action.String(), "reason", i.Reason.String(), "since_ms", now.Sub(i.Connection.Since()).Milliseconds(), "open", l.table.Open())
		return
	}
	if l.report.unlogged++; l.report.unlogged == 1 {
		time.AfterFunc(l.report.intervalStart.Add(reportInterval).Sub(now), l.logUnlogged)
	}
}

// RecordEnd counts and logs that the owner of a connection ends it by itself. It does nothing if the limiter has it
// ended: that was counted.
func (l *Limiter) RecordEnd(c *connections.Connection, action connections.Action, reason connections.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pending, _ := c.Action(); pending != connections.None {
		return
	}
	l.report.ended[Cause{action, reason}]++
	l.log.Debug("ending a client's connection", "client", c.Owner().(Owner).RemoteAddr().String(), "state", c.State().String(),
		"action", action.String(), "reason", reason.String())
}

// logUnlogged logs how many connections were ended with no line of their own.
func (l *Limiter) logUnlogged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report.unlogged > 0 {
		l.log.Warn("ended more clients' connections", "connections", l.report.unlogged, "open", l.table.Open())
	}
	l.report.unlogged = 0
}

// Counts returns the connections, and what has happened to them.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := map[Cause]int{}
	for cause, n := range l.report.ended {
		ended[cause] = n
	}
	return Counts{Open: l.table.CountByState(), Ended: ended, RejectedRequests: l.report.rejectedRequests, AcceptErrors: l.report.acceptErrors}
}
