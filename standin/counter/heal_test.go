package counter

import (
	"maps"
	"testing"
)

// After a split that is healed with both copies no field may be missing: a node whose entry was lost would look as if
// it lost usage itself.
func TestHealWithBothCopiesLosesNoField(t *testing.T) {
	s := New()
	s.datasets[0].hashes["a"] = map[string]string{"both": "3", "larger in the second": "1", "text": "old"}
	if err := s.InjectFault("split", ""); err != nil {
		t.Fatal(err)
	}
	first, second := s.datasets[0], s.datasets[1]
	first.hashes["a"]["first"] = "-1"
	maps.Copy(second.hashes["a"], map[string]string{"both": "2", "larger in the second": "5", "zero": "0", "negative": "-4", "words": "x y", "text": "new"})
	second.hashes["b"] = map[string]string{"only": "0"}
	if err := s.InjectFault("heal", "both"); err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"both": "3", "larger in the second": "5", "text": "old", "first": "-1", "zero": "0", "negative": "-4", "words": "x y"}
	if got := s.datasets[0].hashes["a"]; !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := s.datasets[1].hashes["b"]["only"]; got != "0" {
		t.Errorf("a field of a key that only the second copy has is %q", got)
	}
}
