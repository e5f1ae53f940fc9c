package policy_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// goldenFile holds the digests and counts of all decisions of each scenario.
const goldenFile = "testdata/decisions.golden"

var (
	updateGolden = flag.Bool("update", false, "rewrite "+goldenFile+" from the scenarios that run")
	decisionsDir = flag.String("decisions-dir", "", "write each scenario's recording as text to a file in this directory")
)

// TestGoldenDecisions runs each scenario in virtual time and compares every decision, byte for byte,
// with those recorded in the golden file. A commit that is not meant to change decisions must leave
// the file as it is. A commit that is meant to change them rewrites the file with -update and states
// so in its message.
//
// The file is recorded on amd64. On an architecture where the compiler fuses multiplications and
// additions, or where package math has other assembly code, floating-point results may differ in
// the last bit and decisions with them: a failure there alone does not show a changed policy.
func TestGoldenDecisions(t *testing.T) {
	golden, err := readGolden()
	if err != nil && !*updateGolden {
		t.Fatal(err)
	}
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			got := runScenario(t, s).summary()
			if *updateGolden {
				golden[s.name] = got
				return
			}
			compareToGolden(t, s.name, golden[s.name], got)
		})
	}
	if *updateGolden {
		if err := writeGolden(golden); err != nil {
			t.Fatal(err)
		}
		return
	}
	for name := range golden {
		if !slices.ContainsFunc(scenarios(), func(s scenario) bool { return s.name == name }) {
			t.Errorf("%s holds scenario %s, which is not among the scenarios of the test", goldenFile, name)
		}
	}
}

// Two runs of one scenario give equal recordings: the golden file does not depend on the run.
func TestGoldenScenariosAreDeterministic(t *testing.T) {
	s := scenarios()[0]
	first, second := runScenario(t, s).summary(), runScenario(t, s).summary()
	if !slices.Equal(first, second) {
		t.Errorf("two runs of scenario %s gave different recordings", s.name)
	}
}

func compareToGolden(t *testing.T, name string, want, got []string) {
	t.Helper()
	if slices.Equal(want, got) {
		return
	}
	i := 0
	for i < len(want) && i < len(got) && want[i] == got[i] {
		i++
	}
	t.Errorf("scenario %s: decisions differ from %s, first at:\n\trecorded: %s\n\tnow:      %s\n"+
		"A block line holds the digest of all events and actions up to that number of actions: the first\n"+
		"difference is in the %d actions before it, or after the last block if no block line differs.\n"+
		"To see it, run on this commit and on the one before, each with its own directory DIR,\n"+
		"\tgo test -run 'TestGoldenDecisions/%s$' ./policy -decisions-dir DIR\n"+
		"and compare the two files DIR/%s.txt.",
		name, goldenFile, lineAt(want, i), lineAt(got, i), actionsPerBlock, name, name)
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no further line)"
}

// readGolden returns the lines of the golden file by scenario. On an error the map may be incomplete, but is
// never nil.
func readGolden() (map[string][]string, error) {
	golden := map[string][]string{}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		return golden, err
	}
	for line := range strings.Lines(string(text)) {
		name, rest, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if !ok {
			return golden, fmt.Errorf("%s: malformed line %q", goldenFile, line)
		}
		golden[name] = append(golden[name], rest)
	}
	return golden, nil
}

func writeGolden(golden map[string][]string) error {
	var text strings.Builder
	for _, s := range scenarios() {
		for _, line := range golden[s.name] {
			fmt.Fprintf(&text, "%s %s\n", s.name, line)
		}
	}
	if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
		return err
	}
	return os.WriteFile(goldenFile, []byte(text.String()), 0o644)
}
