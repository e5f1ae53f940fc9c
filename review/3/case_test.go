// Package case3 runs case 3 of the review.
package case3

import (
	"testing"

	"yardcleat.example/yardcleat/review/platform"
)

// TestReviewCase3 guards against a node that never gets a list from discovery that answers late.
func TestReviewCase3(t *testing.T) { platform.RunCase(t) }
