package protocol

import (
	"strconv"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
)

// failureStatuses has the failures that a status says more of than 502 does.
var failureStatuses = map[node.Reason]int{
	node.ReasonBadRequest:    400,
	node.ReasonTooLarge:      413,
	node.ReasonServerTimeout: 504,
	node.ReasonNoTime:        504,
}

// Render returns the response that a client gets for a final response.
func (m *Mapper) Render(_ *node.Request, final node.FinalResponse) *node.Response {
	if final.Kind == node.Served && final.Response != nil {
		return final.Response
	}
	response := &node.Response{Status: status(final), Header: make(http1.Header, 0, 2)}
	response.Header = append(response.Header, http1.Field{Name: "Content-Type", Value: "text/plain"})
	if isRejection(final) {
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

// isRejection tells whether a client may send the request again as it is.
func isRejection(final node.FinalResponse) bool {
	repairable := final.Reason != node.ReasonBadRequest && final.Reason != node.ReasonTooLarge
	return final.Kind == node.Rejected && repairable
}

func status(final node.FinalResponse) int {
	if isRejection(final) {
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

// decimalSeconds is a time as the platform's clients read Retry-After.
func decimalSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
