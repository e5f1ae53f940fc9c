// Package background runs goroutines that have an owner, and ends what an owner has opened
// in the reverse order of its start.
package background

import "context"

// Closers are the functions that end the parts of an owner, in the order in which the parts
// were started. The zero value is empty. Closers are not safe for concurrent use.
type Closers []func()

// Add adds a function that ends a part. Close calls it before those added earlier.
func (c *Closers) Add(end func()) { *c = append(*c, end) }

// Go runs f in a goroutine until Close ends it, as [Go] does.
func (c *Closers) Go(ctx context.Context, f func(context.Context)) { c.Add(Go(ctx, f)) }

// Close calls the functions in the reverse order of Add: a part may use those started
// before it until it has ended. It must be called once.
func (c *Closers) Close() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
}

// Go runs f in a goroutine until stop is called. stop cancels the context of f and returns
// when f has returned; a further call does nothing. The context of f has the values of ctx
// but not its end, so that only the owner ends f.
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
