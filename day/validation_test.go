package day

import (
	"strings"
	"testing"
)

// Invalid faults, and faults that are impossible in the state at their time, give errors with the
// file and the line.
func TestInvalidScripts(t *testing.T) {
	for _, c := range []struct{ faults, want string }{
		{`fault "server-return" {
  at     = "2s"
  target = 1
}`, `s.hcl:2: fault "server-return" at 2s: server 1 runs then`},
		{`fault "node-kill" {
  at     = "1s"
  for    = "3s"
  target = 0
}
fault "node-kill" {
  at     = "2s"
  for    = "1s"
  target = 0
}`, `s.hcl:7: fault "node-kill" at 2s: node 0 is dead then`},
		{`fault "node-stop" {
  at     = "1s"
  for    = "3s"
  target = 0
}
fault "node-stop" {
  at     = "2s"
  target = 0
}`, `s.hcl:7: fault "node-stop" at 2s: node 0 is stopped then`},
		{`fault "server-vanish" {
  at     = "1s"
  for    = "3s"
  target = 2
}
fault "server-return" {
  at     = "2s"
  target = 2
}`, `s.hcl:7: fault "server-return" at 2s: server 2 is not gone from the list before 4s`},
		{`fault "server-drain" {
  at     = "1s"
  target = 2
}
fault "server-hang" {
  at     = "2s"
  target = 2
}`, `s.hcl:6: fault "server-hang" at 2s: server 2 is draining or gone then`},
		{`fault "node-stop" {
  at     = "1s"
  target = 7
}`, `s.hcl:2: fault "node-stop": target 7; the nodes are numbered 0 to 2`},
		{`fault "peers-cut" {
  at     = "1s"
  target = 1
  arg    = "1"
}`, `s.hcl:2: fault "peers-cut": arg "1" is not the number of another node`},
		{`fault "flood" { at = "1s" }`, `s.hcl:2: fault "flood": there is no such kind`},
		{`fault "server-fail" {
  at  = "soon"
  arg = "lookup"
}`, `s.hcl:2: at: "soon" is not a duration such as "250ms"`},
	} {
		_, err := Parse([]byte("extends = \"base\"\n"+c.faults+"\n"), "s.hcl")
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v\nwant %s", err, c.want)
		}
	}
	// A suspended node may be killed; a removed server may return, and be killed again later.
	if _, err := Parse([]byte(`extends = "base"
fault "node-stop" {
  at     = "1s"
  for    = "3s"
  target = 0
}
fault "node-kill" {
  at     = "2s"
  for    = "1s"
  target = 0
}
fault "server-drain" {
  at     = "1s"
  for    = "1s"
  target = 2
}
fault "server-return" {
  at     = "3s"
  target = 2
}
fault "server-vanish" {
  at     = "5s"
  target = 2
}
`), "s.hcl"); err != nil {
		t.Error(err)
	}
}
