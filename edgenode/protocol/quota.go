package protocol

import (
	"math"
	"strconv"
	"strings"
)

// errQuota is the error for any invalid quota field.
const errQuota = RequestError("the field " + headerQuota + " has not units, spread and first within range")

// quota is the content of the quota field of a request.
type quota struct {
	units  float64 // used by the request
	spread int     // number of gateways at which the customer's requests arrive
	first  int     // index of the first of them
}

// parseQuota parses units, spread and first, which must each occur once, in any order. The error
// is errQuota.
func (m *Mapper) parseQuota(text string) (quota, error) {
	var q quota
	var hasUnits, hasSpread, hasFirst bool
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return q, errQuota
		}
		ok := false
		switch key {
		case quotaUnits:
			ok = !hasUnits && m.validUnits(number)
			hasUnits = true
			q.units = number
		case quotaSpread:
			ok = !hasSpread && isInteger(number) && number >= 1 && number <= float64(m.settings.Gateways)
			hasSpread = true
			q.spread = int(number)
		case quotaFirst:
			ok = !hasFirst && isInteger(number) && number >= 0 && number < float64(m.settings.Gateways)
			hasFirst = true
			q.first = int(number)
		}
		if !ok {
			return q, errQuota
		}
	}
	if !hasUnits || !hasSpread || !hasFirst {
		return q, errQuota
	}
	return q, nil
}

// validUnits reports whether a request may use the given number of units. If the settings have no
// maximum, any positive finite number is valid.
func (m *Mapper) validUnits(units float64) bool {
	maximum := m.settings.MaxRequestUnits
	if math.IsNaN(units) || math.IsInf(units, 0) || units <= 0 {
		return false
	}
	return maximum <= 0 || units <= maximum
}

// isInteger is false for NaN. It is true for infinities, which the range checks reject.
func isInteger(number float64) bool { return number == math.Trunc(number) }
