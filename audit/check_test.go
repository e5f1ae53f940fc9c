package audit

import (
	"testing"
	"time"
)

var zero = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }

func try(trace, class, answer string, sent, answered int) Tried {
	t := Tried{Trace: trace, Class: class, Answer: answer, Customer: "c", Plan: "p", Units: 1, Sent: at(sent), GiveUp: at(sent + 1000)}
	if answer != "" {
		t.Answered = at(answered)
	}
	return t
}

func seen(trace, class, server, rack string, from, to int) Seen {
	return Seen{Trace: trace, Class: class, Server: server, Rack: rack, At: at(from), End: at(to)}
}

// Each rule is found broken by the least that breaks it, and by nothing less.
func TestRules(t *testing.T) {
	away := func(s Seen) Seen { s.Away = true; return s }
	ran := func(s Seen, key string) Seen { s.Ran, s.Key = true, key; return s }
	for _, c := range []struct {
		name   string
		rule   int // broken; 0: none
		record Record
	}{
		{"served", 0, Record{Tried: []Tried{try("a", "safe", "served", 0, 50)}, Seen: []Seen{seen("a", "safe", "s", "r", 10, 40)}}},
		{"no answer", 1, Record{Tried: []Tried{try("a", "safe", "", 0, 0)}}},
		{"no answer of a dead node", 0, Record{Tried: []Tried{try("a", "safe", "", 0, 0)}, Down: []Down{{Node: 0, From: at(500), To: at(600)}}}},
		{"no answer, another node dead", 1, Record{Tried: []Tried{try("a", "safe", "", 0, 0)}, Down: []Down{{Node: 1, From: at(500), To: at(600)}}}},
		{"not connected", 0, Record{Tried: []Tried{{Trace: "a", Refused: true, Sent: at(0), GiveUp: at(1)}}}},
		{"another's answer", 1, Record{Tried: []Tried{{Trace: "a", Answer: "served", Foreign: true, Sent: at(0), GiveUp: at(9), Answered: at(5)}}}},
		{"sent after the answer", 1, Record{Tried: []Tried{try("a", "safe", "refused", 0, 50)}, Seen: []Seen{seen("a", "safe", "s", "r", 70, 80)}}},
		{"sent after the client gave up", 1, Record{Tried: []Tried{try("a", "safe", "", 0, 0)}, Down: []Down{{From: at(1), To: at(900)}},
			Seen: []Seen{seen("a", "safe", "s", "r", 1100, 1200)}}},
		{"attempt of nobody", 1, Record{Seen: []Seen{seen("a", "safe", "s", "r", 0, 9)}}},
		{"safe, twice", 0, Record{Tried: []Tried{try("a", "safe", "served", 0, 90)},
			Seen: []Seen{seen("a", "safe", "s", "r", 10, 20), seen("a", "safe", "s2", "r2", 30, 80)}}},
		{"two out at once", 2, Record{Tried: []Tried{try("a", "safe", "served", 0, 90)},
			Seen: []Seen{seen("a", "safe", "s", "r", 10, 80), seen("a", "safe", "s2", "r2", 30, 80)}}},
		{"unsafe, twice", 2, Record{Tried: []Tried{try("a", "unsafe", "served", 0, 90)},
			Seen: []Seen{seen("a", "unsafe", "s", "r", 10, 20), seen("a", "unsafe", "s2", "r", 30, 80)}}},
		{"unsafe, turned away first", 0, Record{Tried: []Tried{try("a", "unsafe", "served", 0, 90)},
			Seen: []Seen{away(seen("a", "unsafe", "s", "r", 10, 20)), seen("a", "unsafe", "s2", "r", 30, 80)}}},
		{"unsafe, refused after it may have run", 2, Record{Tried: []Tried{try("a", "unsafe", "refused", 0, 90)},
			Seen: []Seen{seen("a", "unsafe", "s", "r", 10, 20)}}},
		{"unsafe, failed after it may have run", 0, Record{Tried: []Tried{try("a", "unsafe", "failed", 0, 90)},
			Seen: []Seen{seen("a", "unsafe", "s", "r", 10, 20)}}},
		{"keyed, in its rack", 0, Record{Tried: []Tried{try("a", "keyed", "served", 0, 90)},
			Seen: []Seen{seen("a", "keyed", "s", "r", 10, 20), seen("a", "keyed", "s2", "r", 30, 80)}}},
		{"keyed, in another rack", 2, Record{Tried: []Tried{try("a", "keyed", "served", 0, 90)},
			Seen: []Seen{seen("a", "keyed", "s", "r", 10, 20), seen("a", "keyed", "s2", "r2", 30, 80)}}},
		{"keyed, after the window", 2, Record{Tried: []Tried{try("a", "keyed", "served", 0, 990)},
			Seen: []Seen{seen("a", "keyed", "s", "r", 10, 20), seen("a", "keyed", "s2", "r", 530, 580)}}},
		{"one key, two effects", 2, Record{Tried: []Tried{try("a", "keyed", "failed", 0, 90), try("b", "keyed", "served", 100, 190)},
			Seen: []Seen{ran(seen("a", "keyed", "s", "r", 10, 20), "k"), ran(seen("b", "keyed", "s2", "r2", 130, 180), "k")}}},
		{"sent within the grace", 0, Record{Tried: []Tried{try("a", "safe", "served", 0, 300)}, Told: []Told{{Server: "s", At: at(0), Down: true}},
			Seen: []Seen{seen("a", "safe", "s", "r", 90, 200)}}},
		{"sent after the grace", 3, Record{Tried: []Tried{try("a", "safe", "served", 0, 300)}, Told: []Told{{Server: "s", At: at(0), Down: true}},
			Seen: []Seen{seen("a", "safe", "s", "r", 120, 200)}}},
		{"told again and again", 3, Record{Tried: []Tried{try("a", "safe", "served", 0, 300)},
			Told: []Told{{Server: "s", At: at(0), Down: true}, {Server: "s", At: at(110), Down: true}},
			Seen: []Seen{seen("a", "safe", "s", "r", 120, 200)}}},
		{"back in service", 0, Record{Tried: []Tried{try("a", "safe", "served", 0, 300)},
			Told: []Told{{Server: "s", At: at(0), Down: true}, {Server: "s", At: at(110)}},
			Seen: []Seen{seen("a", "safe", "s", "r", 120, 200)}}},
		{"told while stopped", 0, Record{Tried: []Tried{try("a", "safe", "served", 0, 900)}, Told: []Told{{Server: "s", At: at(0), Down: true}},
			Down: []Down{{From: at(0), To: at(500)}}, Seen: []Seen{seen("a", "safe", "s", "r", 550, 600)}}},
		{"told before it was killed", 0, Record{Tried: []Tried{try("a", "safe", "served", 0, 900)}, Told: []Told{{Server: "s", At: at(0), Down: true}},
			Down: []Down{{From: at(100), To: at(200), Killed: true}}, Seen: []Seen{seen("a", "safe", "s", "r", 550, 600)}}},
		{"pushed over", 4, Record{Fell: []Fell{{"s", at(3)}}}},
		{"under the ceiling", 0, ceilingOf(11)},
		{"over the ceiling", 5, ceilingOf(14)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.record
			r.Classes = map[string]Class{"safe": {Effect: "safe"}, "keyed": {Effect: "keyed", Window: 500 * time.Millisecond},
				"unsafe": {Effect: "unsafe"}}
			r.Ceilings = map[string]Ceiling{"p": {Rate: 10, Burst: 10, Slack: 1}}
			r.Grace, r.Slop = 100*time.Millisecond, 10*time.Millisecond
			for _, f := range Check(&r) {
				if broken := len(f.Broken) > 0; broken != (f.Rule == c.rule) {
					t.Errorf("rule %d: %v", f.Rule, f.Broken)
				}
			}
		})
	}
}

// ceilingOf is n units in a tenth of a second: 10 at once and 1 of the rate.
func ceilingOf(n int) Record {
	var r Record
	for i := range n {
		trace := string(rune('a' + i))
		r.Tried = append(r.Tried, try(trace, "safe", "served", 0, 200))
		r.Seen = append(r.Seen, seen(trace, "safe", "s", "r", 100*i/(n-1), 150))
	}
	return r
}
