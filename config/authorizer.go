package config

import (
	"slices"
	"time"
)

func (l *loader) authorizer(in *authorizerBlock) {
	if in == nil {
		if slices.ContainsFunc(l.config.Classes, Class.authorized) {
			l.addError(l.endOfFile, "No authoriser", `A class is to be authorised; a block is needed such as: authoriser { address = "127.0.0.1:9200" }.`)
		}
		return
	}
	a := &Authorizer{Addresses: l.addresses(in.Addresses)}
	if address := l.address(in.Address); address != "" {
		a.Addresses = append(a.Addresses, address)
	}
	if len(a.Addresses) == 0 {
		l.addError(in.DefRange, "No address", "Give address, or addresses for several of one service.")
	}
	a.Timeout = l.duration(in.Timeout, durationBounds{Default: 200 * time.Millisecond, Min: time.Millisecond, Max: time.Minute})
	a.MaxInFlight = l.integer(in.MaxInFlight, integerBounds{Default: 1000, Min: 1, Max: 1e6})
	a.MaxRequestBody = l.integer(in.MaxRequestBody, integerBounds{Default: 0, Min: 0, Max: 1 << 20})
	a.AllowedHeaders = l.headers(in.AllowedHeaders)
	a.DisallowedHeaders = l.headers(in.DisallowedHeaders)
	l.config.Authorizer = a
}

func (c Class) authorized() bool { return c.Authorization != SkipAuthorization }
