// Package ci holds the checks of what CI itself does.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The list of known failing tests names what there is, in one form, and is short.
func TestKnownRed(t *testing.T) {
	const good = "./internal/ci TestKnownRed: it is an example; issue 1"
	for _, c := range []struct{ name, list, out, says string }{
		{"nothing", "", "", ""},
		{"one", good + "\n", "./internal/ci TestKnownRed\n", ""},
		{"without an end of line", good, "./internal/ci TestKnownRed\n", ""},
		{"no issue", "./internal/ci TestKnownRed: cause\n", "", "line 1 is not"},
		{"no cause", "./internal/ci TestKnownRed: ; issue 1\n", "", "line 1 is not"},
		{"a pattern", "./internal/ci Test.*: cause; issue 1\n", "", "line 1 is not"},
		{"no such test", "./internal/ci TestOfNothing: cause; issue 1\n", "", "has no test"},
		{"no such package", "./internal/none TestKnownRed: cause; issue 1\n", "", "no package"},
		{"twice", good + "\n" + good + "\n", "", "twice"},
		{"four", good + "\n./policy TestCeilingSharesNeverExceedTheWhole: a; issue 1\n./policy TestStateCarriesOverFleetResizes: a; issue 1\n./internal/archtest TestNoIO: a; issue 1\n", "", "more than three"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(path, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("bash", ".ci/known-red", path)
			cmd.Dir = "../.."
			var errs strings.Builder
			cmd.Stderr = &errs
			out, err := cmd.Output()
			switch {
			case c.says != "":
				if err == nil || !strings.Contains(errs.String(), c.says) {
					t.Errorf("%v, %q; it does not say %q", err, errs.String(), c.says)
				}
			case err != nil || string(out) != c.out:
				t.Errorf("%q, %v: %s", out, err, errs.String())
			}
		})
	}
	out, err := exec.Command("bash", "-c", "cd ../.. && .ci/known-red KNOWN-RED.txt").CombinedOutput()
	if err != nil {
		t.Errorf("the list of this repository: %s", out)
	}
}
