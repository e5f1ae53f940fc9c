package discovery

import (
	"encoding/json"
	"reflect"
	"testing"

	"yardcleat.example/yardcleat/policy"
)

// The platform defines the JSON keys of a list: they must not change with the Go names.
func TestListHasGoldenJSON(t *testing.T) {
	const golden = `{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"10.0.0.1:80","zone":"a","type":"t","group":2,` +
		`"status":"draining","weight":1.5,"since_ms":1764662400000}]}`
	want := List{Index: 7, Snapshot: true, Endpoints: []Endpoint{{Name: "s-1", Address: "10.0.0.1:80", Zone: "a", Type: "t", Cell: 2,
		Status: "draining", Weight: 1.5, StartTimeUnixMS: 1764662400000}}}
	if got, err := Parse([]byte(golden)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parsed as %+v, %v", got, err)
	}
	if b, err := json.Marshal(want); err != nil || string(b) != golden {
		t.Errorf("encoded as %s, %v", b, err)
	}
}

// All nodes must assign a server the same ID, also nodes that run another version.
func TestServerIDIsGolden(t *testing.T) {
	list := NewEndpointTable().Apply(List{Endpoints: []Endpoint{endpoint("s-1", "a:1", "ready", 0)}}, false).Servers
	if got, want := list[0].ID, policy.ServerID(0x189bada4); got != want {
		t.Errorf("ID %#x, want %#x", uint32(got), uint32(want))
	}
}
