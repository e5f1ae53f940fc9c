package config

import "time"

// requestTimeBounds returns the bounds of a timeout for reading from or writing to a client.
func requestTimeBounds(defaultTime time.Duration) durationBounds {
	return durationBounds{Default: defaultTime, Min: time.Millisecond, Max: time.Hour}
}

func (l *loader) limits(in *limitsBlock) {
	if in == nil {
		in = &limitsBlock{}
	}
	bodyBounds := integerBounds{Default: 1 << 20, Min: 0, Max: 1 << 30}
	responseBodyBounds := integerBounds{Default: 8 << 20, Min: 0, Max: 1 << 30}
	l.config.Limits = Limits{
		MaxLineBytes:         l.integer(in.MaxLineBytes, integerBounds{Default: 8 << 10, Min: 256, Max: 1 << 20}),
		MaxHeaderFields:      l.integer(in.MaxHeaderFields, integerBounds{Default: 100, Min: 8, Max: 10000}),
		MaxHeaderBytes:       l.integer(in.MaxHeaderBytes, integerBounds{Default: 32 << 10, Min: 1024, Max: 16 << 20}),
		MaxRequestBody:       int64(l.integer(in.MaxRequestBody, bodyBounds)),
		MaxResponseBody:      int64(l.integer(in.MaxResponseBody, responseBodyBounds)),
		HeaderTimeout:        l.duration(in.HeaderTimeout, requestTimeBounds(5*time.Second)),
		BodyTimeout:          l.duration(in.BodyTimeout, requestTimeBounds(10*time.Second)),
		IdleTimeout:          l.duration(in.IdleTimeout, durationBounds{Default: 5 * time.Minute, Min: time.Millisecond, Max: day}),
		WriteTimeout:         l.duration(in.WriteTimeout, requestTimeBounds(10*time.Second)),
		MaxConnections:       l.integer(in.MaxConnections, integerBounds{Default: 20000, Min: 1, Max: 1e6}),
		MaxConcurrentStreams: l.integer(in.MaxStreams, integerBounds{Default: 100, Min: 1, Max: 1e5}),
		FrameBudget:          l.integer(in.FrameBudget, integerBounds{Default: 200, Min: 10, Max: 1e6}),
		MaxUnanswered:        l.integer(in.MaxUnanswered, integerBounds{Default: 20000, Min: 1, Max: 1e6}),
		ResponseMargin:       l.duration(in.ResponseMargin, durationBounds{Default: 10 * time.Millisecond, Min: 0, Max: time.Minute}),
		ConnectTimeout:       l.duration(in.ConnectTimeout, durationBounds{Default: 250 * time.Millisecond, Min: time.Millisecond, Max: time.Minute}),
		MaxIdleUpstream:      l.integer(in.MaxIdleUpstream, integerBounds{Default: 64, Min: 0, Max: 1e5}),
		MaxAttempts:          l.integer(in.MaxAttempts, integerBounds{Default: 3, Min: 1, Max: 100}),
	}
	l.memoryLimit(in)
}

const (
	defaultMemory         = 256 << 20 // bytes
	defaultMemoryOfBodies = 8         // of the longest body
	minMemoryOfBodies     = 2         // of the longest body; a request may have three quarters of the memory
)

// memoryLimit reads the memory for requests and responses, which must hold the longest body.
func (l *loader) memoryLimit(in *limitsBlock) {
	limits := &l.config.Limits
	longestBody := int(max(limits.MaxRequestBody, limits.MaxResponseBody))
	bounds := integerBounds{Default: max(defaultMemory, defaultMemoryOfBodies*longestBody), Min: 1 << 20, Max: 1 << 40}
	limits.MaxMemory = int64(l.integer(in.MaxMemory, bounds))
	if shortest := minMemoryOfBodies * longestBody; limits.MaxMemory < int64(shortest) {
		l.addError(in.MaxMemory.Range(), "Too little memory", "Twice the longest body of a request or response is needed here at least, %d bytes.", shortest)
	}
}
