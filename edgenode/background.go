package edgenode

import "context"

// background runs f in a goroutine until stop is called. stop cancels f's context and
// returns when f has. The goroutine belongs to whoever holds stop. The end of ctx does not
// stop it; f gets the values of ctx only.
func background(ctx context.Context, f func(context.Context)) (stop func()) {
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
