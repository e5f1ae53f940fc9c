package node

import (
	"context"
	"log/slog"
	"time"
)

// logFinalResponse logs a final answer.
func (n *Node) logFinalResponse(t *Request, a FinalResponse, took time.Duration, attempts int, detail string) {
	if !n.options.Logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	kind := a.Kind.String()
	if a.Permit != nil {
		kind = "let pass"
	}
	attrs := []slog.Attr{slog.String("answer", kind), slog.String("trace", t.Trace), slog.String("class", t.Class),
		slog.String("customer", t.Customer), slog.Int("attempts", attempts), slog.Duration("took", took)}
	if a.Reason != ReasonNone {
		attrs = append(attrs, slog.String("reason", string(a.Reason)))
	}
	if a.Response != nil {
		attrs = append(attrs, slog.Int("status", a.Response.Status))
	}
	if detail != "" {
		attrs = append(attrs, slog.String("detail", detail))
	}
	n.options.Logger.LogAttrs(context.Background(), slog.LevelInfo, "answer", attrs...)
}
