package config

import (
	"github.com/hashicorp/hcl/v2"

	"yardcleat.example/yardcleat/policy"
)

// rateBounds are the bounds of rates and bursts; 0 means no limit.
var rateBounds = numberBounds{Default: 0, Min: 0, Max: 1e9}

func (l *loader) plans(in []planBlock) {
	if len(in) == 0 {
		l.addError(l.endOfFile, "No plan", `At least one block is needed such as: plan "basic" { rate = 1, burst = 5 }.`)
	}
	names := map[string]hcl.Range{}
	for _, block := range in {
		l.checkUnique(names, "plan", block.Name, block.NameRange)
		l.config.Plans = append(l.config.Plans, l.plan(block))
	}
}

func (l *loader) plan(in planBlock) policy.Plan {
	out := policy.Plan{
		Name:           in.Name,
		Rate:           l.number(in.Rate, rateBounds),
		Burst:          l.number(in.Burst, rateBounds),
		MaxInFlight:    l.integer(in.MaxInFlight, integerBounds{Default: 0, Min: 0, Max: 1e6}),
		OverQuotaValue: l.number(in.OverQuotaValue, numberBounds{Default: 0, Min: 0, Max: 1}),
		OverQuotaCost:  l.number(in.OverQuotaCost, numberBounds{Default: 0, Min: 0, Max: 10}),
		HardRate:       l.number(in.HardRate, rateBounds),
		HardBurst:      l.number(in.HardBurst, rateBounds),
	}
	if (out.Rate > 0) != (out.Burst > 0) {
		l.addError(in.NameRange, "Rate without burst", "Give both rate (units a second) and burst (units that may be used at once), or neither.")
	}
	if (out.HardRate > 0) != (out.HardBurst > 0) {
		l.addError(in.NameRange, "Ceiling without burst", "Give both hard_rate and hard_burst, or neither.")
	}
	if out.HardRate > 0 && out.HardRate < out.Rate {
		l.addError(in.HardRate.Range(), "Ceiling below the quota", "hard_rate must be at least rate, %v.", out.Rate)
	}
	return out
}
