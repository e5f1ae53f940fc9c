package wire

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Append appends the line for an action of an instance to b. It panics if the type of the action is unknown.
func Append(b []byte, instance string, a policy.Action) []byte {
	switch a := a.(type) {
	case policy.StartAttempt:
		b = appendVerb(b, "SEND", instance)
		b = appendID(b, a.ID)
		b = appendUnsigned(b, uint64(a.Server))
		b = appendMilliseconds(b, a.Timeout)
	case policy.CancelAttempt:
		b = appendVerb(b, "UNDO_SEND", instance)
		b = appendID(b, a.ID)
		b = appendInteger(b, a.Attempt)
	case policy.Reject:
		b = appendVerb(b, "PUSH_BACK", instance)
		b = appendID(b, a.ID)
		b = appendMilliseconds(b, a.RetryAfter)
	case policy.Fail:
		b = appendVerb(b, "REPORT_FAILURE", instance)
		b = appendID(b, a.ID)
	case policy.SetTimer:
		b = appendVerb(b, "SET_ALARM", instance)
		b = appendText(b, a.Token)
		b = appendMilliseconds(b, a.After)
	case policy.SendPeerMessage:
		b = appendVerb(b, "POST", instance)
		b = appendInteger(b, a.To)
		b = appendBytes(b, a.Data)
	case policy.WatchEndpoints:
		b = appendVerb(b, "LISTEN", instance)
		b = appendInteger(b, 1)
	case policy.Log:
		b = appendVerb(b, "SAY_LOG", instance)
		b = appendText(b, oneLine(a.Text))
	default:
		panic(fmt.Sprintf("wire: unknown action type %T", a))
	}
	return append(b, '\n')
}

// AppendCrash appends the line that reports a panic in the policy of an instance, with the reason.
func AppendCrash(b []byte, instance, reason string) []byte {
	b = appendVerb(b, "CRASH", instance)
	b = appendText(b, oneLine(reason))
	return append(b, '\n')
}

// AppendEnd appends the line that ends the reply to a batch.
func AppendEnd(b []byte) []byte { return append(b, "FINISHED\n"...) }

func appendVerb(b []byte, verb, instance string) []byte {
	b = append(b, verb...)
	return appendText(b, instance)
}

func appendText(b []byte, text string) []byte {
	b = append(b, ' ')
	return append(b, text...)
}

func appendID(b []byte, id policy.RequestID) []byte {
	return fmt.Appendf(b, " %016x", uint64(id))
}

func appendInteger(b []byte, v int) []byte {
	b = append(b, ' ')
	return strconv.AppendInt(b, int64(v), 10)
}

func appendUnsigned(b []byte, v uint64) []byte {
	b = append(b, ' ')
	return strconv.AppendUint(b, v, 10)
}

func appendMilliseconds(b []byte, d time.Duration) []byte {
	b = append(b, ' ')
	return strconv.AppendFloat(b, float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

func appendBytes(b, data []byte) []byte {
	b = append(b, ' ')
	if len(data) == 0 {
		return append(b, absent...)
	}
	return base64.StdEncoding.AppendEncode(b, data)
}

// oneLine replaces each run of white space, line breaks included, by a single space.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
