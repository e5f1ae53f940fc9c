package edgekit

import (
	"os"
	"os/exec"
	"testing"
)

// RunCase runs run.sh in the folder of a test if the variable REVIEW is set, and skips the test otherwise.
func RunCase(t *testing.T) {
	t.Helper()
	if os.Getenv("REVIEW") == "" {
		t.Skip("REVIEW is not set")
	}
	out, err := exec.Command("bash", "run.sh").CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Errorf("run.sh: %v", err)
	}
}
