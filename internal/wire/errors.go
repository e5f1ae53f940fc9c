package wire

import (
	"errors"
	"fmt"
	"strconv"
)

// LineError says at which line of the input something is wrong.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error begins with the line.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong.
func (e *LineError) Unwrap() error { return e.Err }

// VerbError says which kind of line is malformed.
type VerbError struct {
	Verb string
	Err  error
}

// Error begins with the verb.
func (e *VerbError) Error() string { return e.Verb + ": " + e.Err.Error() }

// Unwrap returns what is wrong.
func (e *VerbError) Unwrap() error { return e.Err }

// FieldError reports a field that is not what it must be.
type FieldError struct {
	Value string // shortened if it is long
	Want  string // "number"
}

// Error names the value and what it is not.
func (e *FieldError) Error() string { return strconv.Quote(e.Value) + " is no " + e.Want }

// UnknownTokenError reports a word that the protocol does not have.
type UnknownTokenError struct {
	Kind  string // "event"
	Token string // shortened if it is long; may be empty
}

// Error names the kind and the word.
func (e *UnknownTokenError) Error() string {
	if e.Token == "" {
		return "unknown " + e.Kind
	}
	return "unknown " + e.Kind + " " + strconv.Quote(e.Token)
}

// SettingError reports a setting that is malformed.
type SettingError struct {
	Key string // "classes.0.name"
	Err error
}

// Error begins with the key.
func (e *SettingError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong.
func (e *SettingError) Unwrap() error { return e.Err }

// What can be wrong with the fields of a line, or with the input as a whole.
var (
	ErrTooFewFields   = errors.New("too few fields")
	ErrTooManyFields  = errors.New("too many fields")
	ErrBadBase64      = errors.New("bad base64")
	ErrEndInsideBatch = errors.New("input ends inside a batch")
	ErrEndInsideList  = errors.New("input ends inside a list")
)

// maxQuoted is the number of bytes of a malformed word that errors quote.
const maxQuoted = 40

// clip shortens a word for an error.
func clip(s string) string {
	if len(s) > maxQuoted {
		return s[:maxQuoted] + "..."
	}
	return s
}
