package audit

import (
	"testing"
	"time"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func requestRecord(trace, class, answer string, sent, answered int) RequestRecord {
	t := RequestRecord{Trace: trace, Class: class, Outcome: answer, Customer: "c", Plan: "p", Units: 1, SentAt: after(sent), TimesOutAt: after(sent + 1000)}
	if answer != "" {
		t.RespondedAt = after(answered)
	}
	return t
}

func attemptRecord(trace, class, server, rack string, from, to int) AttemptRecord {
	return AttemptRecord{Trace: trace, Class: class, Server: server, DedupScope: rack, ArrivedAt: after(from), EndedAt: after(to)}
}

// Each rule is found broken by the least that breaks it, and by nothing less.
func TestRules(t *testing.T) {
	away := func(s AttemptRecord) AttemptRecord { s.Rejected = true; return s }
	ran := func(s AttemptRecord, key string) AttemptRecord { s.TookEffect, s.Key = true, key; return s }
	for _, c := range []struct {
		name   string
		rule   int // broken; 0: none
		record Record
	}{
		{"served", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 50)}, Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 10, 40)}}},
		{"no answer", 1, Record{Requests: []RequestRecord{requestRecord("a", "safe", "", 0, 0)}}},
		{"no answer of a dead node", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "", 0, 0)}, Downtimes: []Downtime{{Node: 0, From: after(500), To: after(600)}}}},
		{"no answer, another node dead", 1, Record{Requests: []RequestRecord{requestRecord("a", "safe", "", 0, 0)}, Downtimes: []Downtime{{Node: 1, From: after(500), To: after(600)}}}},
		{"not connected", 0, Record{Requests: []RequestRecord{{Trace: "a", NotAccepted: true, SentAt: after(0), TimesOutAt: after(1)}}}},
		{"another's answer", 1, Record{Requests: []RequestRecord{{Trace: "a", Outcome: "served", Mismatched: true, SentAt: after(0), TimesOutAt: after(9), RespondedAt: after(5)}}}},
		{"sent after the answer", 1, Record{Requests: []RequestRecord{requestRecord("a", "safe", "refused", 0, 50)}, Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 70, 80)}}},
		{"sent after the client gave up", 1, Record{Requests: []RequestRecord{requestRecord("a", "safe", "", 0, 0)}, Downtimes: []Downtime{{From: after(1), To: after(900)}},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 1100, 1200)}}},
		{"attempt of nobody", 1, Record{Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 0, 9)}}},
		{"safe, twice", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 10, 20), attemptRecord("a", "safe", "s2", "r2", 30, 80)}}},
		{"two out at once", 2, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 10, 80), attemptRecord("a", "safe", "s2", "r2", 30, 80)}}},
		{"unsafe, twice", 2, Record{Requests: []RequestRecord{requestRecord("a", "unsafe", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "unsafe", "s", "r", 10, 20), attemptRecord("a", "unsafe", "s2", "r", 30, 80)}}},
		{"unsafe, turned away first", 0, Record{Requests: []RequestRecord{requestRecord("a", "unsafe", "served", 0, 90)},
			Attempts: []AttemptRecord{away(attemptRecord("a", "unsafe", "s", "r", 10, 20)), attemptRecord("a", "unsafe", "s2", "r", 30, 80)}}},
		{"unsafe, refused after it may have run", 2, Record{Requests: []RequestRecord{requestRecord("a", "unsafe", "refused", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "unsafe", "s", "r", 10, 20)}}},
		{"unsafe, failed after it may have run", 0, Record{Requests: []RequestRecord{requestRecord("a", "unsafe", "failed", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "unsafe", "s", "r", 10, 20)}}},
		{"keyed, in its rack", 0, Record{Requests: []RequestRecord{requestRecord("a", "keyed", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "keyed", "s", "r", 10, 20), attemptRecord("a", "keyed", "s2", "r", 30, 80)}}},
		{"keyed, in another rack", 2, Record{Requests: []RequestRecord{requestRecord("a", "keyed", "served", 0, 90)},
			Attempts: []AttemptRecord{attemptRecord("a", "keyed", "s", "r", 10, 20), attemptRecord("a", "keyed", "s2", "r2", 30, 80)}}},
		{"keyed, after the window", 2, Record{Requests: []RequestRecord{requestRecord("a", "keyed", "served", 0, 990)},
			Attempts: []AttemptRecord{attemptRecord("a", "keyed", "s", "r", 10, 20), attemptRecord("a", "keyed", "s2", "r", 530, 580)}}},
		{"one key, two effects", 2, Record{Requests: []RequestRecord{requestRecord("a", "keyed", "failed", 0, 90), requestRecord("b", "keyed", "served", 100, 190)},
			Attempts: []AttemptRecord{ran(attemptRecord("a", "keyed", "s", "r", 10, 20), "k"), ran(attemptRecord("b", "keyed", "s2", "r2", 130, 180), "k")}}},
		{"sent within the grace", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 300)}, EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 90, 200)}}},
		{"sent after the grace", 3, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 300)}, EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}},
			Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 120, 200)}}},
		{"told again and again", 3, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 300)},
			EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}, {Server: "s", At: after(110), Unavailable: true}},
			Attempts:        []AttemptRecord{attemptRecord("a", "safe", "s", "r", 120, 200)}}},
		{"back in service", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 300)},
			EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}, {Server: "s", At: after(110)}},
			Attempts:        []AttemptRecord{attemptRecord("a", "safe", "s", "r", 120, 200)}}},
		{"told while stopped", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 900)}, EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}},
			Downtimes: []Downtime{{From: after(0), To: after(500)}}, Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 550, 600)}}},
		{"told before it was killed", 0, Record{Requests: []RequestRecord{requestRecord("a", "safe", "served", 0, 900)}, EndpointUpdates: []EndpointUpdate{{Server: "s", At: after(0), Unavailable: true}},
			Downtimes: []Downtime{{From: after(100), To: after(200), Killed: true}}, Attempts: []AttemptRecord{attemptRecord("a", "safe", "s", "r", 550, 600)}}},
		{"pushed over", 4, Record{ColdOverloads: []ColdOverload{{"s", after(3)}}}},
		{"under the ceiling", 0, requestsUnderCeiling(11)},
		{"over the ceiling", 5, requestsUnderCeiling(14)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.record
			r.Classes = map[string]Class{"safe": {Effect: "safe"}, "keyed": {Effect: "keyed", DedupWindow: 500 * time.Millisecond},
				"unsafe": {Effect: "unsafe"}}
			r.Ceilings = map[string]Ceiling{"p": {Rate: 10, Burst: 10, Slack: 1}}
			r.DrainGrace, r.Tolerance = 100*time.Millisecond, 10*time.Millisecond
			for _, f := range Check(&r) {
				if broken := len(f.Violations) > 0; broken != (f.Rule == c.rule) {
					t.Errorf("rule %d: %v", f.Rule, f.Violations)
				}
			}
		})
	}
}

// requestsUnderCeiling is n units in a tenth of a second: 10 at once and 1 of the rate.
func requestsUnderCeiling(n int) Record {
	var r Record
	for i := range n {
		trace := string(rune('a' + i))
		r.Requests = append(r.Requests, requestRecord(trace, "safe", "served", 0, 200))
		r.Attempts = append(r.Attempts, attemptRecord(trace, "safe", "s", "r", 100*i/(n-1), 150))
	}
	return r
}
