// Package ci contains tests of the CI scripts.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The script .ci/known-red prints the tests of a valid list of known failing tests. It rejects
// malformed entries and entries for tests that don't exist.
func TestKnownRed(t *testing.T) {
	const good = "./internal/ci TestKnownRed: go test -run TestKnownRed ./internal/ci -seed 7; an example; issue 1"
	for _, c := range []struct{ name, list, wantOutput, wantError string }{
		{"empty", "", "", ""},
		{"one entry", good + "\n", "./internal/ci TestKnownRed\n", ""},
		{"no newline at the end", good, "./internal/ci TestKnownRed\n", ""},
		{"no issue", "./internal/ci TestKnownRed: command; seen\n", "", "line 1 is not"},
		{"issue without a number", "./internal/ci TestKnownRed: command; seen; issue\n", "", "line 1 is not"},
		{"no command and no observation", "./internal/ci TestKnownRed: ; issue 1\n", "", "line 1 is not"},
		{"no command", "./internal/ci TestKnownRed: ; seen; issue 1\n", "", "line 1 is not"},
		{"blank command", "./internal/ci TestKnownRed:   ; seen; issue 1\n", "", "line 1 is not"},
		{"no observation", "./internal/ci TestKnownRed: command; ; issue 1\n", "", "line 1 is not"},
		{"blank observation", "./internal/ci TestKnownRed: command;  \t; issue 1\n", "", "line 1 is not"},
		{"former format with one part", "./internal/ci TestKnownRed: cause; issue 1\n", "", "line 1 is not"},
		{"one part too many", "./internal/ci TestKnownRed: command; seen; more; issue 1\n", "", "line 1 is not"},
		{"pattern as name", "./internal/ci Test.*: command; seen; issue 1\n", "", "line 1 is not"},
		{"no such test", "./internal/ci TestOfNothing: command; seen; issue 1\n", "", "has no test"},
		{"no such package", "./internal/none TestKnownRed: command; seen; issue 1\n", "", "no package"},
		{"listed twice", good + "\n" + good + "\n", "", "twice"},
		{"name in several packages", "./internal/wire TestSettings: command; seen; issue 1\n", "", "stands in"},
		// The number of entries is not limited; a fourth entry used to be rejected.
		{"four entries", good + "\n./policy TestCeilingSharesNeverExceedTheWhole: command; a; issue 1\n" +
			"./policy TestStateCarriesOverFleetResizes: command; a; issue 1\n./internal/archtest TestNoIO: command; a; issue 1\n",
			"./internal/ci TestKnownRed\n./policy TestCeilingSharesNeverExceedTheWhole\n" +
				"./policy TestStateCarriesOverFleetResizes\n./internal/archtest TestNoIO\n", ""},
		{"fifth entry without a command", good + "\n./policy TestCeilingSharesNeverExceedTheWhole: command; a; issue 1\n" +
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
			case c.wantError != "":
				if err == nil || !strings.Contains(errs.String(), c.wantError) {
					t.Errorf("%v, %q; want an error containing %q", err, errs.String(), c.wantError)
				}
			case err != nil || string(out) != c.wantOutput:
				t.Errorf("%q, %v: %s", out, err, errs.String())
			}
		})
	}
	out, err := exec.Command("bash", "-c", "cd ../.. && .ci/known-red KNOWN-RED.txt").CombinedOutput()
	if err != nil {
		t.Errorf("KNOWN-RED.txt of this repository is rejected: %s", out)
	}
}
