package hunt

import (
	"reflect"
	"slices"
	"testing"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/day"
)

func base(t *testing.T) *day.Script {
	t.Helper()
	s, err := day.Load("base")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// drawn plays a hunt on paper: a day "breaks" what the test says.
func drawn(t *testing.T, seed uint64, led bool, n int) (days []Scenario) {
	h := New(base(t), DefaultLimits(), seed, led)
	for range n {
		d := h.Next()
		days = append(days, d)
		h.Learn(d, Outcome{Features: []string{d.Script.Faults[0].Kind}, Margins: []audit.Margin{{Rule: 1, Near: float64(len(d.Script.Faults)) / 20}}})
	}
	return days
}

// Every day drawn can happen, is written as a script that reads back the same, and
// follows from the seed alone.
func TestDays(t *testing.T) {
	kinds := map[string]bool{}
	for _, led := range []bool{false, true} {
		days := drawn(t, 5, led, 150)
		if again := drawn(t, 5, led, 150); !reflect.DeepEqual(words(days), words(again)) {
			t.Error("one seed draws different days")
		}
		if other := drawn(t, 6, led, 150); reflect.DeepEqual(words(days), words(other)) {
			t.Error("two seeds draw the same days")
		}
		for _, d := range days {
			if err := d.Script.Validate(); err != nil {
				t.Fatalf("%s: %v", d.Summary(), err)
			}
			back, err := day.Parse(d.Script.Format(), "back.hcl")
			if err != nil {
				t.Fatalf("%v\n%s", err, d.Script.Format())
			}
			if !reflect.DeepEqual(back.Faults, d.Script.Faults) || back.Nodes != d.Script.Nodes || !reflect.DeepEqual(back.Servers, d.Script.Servers) ||
				!reflect.DeepEqual(back.Classes, d.Script.Classes) || back.Clients != d.Script.Clients {
				t.Fatalf("read back differs:\n%s", d.Script.Format())
			}
			for _, f := range d.Script.Faults {
				kinds[f.Kind] = true
			}
		}
	}
	for _, k := range FaultKinds() {
		if !kinds[k] {
			t.Errorf("%s was never drawn", k)
		}
	}
}

func words(days []Scenario) (out []string) {
	for _, d := range days {
		out = append(out, d.Summary())
	}
	return out
}

// A day is shrunk to the faults that matter, and no further.
func TestShrink(t *testing.T) {
	for _, d := range drawn(t, 9, false, 40) {
		kinds := map[string]bool{}
		for _, f := range d.Script.Faults {
			kinds[f.Kind] = true
		}
		if len(kinds) < 2 {
			continue
		}
		a, b := d.Script.Faults[0].Kind, ""
		for _, f := range d.Script.Faults {
			if f.Kind != a && f.Kind != "server-return" {
				b = f.Kind
			}
		}
		if a == "server-return" || b == "" {
			continue
		}
		breaks := func(d Scenario) bool {
			has := func(k string) bool {
				return slices.ContainsFunc(d.Script.Faults, func(f day.Fault) bool { return f.Kind == k })
			}
			return has(a) && has(b)
		}
		s := NewShrinker(d, 400)
		for {
			c, ok := s.Next()
			if !ok {
				break
			}
			s.Report(breaks(c))
		}
		if best := s.Best(); !breaks(best) || len(best.Script.Faults) != 2 || best.Script.Nodes != 2 {
			t.Errorf("%s and %s: %s", a, b, best.Summary())
		}
	}
}

// Being led pays: what needs three kinds together is found sooner.
func TestLed(t *testing.T) {
	find := func(seed uint64, led bool) int {
		h := New(base(t), DefaultLimits(), seed, led)
		for n := 1; n <= 1500; n++ {
			d := h.Next()
			got := 0
			for _, k := range []string{"proxy-kill", "clock-set", "discovery-cut", "node-kill-start"} {
				if slices.ContainsFunc(d.Script.Faults, func(f day.Fault) bool { return f.Kind == k }) {
					got++
				}
			}
			if got == 4 {
				return n
			}
			h.Learn(d, Outcome{Margins: []audit.Margin{{Rule: 2, Near: float64(got) / 4}}})
		}
		return 1500
	}
	led, alone := 0, 0
	for seed := range uint64(8) {
		led, alone = led+find(seed, true), alone+find(seed, false)
	}
	t.Logf("days to the find, of 8 hunts: %d led, %d each alone", led, alone)
	if led >= alone {
		t.Error("being led does not pay")
	}
}

func TestRegret(t *testing.T) {
	for _, c := range []struct {
		none  float64
		alone []float64
		all   float64
		want  float64
	}{{100, []float64{90, 80}, 70, 0}, {100, []float64{90, 80}, 40, 0.3}, {100, []float64{10, 20}, 0, 0}, {0, nil, 0, 0}} {
		if got := InteractionCost(c.none, c.alone, c.all); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
