package wire

import (
	"encoding/base64"
	"math"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// absent is the text of a field without a value.
const absent = "-"

// fields reads the fields of a line in order and keeps the first error. After an error the returned values are
// undefined.
type fields struct {
	remaining []string
	err       error
}

// splitLine returns the space-separated fields of a line.
func splitLine(line string) *fields { return &fields{remaining: strings.Split(line, " ")} }

// fail records an error, unless one is recorded already.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// end returns the first error. Fields that have not been read are an error.
func (f *fields) end() error {
	if len(f.remaining) > 0 {
		f.fail(ErrTooManyFields)
	}
	return f.err
}

func (f *fields) text() string {
	if len(f.remaining) == 0 {
		f.fail(ErrTooFewFields)
		return ""
	}
	token := f.remaining[0]
	f.remaining = f.remaining[1:]
	return token
}

// skip skips a field that the policy does not use.
func (f *fields) skip() { f.text() }

// number reads a finite number. An absent field is 0.
func (f *fields) number() float64 {
	token := f.text()
	if token == absent || f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(token, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(&FieldError{clip(token), "number"})
		return 0
	}
	return v
}

// milliseconds reads a duration in milliseconds.
func (f *fields) milliseconds() time.Duration { return duration(f.number()) }

// duration converts milliseconds to a duration, rounded to the nanosecond.
func duration(milliseconds float64) time.Duration {
	return time.Duration(math.Round(milliseconds * float64(time.Millisecond)))
}

func (f *fields) integer() int { return int(f.number()) }

// unsigned reads an unsigned decimal integer of at most the given number of bits.
func (f *fields) unsigned(bits int) uint64 {
	token := f.text()
	v, err := strconv.ParseUint(token, 10, bits)
	if err != nil {
		f.fail(&FieldError{clip(token), "whole number"})
	}
	return v
}

func (f *fields) serverID() policy.ServerID { return policy.ServerID(f.unsigned(32)) }

// requestID reads a request ID: 16 hexadecimal digits.
func (f *fields) requestID() policy.RequestID {
	token := f.text()
	v, err := strconv.ParseUint(token, 16, 64)
	if err != nil || len(token) != 16 {
		f.fail(&FieldError{clip(token), "request id"})
	}
	return policy.RequestID(v)
}

func (f *fields) boolean() bool { return f.text() == "1" }

func (f *fields) resultCode() policy.ResultCode {
	token := f.text()
	code, known := resultCodes[token]
	if !known {
		f.fail(&UnknownTokenError{"result code", clip(token)})
	}
	return code
}

// numbers reads a comma-separated list of numbers. An absent or empty field is a nil list.
func (f *fields) numbers() (list []float64) {
	token := f.text()
	if token == absent || token == "" {
		return nil
	}
	elements := fields{remaining: strings.Split(token, ",")}
	for len(elements.remaining) > 0 {
		list = append(list, elements.number())
	}
	if elements.err != nil {
		f.fail(elements.err)
	}
	return list
}

func (f *fields) bytes() []byte {
	token := f.text()
	if token == absent {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(token)
	if err != nil {
		f.fail(ErrBadBase64)
	}
	return b
}
