package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// An endpoint list that was cached by an earlier build is loaded completely, and is written again
// with the same bytes.
func TestCachedListOfAnEarlierBuild(t *testing.T) {
	golden := filepath.Join("testdata", "servers")
	got, err := LoadCache(golden)
	if err != nil {
		t.Fatal(err)
	}
	want := []node.Endpoint{
		{Address: "127.0.0.1:9001", StartTime: time.Date(2026, 12, 2, 7, 0, 0, 0, time.UTC),
			Server: policy.Server{ID: ID("127.0.0.1:9001"), Zone: "a", Cell: 2, Weight: 1.5, State: policy.Running}},
		{Address: "127.0.0.1:9002",
			Server: policy.Server{ID: ID("127.0.0.1:9002"), Zone: "b", Cell: 1, Weight: 1, State: policy.Draining}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("loaded %+v, want %+v", got, want)
	}
	again := filepath.Join(t.TempDir(), "servers")
	if err := SaveCache(again, want); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if after, err := os.ReadFile(again); err != nil || !bytes.Equal(after, before) {
		t.Errorf("written as %s, %v; want %s", after, err, before)
	}
}

// The ID of a server is the same at all nodes of all builds.
func TestServerIDIsGolden(t *testing.T) {
	if got, want := ID("127.0.0.1:9001"), policy.ServerID(0x70657ca2); got != want {
		t.Errorf("ID %#x, want %#x", uint32(got), uint32(want))
	}
}

// The names of the endpoint metadata and of the resource type do not change.
func TestDiscoveryNamesAreGolden(t *testing.T) {
	if Metadata != "yardcleat" {
		t.Errorf("metadata %q", Metadata)
	}
	if want := "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"; TypeURL != want {
		t.Errorf("type %q, want %q", TypeURL, want)
	}
}
