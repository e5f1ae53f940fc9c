package edgekit

import (
	"cmp"
	"encoding/json"
)

// Class is a class of requests in the settings.
type Class struct {
	Name      string `json:"name"`
	Semantics string `json:"semantics"`
	Group     string `json:"group"`
	AimMS     int    `json:"aim_ms"`
	LimitMS   int    `json:"hard_limit_ms"`
	WindowMS  int    `json:"window_ms"`
	Stream    bool   `json:"stream"`
}

// Plan is a plan in the settings.
type Plan struct {
	Name      string  `json:"name"`
	Rate      float64 `json:"rate"`
	StoreSize float64 `json:"store_size"`
	Parallel  int     `json:"parallel"`
	HardRate  float64 `json:"hard_rate"`
	HardBurst float64 `json:"hard_burst"`
	Tolerance float64 `json:"tolerance"`
}

// Settings are the parts of the settings that cases choose.
type Settings struct {
	Me, Nodes int
	Peers     bool
	Cancel    bool
	ColdShare float64 // 0: 0.21
	Classes   []Class
	Plans     []Plan
}

// JSON returns the settings as the platform writes them.
func (s Settings) JSON() json.RawMessage {
	cold := cmp.Or(s.ColdShare, 0.21)
	b, _ := json.Marshal(map[string]any{
		"me": s.Me, "balancers": s.Nodes, "zone": "a", "zones": []string{"a"}, "tick_ms": 2, "family": "gate", "discovery": "push",
		"caps": map[string]any{"cancel": s.Cancel, "peers": s.Peers, "probes": false, "retry_after": true, "max_retry_after_ms": 500,
			"max_attempts": 6, "max_open": 20000, "conn_idle_ms": 15000, "dial_timeout_ms": 250, "may_duplicate": false, "streams_per_conn": 1},
		"family_info": map[string]any{"largest": 1, "mail_per_s": 60, "counter": false, "cost_after": false},
		"report":      map[string]any{"via": "none", "names": []string{}},
		"rules": map[string]any{"answer_slack_ms": 8, "ask_every_ms": 10000, "cold_share": cold, "warm_within_ms": 17000,
			"drain_grace_ms": 250, "fall_ms": 1000, "fall_multiple": 3},
		"weight_kind": "none",
		"classes":     s.Classes,
		"plans":       s.Plans,
	})
	return b
}
