package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"yardcleat.example/yardcleat/membership"
)

func TestFormattedRosterParsesToSameRoster(t *testing.T) {
	r := &membership.Roster{Epoch: 7, Nodes: []membership.Node{{Name: "a", Address: "10.0.0.1:7000"}, {Name: "b", Address: "10.0.0.2:7000"}},
		Leaving: []membership.LeavingNode{{Number: 2, Node: membership.Node{Name: "c", Address: "10.0.0.3:7000"}}}, RemovedNames: []string{"d", "e"}}
	back, err := ParseRoster(FormatRoster(r), "r.hcl")
	if err != nil || !reflect.DeepEqual(back, r) {
		t.Errorf("%+v, %v\n%s", back, err, FormatRoster(r))
	}
	for _, c := range []struct{ text, want string }{
		{"epoch = 1\nnode \"a\" {\n  address = \"nowhere\"\n}\n", `r.hcl:2: "nowhere" is not an address`},
		{"epoch = 1\nnode \"a\" {\n}\n", "r.hcl:2"},
		{"epoch = \"x\"\n", "r.hcl:1"},
		{"epoch = 1\n", "r.hcl: there is no node"},
		{"epoch = -1\n", "below 0"},
		{"epoch = 1\nnodes = 3\n", "r.hcl:2"},
	} {
		if _, err := ParseRoster([]byte(c.text), "r.hcl"); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

func TestParseRosterReturnsEachAddressError(t *testing.T) {
	text := "epoch = 1\nnode \"a\" {\n  address = \"nowhere\"\n}\nleaving \"b\" {\n  number  = 1\n  address = \"there\"\n}\n"
	_, err := ParseRoster([]byte(text), "r.hcl")
	var e *AddressError
	if !errors.As(err, &e) || e.File != "r.hcl" || e.Line != 2 || e.Address != "nowhere" {
		t.Errorf("%v", err)
	}
	const want = "r.hcl:2: \"nowhere\" is not an address such as \"10.0.0.1:7000\"\nr.hcl:5: \"there\" is not an address such as \"10.0.0.1:7000\""
	if err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}
