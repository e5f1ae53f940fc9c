package audit

import (
	"testing"
	"time"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func requestRecord(trace, class, outcome string, sentMS, respondedMS int) RequestRecord {
	r := RequestRecord{Trace: trace, Class: class, Outcome: outcome, Customer: "c", Plan: "p", Units: 1, SentAt: after(sentMS), TimesOutAt: after(sentMS + 1000)}
	if outcome != "" {
		r.RespondedAt = after(respondedMS)
	}
	return r
}

func attemptRecord(trace, class, server, dedupScope string, arrivedMS, endedMS int) AttemptRecord {
	return AttemptRecord{Trace: trace, Class: class, Server: server, DedupScope: dedupScope, ArrivedAt: after(arrivedMS), EndedAt: after(endedMS)}
}

// Check reports a violation of a rule for the smallest record that violates it, and none for a
// record that is just within the rule. A check that misses violations would let scenarios pass in
// which clients or servers were harmed.
//
// The effects in the names: safe is idempotent, keyed idempotent with key, unsafe non-idempotent.
func TestRules(t *testing.T) {
	rejected := func(a AttemptRecord) AttemptRecord { a.Rejected = true; return a }
	tookEffect := func(a AttemptRecord, key string) AttemptRecord { a.TookEffect, a.Key = true, key; return a }
	for _, c := range []struct {
		name   string
		rule   int // the rule violated; 0 is none
		record Record
	}{
		{"served", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 50)}, Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 10, 40)}}},
		{"no response", 1, Record{Requests: []RequestRecord{requestRecord("a", "safe", "", 0, 0)}}},
		{"no response, node down", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "", 0, 0)}, Downtimes: []Downtime{{Node: 0, From: after(500), To: after(600)}}}},
		{"no response, another node down", 1, Record{Requests: []RequestRecord{requestRecord("a", "safe", "", 0, 0)}, Downtimes: []Downtime{{Node: 1, From: after(500), To: after(600)}}}},
		{"request not accepted", 0, Record{Requests: []RequestRecord{{Trace: "a", NotAccepted: true, SentAt: after(0), TimesOutAt: after(1)}}}},
		{"response of another request", 1, Record{Requests: []RequestRecord{{Trace: "a", Outcome: "served", Mismatched: true, SentAt: after(0), TimesOutAt: after(9), RespondedAt: after(5)}}}},
		{"attempt after the response", 1, Record{Requests: []RequestRecord{requestRecord("a", "safe", "refused", 0, 50)}, Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 70, 80)}}},
		{"attempt after the client timeout", 1, Record{Requests: []RequestRecord{requestRecord("a", "safe", "", 0, 0)}, Downtimes: []Downtime{{From: after(1), To: after(900)}},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 1100, 1200)}}},
		{"attempt without a request", 1, Record{Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 0, 9)}}},
		{"safe, retried", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 10, 20), attemptRecord("a", "safe", "s2", "r2", 30, 80)}}},
		{"attempts overlap", 2, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 10, 80), attemptRecord("a", "safe", "s2", "r2", 30, 80)}}},
		{"unsafe, retried after it may have run", 2, Record{Requests: []RequestRecord{requestRecord("a", "unsafe", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "unsafe", "s", "r", 10, 20), attemptRecord("a", "unsafe", "s2", "r", 30, 80)}}},
		{"unsafe, retried after a rejection", 0, Record{Requests: []RequestRecord{requestRecord("a", "unsafe", "served", 0, 90)},
			Attempts: []AttemptRecord{rejected(attemptRecord("a", "unsafe", "s", "r", 10, 20)), attemptRecord("a", "unsafe", "s2", "r", 30, 80)}}},
		{"unsafe, rejected after it may have run", 2, Record{Requests: []RequestRecord{requestRecord("a", "unsafe", "refused", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "unsafe", "s", "r", 10, 20)}}},
		{"unsafe, failed after it may have run", 0, Record{Requests: []RequestRecord{requestRecord("a", "unsafe", "failed", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "unsafe", "s", "r", 10, 20)}}},
		{"keyed, retried within the dedup scope", 0, Record{Requests: []RequestRecord{requestRecord("a", "keyed", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "keyed", "s", "r", 10, 20), attemptRecord("a", "keyed", "s2", "r", 30, 80)}}},
		{"keyed, retried in another dedup scope", 2, Record{Requests: []RequestRecord{requestRecord("a", "keyed", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "keyed", "s", "r", 10, 20), attemptRecord("a", "keyed", "s2", "r2", 30, 80)}}},
		{"keyed, retried after the dedup window", 2, Record{Requests: []RequestRecord{requestRecord("a", "keyed", "served", 0, 990)},
			Attempts: []AttemptRecord{attemptRecord("a", "keyed", "s", "r", 10, 20), attemptRecord("a", "keyed", "s2", "r", 530, 580)}}},
		{"one key took effect twice", 2, Record{Requests: []RequestRecord{requestRecord("a", "keyed", "failed", 0, 90), requestRecord("b", "keyed", "served", 100, 190)},
			Attempts: []AttemptRecord{tookEffect(attemptRecord("a", "keyed", "s", "r", 10, 20), "k"), tookEffect(attemptRecord("b", "keyed", "s2", "r2", 130, 180), "k")}}},
		{"sent within the drain grace", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 300)}, EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 90, 200)}}},
		{"sent after the drain grace", 3, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 300)}, EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 120, 200)}}},
		{"sent after the drain grace, update repeated", 3, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 300)},
			EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}, {Server: "s", At: after(110), Unavailable: true}},
			Attempts:        []AttemptRecord{attemptRecord("a", "safe", "s", "r", 120, 200)}}},
		{"sent to a server that is running again", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 300)},
			EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}, {Server: "s", At: after(110)}},
			Attempts:        []AttemptRecord{attemptRecord("a", "safe", "s", "r", 120, 200)}}},
		{"update received while the node was paused", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 900)}, EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}},
			Downtimes: []Downtime{{From: after(0), To: after(500)}}, Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 550, 600)}}},
		{"update received before the node was killed", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 900)}, EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}},
			Downtimes: []Downtime{{From: after(100), To: after(200), Killed: true}}, Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 550, 600)}}},
		{"overloaded while cold", 4, Record{ColdOverloads: []ColdOverload{{"s", after(3)}}}},
		{"under the ceiling", 0, requestBurst(11)},
		{"over the ceiling", 5, requestBurst(14)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.record
			r.Classes = map[string]Class{"safe": {Effect: "safe"}, "keyed": {Effect: "keyed", DedupWindow: 500 * time.Millisecond},
				"unsafe": {Effect: "unsafe"}}
			r.Ceilings = map[string]Ceiling{"p": {Rate: 10, Burst: 10, Slack: 1}}
			r.DrainGrace, r.Tolerance = 100*time.Millisecond, 10*time.Millisecond
			for _, result := range Check(&r) {
				if violated := len(result.Violations) > 0; violated != (result.Rule == c.rule) {
					t.Errorf("violations of rule %d: %v", result.Rule, result.Violations)
				}
			}
		})
	}
}

// The margin of rule 2 reaches 1 where the check finds a violation: a keyed retry is compared with the first attempt
// that may have run, however many came between. A margin that is too small leads the fault search away from violations.
func TestMarginOfKeyedRetriesIsThatOfTheCheck(t *testing.T) {
	rejected := attemptRecord("a", "keyed", "s2", "r", 430, 440)
	rejected.Rejected = true
	for name, between := range map[string]AttemptRecord{"another may have run": attemptRecord("a", "keyed", "s2", "r", 430, 440), "another was rejected": rejected} {
		for arrivedMS, isViolated := range map[int]bool{500: false, 530: true} {
			r := Record{Requests: []RequestRecord{requestRecord("a", "keyed", "served", 0, 900)}, Tolerance: 10 * time.Millisecond,
				Classes:  map[string]Class{"keyed": {Effect: "keyed", DedupWindow: 500 * time.Millisecond}},
				Attempts: []AttemptRecord{attemptRecord("a", "keyed", "s", "r", 10, 20), between, attemptRecord("a", "keyed", "s", "r", arrivedMS, arrivedMS+10)}}
			violations, used := Check(&r)[1].Violations, Margins(&r, 0)[1].Used
			if len(violations) > 0 != isViolated || used > 1 != isViolated || used < 0.9 {
				t.Errorf("%s, third attempt after %d ms: margin %.2f, violations %v", name, arrivedMS, used, violations)
			}
		}
	}
}

// requestBurst returns a record of n requests of one unit within 100 ms. The ceiling allows
// 11 of them in that time, 10 as burst and 1 by its rate, and 1 more as slack.
func requestBurst(n int) Record {
	var r Record
	for i := range n {
		trace := string(rune('a' + i))
		r.Requests = append(r.Requests, requestRecord(trace, "safe", "served", 0, 200))
		r.Attempts = append(r.Attempts, attemptRecord(trace, "safe", "s", "r", 100*i/(n-1), 150))
	}
	return r
}
