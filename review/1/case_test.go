// Package case1 runs case 1 of the review.
package case1

import (
	"testing"

	"yardcleat.example/yardcleat/review/platform"
)

// TestReviewCase1 guards against a node that answers no request any more.
func TestReviewCase1(t *testing.T) { platform.RunCase(t) }
