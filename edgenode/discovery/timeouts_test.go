package discovery

import (
	"testing"
	"time"
)

func TestBackoffDoublesUpToMaximumAndResets(t *testing.T) {
	b := newBackoff()
	for _, want := range []time.Duration{20, 40, 80, 160, 200, 200} {
		if got := b.next(); got != want*time.Millisecond {
			t.Errorf("backoff %v, want %v", got, want*time.Millisecond)
		}
	}
	b.reset()
	if got := b.next(); got != minBackoff {
		t.Errorf("backoff %v after a reset", got)
	}
}
