package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// A cache file that is truncated, or changed in any bit that counts, is not used.
func TestDamagedCacheIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers")
	if err := SaveCache(path, []node.Endpoint{{Address: "10.0.1.9:80", Server: policy.Server{ID: 1, Weight: 1}}}); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		if err := os.WriteFile(path, whole[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if list, err := LoadCache(path); err == nil || list != nil {
			t.Fatalf("truncated to %d bytes: %v, %v", i, list, err)
		}
		flipped := bytes.Clone(whole)
		flipped[i] ^= 1
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		if list, err := LoadCache(path); err == nil && (len(list) != 1 || list[0].Address != "10.0.1.9:80") {
			t.Fatalf("byte %d changed: %v", i, list)
		}
	}
}
