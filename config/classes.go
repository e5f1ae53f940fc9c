package config

import (
	"regexp"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"yardcleat.example/yardcleat/policy"
)

// The values of the HCL keys effect and group.
var (
	idempotencies = map[string]policy.Idempotency{
		"safe":   policy.Idempotent,
		"keyed":  policy.IdempotentWithKey,
		"unsafe": policy.NonIdempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"all":  policy.DedupAllServers,
		"zone": policy.DedupZone,
		"cell": policy.DedupCell,
	}
)

func (l *loader) classes(in []classBlock) {
	if len(in) == 0 {
		l.addError(l.endOfFile, "No class", `At least one block is needed such as: class "lookup" { … }.`)
	}
	names := map[string]hcl.Range{}
	routes := map[string]hcl.Range{}
	for _, block := range in {
		l.checkUnique(names, "class", block.Name, block.NameRange)
		l.config.Classes = append(l.config.Classes, l.class(block, routes))
	}
}

func (l *loader) class(in classBlock, routes map[string]hcl.Range) Class {
	out := Class{
		Class:                 l.policyClass(in),
		Units:                 l.number(in.Units, numberBounds{Default: 1, Min: 1, Max: 1000}),
		PriorityWeight:        l.number(in.PriorityWeight, numberBounds{Default: 1, Min: 0, Max: 1e6}),
		AuthorizationCacheTTL: l.duration(in.AuthorizationCacheTTL, durationBounds{Default: 0, Min: 0, Max: day}),
		Authorization:         oneOf(l, in.Authorization, SkipAuthorization, SkipAuthorization, FailClosed, FailOpen),
	}
	if len(in.Routes) == 0 {
		l.addError(in.NameRange, "No route", `A class needs at least one route, such as: route { method = "GET", path = "/records/{id}" }.`)
	}
	for _, r := range in.Routes {
		out.Routes = append(out.Routes, l.route(r, routes))
	}
	return out
}

// policyClass returns the part of a class that the policy uses.
func (l *loader) policyClass(in classBlock) policy.Class {
	out := policy.Class{
		Name:        in.Name,
		Idempotency: idempotencies[oneOf(l, in.Idempotency, "unsafe", "safe", "keyed", "unsafe")],
		DedupScope:  dedupScopes[oneOf(l, in.DedupScope, "all", "all", "zone", "cell")],
		DedupWindow: l.duration(in.DedupWindow, durationBounds{Default: 0, Min: 0, Max: day}),
	}
	if out.Idempotency == policy.IdempotentWithKey && out.DedupWindow == 0 {
		l.addError(in.NameRange, "No window", `A keyed class needs the time for which servers drop repeats, such as: window = "2s".`)
	}
	out.LatencyObjective = l.duration(in.LatencyObjective, durationBounds{Default: time.Second, Min: time.Millisecond, Max: time.Hour})
	out.Deadline = l.duration(in.Deadline, durationBounds{Default: time.Hour, Min: time.Millisecond, Max: time.Hour})
	if out.Deadline < out.LatencyObjective {
		l.addError(in.Deadline.Range(), "Deadline before aim", "The deadline must be at least the aim, %v.", out.LatencyObjective)
	}
	return out
}

var (
	methodPattern    = regexp.MustCompile("^[A-Z]+$")
	parameterPattern = regexp.MustCompile(`^\{[a-z_]+(\.\.\.)?\}$`)
)

// route validates a route. The keys of seen are the earlier routes without the names of their
// parameters, so that two routes that match the same requests have the same key.
func (l *loader) route(in routeBlock, seen map[string]hcl.Range) Route {
	out := Route{Method: l.nonEmptyText(in.Method), Path: l.nonEmptyText(in.Path)}
	if out.Method != "" && !methodPattern.MatchString(out.Method) {
		l.addError(in.Method.Range(), "Not a method", `An HTTP method in capitals is needed here, such as "GET".`)
	}
	if out.Path == "" {
		return out
	}
	segments := strings.Split(out.Path, "/")
	at := in.Path.Range()
	if segments[0] != "" {
		l.addError(at, "Not a path", `A path starts with "/".`)
	}
	for i, segment := range segments {
		last := i == len(segments)-1
		segments[i] = l.routeSegment(segment, last, at)
	}
	key := out.Method + " " + strings.Join(segments, "/")
	if first, used := seen[key]; used {
		l.addError(at, "Route used twice", "The same requests are routed at %s already.", first)
	}
	seen[key] = at
	return out
}

// routeSegment validates one segment of a path and returns it without the name of its parameter.
func (l *loader) routeSegment(segment string, last bool, at hcl.Range) string {
	isParameter := strings.ContainsAny(segment, "{}")
	matchesRest := strings.HasSuffix(segment, "...}")
	if isParameter && !parameterPattern.MatchString(segment) {
		l.addError(at, "Malformed path", "A segment is either plain or wholly {name} or {name...}.")
	}
	if matchesRest && !last {
		l.addError(at, "Malformed path", "{name...} can only be the last segment.")
	}
	switch {
	case matchesRest:
		return "{...}"
	case isParameter:
		return "{}"
	}
	return segment
}
