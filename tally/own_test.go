package tally

import (
	"fmt"
	"testing"
	"time"
)

// What the loop pays for a save, with many customers in open windows.
func BenchmarkOwn(b *testing.B) {
	tl := New(Settings{Me: Owner{0, 1}, Parts: 1, Window: time.Hour, Keep: 5, Calls: 50, Mail: 5, Rates: map[string]Plan{"p": {1, 5}}})
	for i := range 100_000 {
		tl.Passed(epoch0, fmt.Sprint("c", i), "p", nil, 1)
	}
	for b.Loop() {
		tl.Own(epoch0)
	}
}
