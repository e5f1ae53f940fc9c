// Package case9 runs the case of the second review in its folder.
package case9

import (
	"testing"

	"yardcleat.example/yardcleat/review/edgekit"
)

// TestReviewCase9 runs run.sh if REVIEW is set. It fails if the rule was broken.
func TestReviewCase9(t *testing.T) { edgekit.RunCase(t) }
