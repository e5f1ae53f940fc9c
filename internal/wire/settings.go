package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// facts holds the settings of a CONFIGURE line; unknown keys are ignored.
type facts struct {
	m   map[string]string
	err error
}

func (f *facts) num(key string) float64 {
	w, have := f.m[key]
	if !have {
		return 0
	}
	p := parser{words: []string{w}}
	v := p.num()
	if p.err != nil && f.err == nil {
		f.err = fmt.Errorf("%s: %v", key, p.err)
	}
	return v
}

func (f *facts) ms(key string) time.Duration { return duration(f.num(key)) }
func (f *facts) int(key string) int          { return int(f.num(key)) }
func (f *facts) bool(key string) bool        { return f.m[key] == "true" || f.m[key] == "1" }

var effects = map[string]policy.Idempotency{"repeatable": policy.Idempotent, "by_key": policy.IdempotentWithKey,
	"once": policy.NonIdempotent}

var groups = map[string]policy.DedupScope{"": policy.DedupAllServers, "all": policy.DedupAllServers,
	"zone": policy.DedupZone, "cell": policy.DedupCell}

// settings reads the pairs of a CONFIGURE line.
func settings(pairs []string) (policy.Settings, error) {
	m := make(map[string]string, len(pairs))
	for _, p := range pairs {
		if p == "" {
			continue
		}
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("setting %q has no value", clip(p))
		}
		m[k] = v
	}
	return Settings(m)
}

// Settings reads settings by their paths: "caps.cancel", "classes.0.name". The
// error names the key.
func Settings(m map[string]string) (policy.Settings, error) {
	f := facts{m: m}
	s := policy.Settings{
		SelfIndex: f.int("me"), Gateways: f.int("balancers"), Zone: f.m["zone"],
		Resolution: f.ms("tick_ms"), MaxAttempts: f.int("caps.max_attempts"),
		CanCancel: f.bool("caps.cancel"), CanMessagePeers: f.bool("caps.peers"),
		PeerMessagesPerSecond: f.num("family_info.mail_per_s"), MaxRequestUnits: f.num("family_info.largest"),
		MustWatchEndpoints: f.m["discovery"] == "ask",
		WeightIsCapacity:   f.m["weight_kind"] == "nominal" || f.m["weight_kind"] == "rough",
		CrossZoneCost:      f.num("charges.cross_zone"),
		ResponseGrace:      f.ms("rules.answer_slack_ms"), InitialCapacity: f.num("rules.cold_share"),
		WarmupTime: f.ms("rules.warm_within_ms"), ColdOverloadFactor: f.num("rules.fall_multiple"),
		ColdOverloadTime: f.ms("rules.fall_ms"),
	}
	if f.bool("caps.retry_after") {
		s.MaxRetryAfter = f.ms("caps.max_retry_after_ms")
	}
	if names := f.m["report.names"]; names != "" {
		s.LoadMetricNames = strings.Split(names, ",")
	}
	count := func(key string) int {
		n := f.int(key)
		if (n < 0 || n > 1000) && f.err == nil {
			f.err = fmt.Errorf("%s: %d", key, n)
			return 0
		}
		return n
	}
	for i := range count("classes.count") {
		k := "classes." + strconv.Itoa(i) + "."
		effect, known := effects[f.m[k+"semantics"]]
		group, grouped := groups[f.m[k+"group"]]
		if (!known || !grouped) && f.err == nil {
			f.err = fmt.Errorf("%ssemantics or %sgroup: unknown", k, k)
		}
		s.Classes = append(s.Classes, policy.Class{Name: f.m[k+"name"], LatencyObjective: f.ms(k + "aim_ms"),
			Deadline: f.ms(k + "hard_limit_ms"), Idempotency: effect, DedupScope: group,
			DedupWindow: f.ms(k + "window_ms"), Streaming: f.bool(k + "stream")})
	}
	for i := range count("plans.count") {
		k := "plans." + strconv.Itoa(i) + "."
		s.Plans = append(s.Plans, policy.Plan{Name: f.m[k+"name"], Rate: f.num(k + "rate"),
			Burst: f.num(k + "store_size"), MaxInFlight: f.int(k + "parallel"),
			OverQuotaValue: f.num(k + "beyond_earns"), OverQuotaCost: f.num(k + "beyond_costs"),
			HardRate: f.num(k + "hard_rate"), HardBurst: f.num(k + "hard_burst")})
	}
	return s, f.err
}
