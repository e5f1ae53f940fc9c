package edgenode

import (
	"strings"
	"testing"

	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/policy/connections"
)

// The metrics tell which connections there are and how many were ended, and why.
func TestMetrics(t *testing.T) {
	var text strings.Builder
	counts := connlimit.Counts{
		Open:             map[connections.State]int{connections.InFlight: 2},
		Ended:            map[connlimit.Cause]int{{Action: connections.Reject, Reason: connections.OpenLimit}: 3},
		RejectedRequests: 4,
		AcceptErrors:     5,
	}
	metrics{connections: counts, memoryBytes: 6, requestsOpen: 7}.write(&text)
	for _, line := range []string{
		`yardcleat_client_connections{state="in_flight"} 2`,
		`yardcleat_client_connections{state="idle"} 0`,
		`yardcleat_client_connections_ended_total{action="reject",reason="open_limit"} 3`,
		`yardcleat_client_connections_ended_total{action="close",reason="memory"} 0`,
		`yardcleat_client_requests_rejected_total{reason="in_flight_limit"} 4`,
		`yardcleat_accept_errors_total 5`,
		`yardcleat_client_memory_bytes 6`,
		`yardcleat_requests_open 7`,
	} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("no line %s in:\n%s", line, text.String())
		}
	}
	simulate(t, func(s *testbed) {
		status, body, _ := s.exchange("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
		if status != 200 || !strings.Contains(body, `yardcleat_client_connections{state="in_flight"} 1`) {
			t.Errorf("status %d:\n%s", status, body)
		}
	})
}
