package config

import (
	"net"
	"net/textproto"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// The inclusive bounds of a key's value, and the default, which is used if the key is not set
// or its value is invalid.
type (
	numberBounds   struct{ Default, Min, Max float64 }
	integerBounds  struct{ Default, Min, Max int }
	durationBounds struct{ Default, Min, Max time.Duration }
)

const day = 24 * time.Hour

// value evaluates an expression and converts it to a type, which description names in errors.
// It returns false if the key is not set or its value is invalid.
func (l *loader) value(e hcl.Expression, t cty.Type, description string) (cty.Value, bool) {
	if e == nil {
		return cty.NilVal, false // the decoder reported the missing key
	}
	v, diags := e.Value(nil)
	if diags.HasErrors() {
		l.diags = append(l.diags, diags...)
		return v, false
	}
	if v.IsNull() {
		return v, false
	}
	v, err := convert.Convert(v, t)
	if err != nil || !v.IsWhollyKnown() {
		l.addError(e.Range(), "Wrong type", "%s is needed here.", description)
		return v, false
	}
	return v, true
}

// isSet reports whether the file sets a key to a value other than null.
func isSet(e hcl.Expression) bool {
	if e == nil {
		return false
	}
	v, _ := e.Value(nil)
	return !v.IsNull()
}

// rangeOf returns the range of e, or of other if the key of e is not set.
func rangeOf(e, other hcl.Expression) hcl.Range {
	if isSet(e) {
		return e.Range()
	}
	return other.Range()
}

// text returns a string that may be empty. It returns the default if the key is not set or its
// value is invalid.
func (l *loader) text(e hcl.Expression, defaultText string) string {
	if v, ok := l.value(e, cty.String, "A text"); ok {
		return v.AsString()
	}
	return defaultText
}

// nonEmptyText returns a string of at least one character, or "" if the key is not set. An empty
// string in the file is an error.
func (l *loader) nonEmptyText(e hcl.Expression) string {
	s := l.text(e, "")
	if s == "" && isSet(e) {
		l.addError(e.Range(), "Empty text", "A text of at least one character is needed here.")
	}
	return s
}

// number returns a number within bounds. It returns the default if the key is not set and, after
// reporting an error, if the value is invalid.
func (l *loader) number(e hcl.Expression, bounds numberBounds) float64 {
	v, ok := l.value(e, cty.Number, "A number")
	if !ok {
		return bounds.Default
	}
	f, _ := v.AsBigFloat().Float64()
	if f < bounds.Min || f > bounds.Max {
		l.addError(e.Range(), "Number out of range", "A number from %v to %v is needed here.", bounds.Min, bounds.Max)
		return bounds.Default
	}
	return f
}

// integer returns a whole number within bounds. A number with a fraction is an error; after
// reporting it, integer returns the number without the fraction.
func (l *loader) integer(e hcl.Expression, bounds integerBounds) int {
	f := l.number(e, numberBounds{
		Default: float64(bounds.Default),
		Min:     float64(bounds.Min),
		Max:     float64(bounds.Max),
	})
	n := int(f)
	if f != float64(n) {
		l.addError(e.Range(), "Not a whole number", "A whole number from %d to %d is needed here.", bounds.Min, bounds.Max)
	}
	return n
}

// duration returns a duration within bounds. It returns the default if the key is not set and,
// after reporting an error, if the value is invalid.
func (l *loader) duration(e hcl.Expression, bounds durationBounds) time.Duration {
	v, ok := l.value(e, cty.String, `A duration such as "250ms"`)
	if !ok {
		return bounds.Default
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil {
		l.addError(e.Range(), "Not a duration", `A number with a unit is needed here, such as "250ms", "1.5s" or "2m".`)
		return bounds.Default
	}
	if d < bounds.Min || d > bounds.Max {
		l.addError(e.Range(), "Duration out of range", "A duration from %v to %v is needed here.", bounds.Min, bounds.Max)
		return bounds.Default
	}
	return d
}

// oneOf returns the value of a key that must be one of the allowed strings. It returns
// defaultText if the key is not set and, after reporting an error, if its value is not allowed.
func oneOf[T ~string](l *loader, e hcl.Expression, defaultText T, allowed ...T) T {
	s := T(l.text(e, string(defaultText)))
	if !slices.Contains(allowed, s) {
		l.addError(e.Range(), "Unknown name", "One of these is needed here: %s.", quoted(allowed))
		return defaultText
	}
	return s
}

func quoted[T ~string](names []T) string {
	var quotes []string
	for _, s := range names {
		quotes = append(quotes, strconv.Quote(string(s)))
	}
	return strings.Join(quotes, ", ")
}

const maxPort = 65535

func validAddress(s string) bool {
	_, text, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	port, err := strconv.Atoi(text)
	return err == nil && port >= 0 && port <= maxPort
}

// address returns host:port, or "" if the key is not set.
func (l *loader) address(e hcl.Expression) string {
	s := l.text(e, "")
	if s == "" {
		return l.nonEmptyText(e)
	}
	if !validAddress(s) {
		l.addError(e.Range(), "Not an address", `An address is a host and a port, such as "127.0.0.1:8080" or "[::1]:8080".`)
	}
	return s
}

// addresses returns a list of host:port. Invalid addresses are reported and omitted.
func (l *loader) addresses(e hcl.Expression) (list []string) {
	v, ok := l.value(e, cty.List(cty.String), "A list of addresses")
	if !ok {
		return nil
	}
	for _, a := range v.AsValueSlice() {
		if a.IsNull() || !validAddress(a.AsString()) {
			l.addError(e.Range(), "Not an address", `An address is a host and a port, such as "127.0.0.1:6379".`)
			continue
		}
		list = append(list, a.AsString())
	}
	return list
}

// headerName matches a token of RFC 9110, 5.6.2.
var headerName = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// header returns the name of a header field in canonical form.
func (l *loader) header(e hcl.Expression, defaultName string) string {
	s := l.text(e, defaultName)
	if s != "" && !headerName.MatchString(s) {
		l.addError(e.Range(), "Not a field name", "The name of an HTTP header field is needed here.")
	}
	return textproto.CanonicalMIMEHeaderKey(s)
}

// headers returns the names of header fields in canonical form. Invalid names are reported and
// omitted.
func (l *loader) headers(e hcl.Expression) (list []string) {
	v, ok := l.value(e, cty.List(cty.String), "A list of texts")
	if !ok {
		return nil
	}
	for _, name := range v.AsValueSlice() {
		if name.IsNull() || !headerName.MatchString(name.AsString()) {
			l.addError(e.Range(), "Not a field name", "The names of HTTP header fields are needed here.")
			continue
		}
		list = append(list, textproto.CanonicalMIMEHeaderKey(name.AsString()))
	}
	return list
}
