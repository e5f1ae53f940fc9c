package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// A cache file that is truncated is rejected, and one with a changed bit is rejected unless the
// list it holds stays the same.
func TestDamagedCacheIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers")
	if err := SaveCache(path, []node.Endpoint{{Address: "10.0.1.9:80", Server: policy.Server{ID: 1, Weight: 1}}}); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range complete {
		if err := os.WriteFile(path, complete[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if list, err := LoadCache(path); err == nil || list != nil {
			t.Fatalf("truncated to %d bytes: %v, %v", i, list, err)
		}
		flipped := bytes.Clone(complete)
		flipped[i] ^= 1
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		if list, err := LoadCache(path); err == nil && (len(list) != 1 || list[0].Address != "10.0.1.9:80") {
			t.Fatalf("byte %d changed: %v", i, list)
		}
	}
}
