package policy

import (
	"encoding/json"
	"testing"
)

// The JSON form of a customer's snapshot must not change, since stored snapshots are read by later versions.
func TestSnapshotHasGoldenJSON(t *testing.T) {
	const golden = `{"Key":17446744073709551557,"Plan":"basic","First":2,"Spread":5,"Store":12.5}`
	want := CustomerSnapshot{Key: 17446744073709551557, Plan: "basic", FirstGateway: 2, GatewaySpread: 5, Tokens: 12.5}
	var got CustomerSnapshot
	if err := json.Unmarshal([]byte(golden), &got); err != nil || got != want {
		t.Errorf("decoded to %+v, %v", got, err)
	}
	if b, err := json.Marshal(want); err != nil || string(b) != golden {
		t.Errorf("encoded to %s, %v", b, err)
	}
}
