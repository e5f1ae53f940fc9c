package protocol

import (
	"math"
	"strconv"
	"strings"
)

// errQuota is the error for a quota field that can't be read, whatever is wrong with it.
const errQuota = RequestError("the field " + headerQuota + " has not units, spread and first within range")

// quota is what a request says of its customer's quota.
type quota struct {
	units  float64 // that the request uses
	spread int     // gateways at which the customer's requests arrive
	first  int     // the first of them
}

// parseQuota reads units, spread and first: each once, in any order. The error is errQuota.
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

// validUnits tells whether a request may use so many units. Settings without a largest
// number bound it by nothing.
func (m *Mapper) validUnits(units float64) bool {
	most := m.settings.MaxRequestUnits
	if math.IsNaN(units) || math.IsInf(units, 0) || units <= 0 {
		return false
	}
	return most <= 0 || units <= most
}

// isInteger is false for NaN; an infinity fails the bounds of its key.
func isInteger(number float64) bool { return number == math.Trunc(number) }
