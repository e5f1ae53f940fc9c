package edgenode

import (
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// settingsJSON is a small platform's settings, nested.
const settingsJSON = `{"me":0,"balancers":2,"zone":"a","zones":["a","b"],"tick_ms":2,
 "caps":{"cancel":true,"peers":true,"retry_after":true,"max_retry_after_ms":500,"max_attempts":6,"conn_idle_ms":10000,"dial_timeout_ms":250},
 "family_info":{"largest":4,"mail_per_s":60},"discovery":"push","report":{"via":"probe","names":["active","waiting"]},
 "rules":{"answer_slack_ms":8,"fall_multiple":3,"fall_ms":1000,"cold_share":0.3,"warm_within_ms":8000},
 "classes":[
  {"name":"lookup","semantics":"repeatable","group":"all","aim_ms":800,"hard_limit_ms":3000,"window_ms":0,"stream":false},
  {"name":"loan-change","semantics":"by_key","group":"cell","aim_ms":600,"hard_limit_ms":2000,"window_ms":2000,"stream":false}],
 "plans":[{"name":"basic","rate":50,"store_size":100,"parallel":0},{"name":"extended","rate":4.5,"store_size":7,"parallel":2,"hard_rate":9,"hard_burst":14}]}`

const configJSON = `{"name":"n0","listen":"10.0.0.1:80","discovery":"10.0.3.1:80","seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":64,"sockets":256},"peer_listen":"10.0.0.1:70","peers":["10.0.0.1:71","10.0.0.2:71"],"peers_all":"",
 "known":{"index":1,"snapshot":true,"endpoints":[]},"settings":` + settingsJSON + `}`

// Nested settings are read by the table that reads the simulator's.
func TestSettings(t *testing.T) {
	c, err := Parse([]byte(configJSON))
	if err != nil {
		t.Fatal(err)
	}
	s := c.Policy
	if s.Gateways != 2 || s.Zone != "a" || s.MaxRetryAfter != 500*time.Millisecond || !s.CanMessagePeers || s.MaxRequestUnits != 4 ||
		strings.Join(s.LoadMetricNames, "+") != "active+waiting" {
		t.Errorf("%+v", s)
	}
	if len(s.Classes) != 2 || s.Classes[1].Idempotency != policy.IdempotentWithKey || s.Classes[1].DedupScope != policy.DedupCell ||
		s.Classes[1].DedupWindow != 2*time.Second {
		t.Errorf("classes %+v", s.Classes)
	}
	if len(s.Plans) != 2 || s.Plans[1].Rate != 4.5 || s.Plans[1].MaxInFlight != 2 || s.Plans[1].HardBurst != 14 {
		t.Errorf("plans %+v", s.Plans)
	}
	if c.ConnIdle != 10*time.Second || c.DialTimeout != 250*time.Millisecond {
		t.Errorf("idle %v, connecting %v", c.ConnIdle, c.DialTimeout)
	}
	if _, err := policy.New(s, 1); err != nil {
		t.Error(err)
	}
}

// What can't be meant is an error that names the key.
func TestBadConfigurations(t *testing.T) {
	for _, c := range []struct{ old, new, says string }{
		{`"listen":"10.0.0.1:80",`, ``, "listen"},
		{`"discovery":"10.0.3.1:80",`, ``, "discovery"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		{`"sockets":256`, `"sockets":8`, "limits.sockets"},
		{`"sockets":256`, `"sockets":"many"`, "limits.sockets"},
		{`"memory_mb":64`, `"memory_mb":1`, "limits.memory_mb"},
		{`"cores":0.5`, `"cores":0`, "limits.cores"},
		{`,"10.0.0.2:71"`, ``, "peers"},
		{`"peer_listen":"10.0.0.1:70",`, ``, "peer_listen"},
		{`"conn_idle_ms":10000`, `"conn_idle_ms":-1`, "caps.conn_idle_ms"},
		{`"dial_timeout_ms":250`, `"dial_timeout_ms":"soon"`, "caps.dial_timeout_ms"},
		{`"semantics":"by_key"`, `"semantics":"magic"`, "classes.1.semantics"},
		{`"rate":50`, `"rate":"fast"`, "plans.0.rate"},
		{`"zones":["a","b"]`, `"zones":[["a"],"b"]`, "zones"},
		{`"endpoints":[]`, `"endpoints":[{"name":"s","status":"odd","address":"x"}]`, "known"},
		{`"settings":` + settingsJSON, `"settings":3,"x":0`, "settings"},
	} {
		src := strings.Replace(configJSON, c.old, c.new, 1)
		if src == configJSON {
			t.Fatalf("%s is not in the configuration", c.old)
		}
		cfg, err := Parse([]byte(src))
		if err == nil {
			_, err = policy.New(cfg.Policy, 1)
		}
		if err == nil || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v; it does not name %s", c.new, err, c.says)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(configJSON))
	f.Add([]byte(`{"settings":{"classes":[1,{"a":null}]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := Parse(b); err == nil && (c.Limits.Sockets < 64 || c.ConnIdle <= 0) {
			t.Fatalf("%+v", c)
		}
	})
}
