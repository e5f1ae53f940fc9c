package wire

import (
	"encoding/base64"
	"math"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// absent stands for a field without a value.
const absent = "-"

// fields takes the fields of a line one by one and keeps the first error. After an error the values that it
// returns mean nothing.
type fields struct {
	words []string
	err   error
}

// splitLine returns the fields of a line.
func splitLine(line string) *fields { return &fields{words: strings.Split(line, " ")} }

// fail keeps an error if it is the first.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// end returns the first error, and one for fields that are left over.
func (f *fields) end() error {
	if len(f.words) > 0 {
		f.fail(ErrTooManyFields)
	}
	return f.err
}

func (f *fields) text() string {
	if len(f.words) == 0 {
		f.fail(ErrTooFewFields)
		return ""
	}
	word := f.words[0]
	f.words = f.words[1:]
	return word
}

// skip passes over a field that no decision needs.
func (f *fields) skip() { f.text() }

// number reads a finite number; an absent one is 0.
func (f *fields) number() float64 {
	word := f.text()
	if word == absent || f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(&FieldError{clip(word), "number"})
		return 0
	}
	return v
}

// milliseconds reads a time.
func (f *fields) milliseconds() time.Duration { return duration(f.number()) }

// duration is a number of milliseconds, to the nanosecond.
func duration(milliseconds float64) time.Duration {
	return time.Duration(math.Round(milliseconds * float64(time.Millisecond)))
}

func (f *fields) integer() int { return int(f.number()) }

// unsigned reads a whole number of so many bits.
func (f *fields) unsigned(bits int) uint64 {
	word := f.text()
	v, err := strconv.ParseUint(word, 10, bits)
	if err != nil {
		f.fail(&FieldError{clip(word), "whole number"})
	}
	return v
}

func (f *fields) serverID() policy.ServerID { return policy.ServerID(f.unsigned(32)) }

// requestID reads 16 hexadecimal digits.
func (f *fields) requestID() policy.RequestID {
	word := f.text()
	v, err := strconv.ParseUint(word, 16, 64)
	if err != nil || len(word) != 16 {
		f.fail(&FieldError{clip(word), "request id"})
	}
	return policy.RequestID(v)
}

func (f *fields) boolean() bool { return f.text() == "1" }

func (f *fields) resultCode() policy.ResultCode {
	word := f.text()
	code, known := resultCodes[word]
	if !known {
		f.fail(&UnknownTokenError{"ending", clip(word)})
	}
	return code
}

// numbers reads numbers with commas between them, or nil for an absent list.
func (f *fields) numbers() (list []float64) {
	word := f.text()
	if word == absent || word == "" {
		return nil
	}
	row := fields{words: strings.Split(word, ",")}
	for len(row.words) > 0 {
		list = append(list, row.number())
	}
	if row.err != nil {
		f.fail(row.err)
	}
	return list
}

func (f *fields) bytes() []byte {
	word := f.text()
	if word == absent {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(word)
	if err != nil {
		f.fail(ErrBadBase64)
	}
	return b
}
