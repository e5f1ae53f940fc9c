package wire

import (
	"errors"
	"fmt"
	"strconv"
)

// LineError is an error at a line of the input.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns the message, which starts with the line number.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// VerbError is an error in a line with a known verb.
type VerbError struct {
	Verb string
	Err  error
}

// Error returns the message, which starts with the verb.
func (e *VerbError) Error() string { return e.Verb + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *VerbError) Unwrap() error { return e.Err }

// FieldError is the error for a field whose value has the wrong format.
type FieldError struct {
	Value string // shortened if it is long
	Want  string // expected type, such as "number"
}

// Error returns the message, which has the value and the expected type.
func (e *FieldError) Error() string { return strconv.Quote(e.Value) + " is not a " + e.Want }

// UnknownTokenError is the error for a verb, or for a value of an enumeration, that the protocol does not define.
type UnknownTokenError struct {
	Kind  string // what the token should name, such as "event"
	Token string // shortened if it is long; may be empty
}

// Error returns the message, which has the kind and the token.
func (e *UnknownTokenError) Error() string {
	if e.Token == "" {
		return "unknown " + e.Kind
	}
	return "unknown " + e.Kind + " " + strconv.Quote(e.Token)
}

// SettingError is the error for a malformed setting.
type SettingError struct {
	Key string // such as "classes.0.name"
	Err error
}

// Error returns the message, which starts with the key.
func (e *SettingError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// Errors in the fields of a line, or in the input as a whole.
var (
	ErrTooFewFields   = errors.New("too few fields")
	ErrTooManyFields  = errors.New("too many fields")
	ErrBadBase64      = errors.New("invalid base64")
	ErrEndInsideBatch = errors.New("input ends inside a batch")
	ErrEndInsideList  = errors.New("input ends inside an endpoint list")
)

// maxQuotedBytes is the number of bytes of a malformed value that an error quotes.
const maxQuotedBytes = 40

// clip shortens a value for an error message.
func clip(s string) string {
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}
