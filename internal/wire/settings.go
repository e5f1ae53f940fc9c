package wire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// maxListLength is the maximum number of classes, and of plans.
const maxListLength = 1000

// idempotencies maps the values of "semantics" settings.
var idempotencies = map[string]policy.Idempotency{
	"repeatable": policy.Idempotent,
	"by_key":     policy.IdempotentWithKey,
	"once":       policy.NonIdempotent,
}

// dedupScopes maps the values of "group" settings.
var dedupScopes = map[string]policy.DedupScope{
	"":     policy.DedupAllServers,
	"all":  policy.DedupAllServers,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}

// parseSettingPairs parses the key=value pairs of a CONFIGURE line.
func parseSettingPairs(pairs []string) (policy.Settings, error) {
	values := make(map[string]string, len(pairs))
	for _, pair := range pairs {
		if pair == "" {
			continue
		}
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("setting %q has no value", clip(pair))
		}
		values[key] = value
	}
	return ParseSettings(values)
}

// ParseSettings parses settings given by path, such as "caps.cancel" or "classes.0.name". Unknown keys are ignored;
// a missing key gives the zero value. The error is a *SettingError.
func ParseSettings(values map[string]string) (policy.Settings, error) {
	r := settingReader{values: values}
	s := policy.Settings{
		SelfIndex:             r.integer("me"),
		Gateways:              r.integer("balancers"),
		Zone:                  r.text("zone"),
		Resolution:            r.milliseconds("tick_ms"),
		MaxAttempts:           r.integer("caps.max_attempts"),
		CanCancel:             r.boolean("caps.cancel"),
		CanMessagePeers:       r.boolean("caps.peers"),
		PeerMessagesPerSecond: r.number("family_info.mail_per_s"),
		MaxRequestUnits:       r.number("family_info.largest"),
		MustWatchEndpoints:    r.text("discovery") == "ask",
		WeightIsCapacity:      r.text("weight_kind") == "nominal" || r.text("weight_kind") == "rough",
		CrossZoneCost:         r.number("charges.cross_zone"),
		ResponseGrace:         r.milliseconds("rules.answer_slack_ms"),
		InitialCapacity:       r.number("rules.cold_share"),
		WarmupTime:            r.milliseconds("rules.warm_within_ms"),
		ColdOverloadFactor:    r.number("rules.fall_multiple"),
		ColdOverloadTime:      r.milliseconds("rules.fall_ms"),
	}
	if r.boolean("caps.retry_after") {
		s.MaxRetryAfter = r.milliseconds("caps.max_retry_after_ms")
	}
	if names := r.text("report.names"); names != "" {
		s.LoadMetricNames = strings.Split(names, ",")
	}
	for i := range r.count("classes.count") {
		s.Classes = append(s.Classes, r.class("classes."+strconv.Itoa(i)+"."))
	}
	for i := range r.count("plans.count") {
		s.Plans = append(s.Plans, r.plan("plans."+strconv.Itoa(i)+"."))
	}
	return s, r.err
}

// settingReader looks up settings by key and keeps the first error.
type settingReader struct {
	values map[string]string
	err    error
}

func (r *settingReader) fail(key string, err error) {
	if r.err == nil {
		r.err = &SettingError{key, err}
	}
}

func (r *settingReader) text(key string) string { return r.values[key] }

func (r *settingReader) number(key string) float64 {
	token, found := r.values[key]
	if !found {
		return 0
	}
	f := fields{remaining: []string{token}}
	v := f.number()
	if f.err != nil {
		r.fail(key, f.err)
	}
	return v
}

func (r *settingReader) milliseconds(key string) time.Duration { return duration(r.number(key)) }

func (r *settingReader) integer(key string) int { return int(r.number(key)) }

func (r *settingReader) boolean(key string) bool {
	token := r.values[key]
	return token == "true" || token == "1"
}

// count reads and checks the length of a list.
func (r *settingReader) count(key string) int {
	n := r.integer(key)
	if n < 0 || n > maxListLength {
		r.fail(key, errors.New(strconv.Itoa(n)))
		return 0
	}
	return n
}

// class reads the class whose keys start with the prefix.
func (r *settingReader) class(prefix string) policy.Class {
	idempotency, knownIdempotency := idempotencies[r.text(prefix+"semantics")]
	scope, knownScope := dedupScopes[r.text(prefix+"group")]
	if !knownIdempotency || !knownScope {
		r.fail(prefix+"semantics or "+prefix+"group", errUnknownValue)
	}
	return policy.Class{
		Name:             r.text(prefix + "name"),
		LatencyObjective: r.milliseconds(prefix + "aim_ms"),
		Deadline:         r.milliseconds(prefix + "hard_limit_ms"),
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      r.milliseconds(prefix + "window_ms"),
		Streaming:        r.boolean(prefix + "stream"),
	}
}

// plan reads the plan whose keys start with the prefix.
func (r *settingReader) plan(prefix string) policy.Plan {
	return policy.Plan{
		Name:           r.text(prefix + "name"),
		Rate:           r.number(prefix + "rate"),
		Burst:          r.number(prefix + "store_size"),
		MaxInFlight:    r.integer(prefix + "parallel"),
		OverQuotaValue: r.number(prefix + "beyond_earns"),
		OverQuotaCost:  r.number(prefix + "beyond_costs"),
		HardRate:       r.number(prefix + "hard_rate"),
		HardBurst:      r.number(prefix + "hard_burst"),
	}
}

// errUnknownValue is the error for a value that the setting does not allow.
var errUnknownValue = errors.New("unknown value")
