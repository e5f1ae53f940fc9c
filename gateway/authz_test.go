package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/standin/authoriser"
	"yardcleat.example/yardcleat/standin/discovery"
)

// withTwo runs a test with two authorisers of one service.
func withTwo(t *testing.T, f func(w *world, second *authoriser.Server)) {
	inWorldFrom(t, strings.Replace(worldConfig, `authoriser { address = "10.0.2.1:80" }`,
		`authoriser { addresses = ["10.0.2.1:80", "10.0.2.2:80"] }`, 1), func(w *world) {
		second := authoriser.New("denied")
		go second.Serve(w.listen("10.0.2.2:80"))
		f(w, second)
		second.Kill()
	})
}

// One of two authorisers fails: requests are asked for at the other, in time.
func TestOneOfTwoAuthorisers(t *testing.T) {
	for _, fault := range []string{"dead", "silent", "slow"} {
		t.Run(fault, func(t *testing.T) {
			withTwo(t, func(w *world, second *authoriser.Server) {
				switch fault {
				case "dead":
					second.Kill()
				case "silent":
					second.Do("silent", "")
				case "slow":
					second.Do("slow", "150ms")
				}
				refused := 0
				for i := range 40 {
					g := w.do("POST", "/loans/1", "k-school", "Idempotency-Key", fmt.Sprint("k", i))
					if g.status != 200 {
						refused++
					}
					if g.took > 700*time.Millisecond {
						t.Errorf("%+v", g)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if refused > 0 {
					t.Errorf("%d of 40 refused", refused)
				}
			})
		})
	}
}

// An earlier answer stands in for as long as the class says, a denial too.
func TestRememberedAnswer(t *testing.T) {
	src := strings.Replace(worldConfig, `authorisation = "refuse"`, "authorisation = \"refuse\"\n  remember = \"10s\"", 1)
	inWorldFrom(t, src, func(w *world) {
		ask := func(key string) got {
			return w.do("POST", "/loans/1", key, "Idempotency-Key", fmt.Sprint(time.Now().UnixNano()))
		}
		if g := ask("k-school"); g.status != 200 {
			t.Fatalf("%+v", g)
		}
		if g := ask("k-denied"); g.status != 403 {
			t.Fatalf("%+v", g)
		}
		w.auth.Do("silent", "")
		if g := ask("k-school"); g.status != 200 {
			t.Errorf("%+v", g)
		}
		if g := ask("k-denied"); g.status != 403 || !strings.Contains(g.body, "no right") {
			t.Errorf("%+v", g)
		}
		if g := w.do("POST", "/loans/2", "k-school", "Idempotency-Key", "x"); g.status != 503 {
			t.Errorf("another resource: %+v", g)
		}
		time.Sleep(11 * time.Second)
		if g := ask("k-school"); g.status != 503 {
			t.Errorf("after its life: %+v", g)
		}
	})
}

// An allowed loan-change meets a draining server: the drain is told between the
// allow and the send.
func TestAllowedThenDrained(t *testing.T) {
	inWorld(t, fmt.Sprintf("node { state_dir = %q }", t.TempDir()), func(w *world) {
		d := discovery.New("c", 0, nil)
		go d.Serve(w.listen("10.0.3.1:80"))
		list := []discovery.Endpoint{{Name: "s1", Address: "10.0.1.1:80", Cell: 1}, {Name: "s2", Address: "10.0.1.2:80", Cell: 2}}
		d.Set(list)
		time.Sleep(3 * time.Second)
		w.auth.Do("slow", "100ms")
		done := make(chan got, 4)
		for i := range 4 {
			go func() { done <- w.do("POST", "/loans/1", "k-school", "Idempotency-Key", fmt.Sprint(i)) }()
		}
		time.Sleep(50 * time.Millisecond) // asked for, not allowed yet
		list[0].Draining = true
		d.Set(list)
		time.Sleep(10 * time.Millisecond)
		told := time.Now()
		for range 4 {
			if g := <-done; g.status != 200 {
				t.Errorf("%+v", g)
			}
		}
		for _, s := range w.arrived() {
			if s.Server == "s1" && s.At.After(told) {
				t.Errorf("sent to the draining server: %+v", s)
			}
		}
		d.Kill()
	})
}
