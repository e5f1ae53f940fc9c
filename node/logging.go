package node

import (
	"log/slog"
	"time"
)

// responseLogDetails holds the logged values of a final response that are part of neither
// the request nor the response.
type responseLogDetails struct {
	attempts int
	elapsed  time.Duration // from the request's arrival to its response
	detail   string        // detail of the last result; empty if none
}

// logFinalResponse writes the log line of a final response. The operators' documentation
// lists its keys and the values of answer and reason.
func (n *Node) logFinalResponse(request *Request, response FinalResponse, details responseLogDetails) {
	if !n.options.Log.Enabled(n.logContext, slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{
		slog.String("answer", loggedKind(response)),
		slog.String("trace", request.Trace),
		slog.String("class", request.Class),
		slog.String("customer", request.Customer),
		slog.Int("attempts", details.attempts),
		slog.Duration("took", details.elapsed),
	}
	if response.Reason != ReasonNone {
		attrs = append(attrs, slog.String("reason", string(response.Reason)))
	}
	if response.Response != nil {
		attrs = append(attrs, slog.Int("status", response.Response.Status))
	}
	if details.detail != "" {
		attrs = append(attrs, slog.String("detail", details.detail))
	}
	n.options.Log.LogAttrs(n.logContext, slog.LevelInfo, "answer", attrs...)
}

// loggedKind returns the kind of a response as logged. Unlike ResponseKind, it distinguishes
// a forward permit from a server's response.
func loggedKind(response FinalResponse) string {
	if response.Permit != nil {
		return "let pass"
	}
	return response.Kind.String()
}
