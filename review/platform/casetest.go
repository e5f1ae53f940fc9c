package platform

import (
	"os"
	"os/exec"
	"testing"
)

// RunCase runs run.sh in the folder of the test if the variable REVIEW is set. The test fails if the rule of the case
// was broken, and if the case could not run.
func RunCase(t *testing.T) {
	t.Helper()
	if os.Getenv("REVIEW") == "" {
		t.Skip("a case of the review: it runs only if REVIEW is set")
	}
	output, err := exec.Command("./run.sh").CombinedOutput()
	if err != nil {
		t.Fatalf("run.sh: %v\n%s\nsee record.txt", err, output)
	}
}
