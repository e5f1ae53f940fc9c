package edgenode

import (
	"fmt"
	"io"
	"strings"

	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/policy/connections"
)

// metrics is what a node tells its operators in the Prometheus text format.
type metrics struct {
	connections  connlimit.Counts
	memoryBytes  int64 // of requests and responses
	requestsOpen int
}

// metrics returns the current metrics.
func (e *Edge) metrics() metrics {
	return metrics{connections: e.limiter.Counts(), memoryBytes: e.memory.Used(), requestsOpen: e.open.count()}
}

// metricsText returns the current metrics as text.
func (e *Edge) metricsText() []byte {
	var b strings.Builder
	e.metrics().write(&b)
	return []byte(b.String())
}

// write writes all metrics, also those that are 0. The writer must not fail.
func (m metrics) write(w io.Writer) {
	for _, state := range connections.States() {
		writeMetric(w, "client_connections", fmt.Sprintf(`{state="%s"}`, label(state)), m.connections.Open[state])
	}
	for _, action := range connections.EndingActions() {
		for _, reason := range connections.Reasons() {
			cause := connlimit.Cause{Action: action, Reason: reason}
			writeMetric(w, "client_connections_ended_total", fmt.Sprintf(`{action="%s",reason="%s"}`, label(action), label(reason)), m.connections.Ended[cause])
		}
	}
	writeMetric(w, "client_requests_rejected_total", `{reason="in_flight_limit"}`, m.connections.RejectedRequests)
	writeMetric(w, "accept_errors_total", "", m.connections.AcceptErrors)
	writeMetric(w, "client_memory_bytes", "", m.memoryBytes)
	writeMetric(w, "requests_open", "", m.requestsOpen)
}

func writeMetric[T int | int64](w io.Writer, name, labels string, value T) {
	_, _ = fmt.Fprintf(w, "yardcleat_%s%s %d\n", name, labels, value)
}

// label returns the value of a label, in which words are joined by underscores.
func label(value fmt.Stringer) string { return strings.ReplaceAll(value.String(), " ", "_") }
