package background

import (
	"context"
	"slices"
	"testing"
)

func TestCloseEndsPartsInReverseOrder(t *testing.T) {
	var closers Closers
	var ended []string
	closers.Add(func() { ended = append(ended, "first") })
	closers.Go(t.Context(), func(ctx context.Context) {
		<-ctx.Done()
		ended = append(ended, "goroutine") // no data race, since Close waits for the goroutine
	})
	closers.Add(func() { ended = append(ended, "last") })
	if len(ended) != 0 {
		t.Fatalf("before Close: %v", ended)
	}
	closers.Close()
	if want := []string{"last", "goroutine", "first"}; !slices.Equal(ended, want) {
		t.Errorf("closed %v, want %v", ended, want)
	}
}

func TestCloseOfEmptyClosers(*testing.T) {
	var closers Closers
	closers.Close()
}

func TestOnlyStopEndsGoroutine(t *testing.T) {
	type key struct{}
	ctx, cancel := context.WithCancel(context.WithValue(t.Context(), key{}, "value"))
	cancel()
	var value any
	var early error
	started := make(chan struct{})
	stop := Go(ctx, func(ctx context.Context) {
		value = ctx.Value(key{})
		early = ctx.Err()
		close(started)
		<-ctx.Done()
	})
	<-started
	stop()
	stop()
	if early != nil {
		t.Errorf("canceling the caller's context canceled the goroutine's: %v", early)
	}
	if value != "value" {
		t.Errorf("context has value %v", value)
	}
}
