// Package case2 runs case 2 of the review.
package case2

import (
	"testing"

	"yardcleat.example/yardcleat/review/platform"
)

// TestReviewCase2 guards against a keyed request that is sent again after the window for repeats.
func TestReviewCase2(t *testing.T) { platform.RunCase(t) }
