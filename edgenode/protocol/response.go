package protocol

import (
	"strconv"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
)

// failureStatuses has the statuses of failures for which one is more specific than 502.
var failureStatuses = map[node.Reason]int{
	node.ReasonBadRequest:    400,
	node.ReasonTooLarge:      413,
	node.ReasonServerTimeout: 504,
	node.ReasonNoTime:        504,
}

// Render maps a final response to the HTTP response for the client.
func (m *Mapper) Render(_ *node.Request, final node.FinalResponse) *node.Response {
	if final.Kind == node.Served && final.Response != nil {
		return final.Response
	}
	response := &node.Response{Status: status(final), Header: make(http1.Header, 0, 2)}
	response.Header = append(response.Header, http1.Field{Name: "Content-Type", Value: "text/plain"})
	if isRetryableRejection(final) {
		if wait := min(final.RetryAfter, m.settings.MaxRetryAfter); wait > 0 {
			response.Header = append(response.Header, http1.Field{Name: "Retry-After", Value: decimalSeconds(wait)})
		}
	}
	response.Body = append(response.Body, final.Reason...)
	if final.Detail != "" {
		response.Body = append(response.Body, ": "...)
		response.Body = append(response.Body, final.Detail...)
	}
	response.Body = append(response.Body, '\n')
	return response
}

// isRetryableRejection reports whether the request was rejected and the client may retry it
// unchanged.
func isRetryableRejection(final node.FinalResponse) bool {
	retryable := final.Reason != node.ReasonBadRequest && final.Reason != node.ReasonTooLarge
	return final.Kind == node.Rejected && retryable
}

func status(final node.FinalResponse) int {
	if isRetryableRejection(final) {
		switch final.Reason {
		case node.ReasonQuota, node.ReasonInFlightLimit, node.ReasonCeiling:
			return 429
		}
		return 503
	}
	if s, ok := failureStatuses[final.Reason]; ok {
		return s
	}
	return 502
}

// decimalSeconds formats a Retry-After value for the platform's clients, which accept fractions
// of a second.
func decimalSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
