// Package background runs goroutines that have an owner, and closes the parts of an owner in the
// reverse order in which they were started.
package background

import "context"

// Closers is the list of functions that close the parts of an owner, in the order in which the
// parts were started. The zero value is empty. Closers is not safe for concurrent use.
type Closers []func()

// Add adds a function that closes a part. Close calls it before those added earlier.
func (c *Closers) Add(closePart func()) { *c = append(*c, closePart) }

// Go runs f in a goroutine until Close stops it, as described at [Go].
func (c *Closers) Go(ctx context.Context, f func(context.Context)) { c.Add(Go(ctx, f)) }

// Close calls the functions in the reverse order of Add, because a part may use the parts
// started before it until it is closed. It must be called only once.
func (c *Closers) Close() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
}

// Go runs f in a goroutine until stop is called. stop cancels the context of f and returns
// when f has returned; further calls do nothing. The context of f has the values of ctx but
// not its cancellation, so that only the owner stops f.
func Go(ctx context.Context, f func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}
