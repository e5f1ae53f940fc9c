package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yardcleat.example/yardcleat/usage"
)

// A store that is torn, empty, foreign or of another node is moved aside, with a
// message, wherever it is cut; nothing of it is taken.
func TestDamagedDatabaseIsMovedAside(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "tally")
	s, _, _, err := Open(path, 3)
	if err != nil {
		t.Fatal(err)
	}
	var list []usage.CounterEntry
	for i := range 50 {
		list = append(list, usage.CounterEntry{Key: usage.TotalKey{Customer: fmt.Sprint("c", i), Window: 7}, Writer: usage.WriterID{Node: 3, Incarnation: 9}, Units: usage.MilliUnits(i + 1)})
	}
	extra := list[0]
	extra.Key.Customer = "taken out again"
	if err := s.Save(append(list, extra)); err != nil {
		t.Fatal(err)
	}
	extra.Units = 0
	if err := s.Save([]usage.CounterEntry{extra}); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(path, 3); err == nil {
		t.Error("opened twice")
	}
	s.Close()
	s, got, aside, err := Open(path, 3)
	if err != nil || aside != nil || len(got) != 50 {
		t.Fatalf("%d totals, %v, %v", len(got), aside, err)
	}
	s.Close()
	whole, _ := os.ReadFile(path)
	for cut := 0; cut < len(whole); cut += 1009 {
		at := filepath.Join(dir, fmt.Sprint("cut-", cut))
		os.WriteFile(at, whole[:cut], 0o600)
		s, got, aside, err := Open(at, 3)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if len(got) != 0 && len(got) != 50 || cut > 0 && len(got) == 0 && aside == nil {
			t.Errorf("cut at %d: %d totals, %v", cut, len(got), aside)
		}
		s.Close()
	}
	for name, content := range map[string]string{"foreign": strings.Repeat("hello\n", 5000), "another node's": string(whole)} {
		at := filepath.Join(dir, name)
		os.WriteFile(at, []byte(content), 0o600)
		s, got, aside, err := Open(at, 4)
		if err != nil || aside == nil || len(got) != 0 {
			t.Errorf("%s: %d totals, %v, %v", name, len(got), aside, err)
		}
		if s != nil {
			s.Close()
		}
	}
}
