// Package ci holds the checks of what CI itself does.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Each entry of the list of known failing tests has one form and names a test that exists.
func TestKnownRed(t *testing.T) {
	const good = "./internal/ci TestKnownRed: go test -run TestKnownRed ./internal/ci -seed 7; an example; issue 1"
	for _, c := range []struct{ name, list, out, says string }{
		{"nothing", "", "", ""},
		{"one", good + "\n", "./internal/ci TestKnownRed\n", ""},
		{"without an end of line", good, "./internal/ci TestKnownRed\n", ""},
		{"no issue", "./internal/ci TestKnownRed: command; seen\n", "", "line 1 is not"},
		{"issue without a number", "./internal/ci TestKnownRed: command; seen; issue\n", "", "line 1 is not"},
		{"no command and nothing seen", "./internal/ci TestKnownRed: ; issue 1\n", "", "line 1 is not"},
		{"no command", "./internal/ci TestKnownRed: ; seen; issue 1\n", "", "line 1 is not"},
		{"blank command", "./internal/ci TestKnownRed:   ; seen; issue 1\n", "", "line 1 is not"},
		{"nothing seen", "./internal/ci TestKnownRed: command; ; issue 1\n", "", "line 1 is not"},
		{"blank seen", "./internal/ci TestKnownRed: command;  \t; issue 1\n", "", "line 1 is not"},
		{"the earlier form with one part", "./internal/ci TestKnownRed: cause; issue 1\n", "", "line 1 is not"},
		{"a part too many", "./internal/ci TestKnownRed: command; seen; more; issue 1\n", "", "line 1 is not"},
		{"a pattern", "./internal/ci Test.*: command; seen; issue 1\n", "", "line 1 is not"},
		{"no such test", "./internal/ci TestOfNothing: command; seen; issue 1\n", "", "has no test"},
		{"no such package", "./internal/none TestKnownRed: command; seen; issue 1\n", "", "no package"},
		{"twice", good + "\n" + good + "\n", "", "twice"},
		{"a name in several packages", "./internal/wire TestSettings: command; seen; issue 1\n", "", "stands in"},
		// The users no longer limit the number of entries; a fourth one used to be refused.
		{"four", good + "\n./policy TestCeilingSharesNeverExceedTheWhole: command; a; issue 1\n" +
			"./policy TestStateCarriesOverFleetResizes: command; a; issue 1\n./internal/archtest TestNoIO: command; a; issue 1\n",
			"./internal/ci TestKnownRed\n./policy TestCeilingSharesNeverExceedTheWhole\n" +
				"./policy TestStateCarriesOverFleetResizes\n./internal/archtest TestNoIO\n", ""},
		{"a fifth without a command", good + "\n./policy TestCeilingSharesNeverExceedTheWhole: command; a; issue 1\n" +
			"./policy TestStateCarriesOverFleetResizes: command; a; issue 1\n./internal/archtest TestNoIO: command; a; issue 1\n" +
			"./policy TestStandbyLeaderGrantsWhenLeaderIsLost: ; a; issue 1\n", "", "line 5 is not"},
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
