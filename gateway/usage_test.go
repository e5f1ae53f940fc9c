package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/standin/counter"
)

const counterBlock = `
counter {
  addresses = ["10.0.5.1:80"]
  calls_per_second = 400
  window = "1h"
  keep = "24h"
}
plan "slow" {
  rate = 1
  burst = 20
}
customer "slow" {
  plan = "slow"
  keys = ["k-slow"]
}
`

// withFakeCounter runs a test in a world with a counter; dir is the node's memory.
func withFakeCounter(t *testing.T, dir string, f func(w *world, c *counter.Server)) {
	extra := counterBlock
	if dir != "" {
		extra += fmt.Sprintf("node { state_dir = %q }\n", dir)
	}
	inWorld(t, extra, func(w *world) {
		c := counter.New()
		go c.Serve(w.listen("10.0.5.1:80"))
		f(w, c)
		w.node.Kill()
		c.Kill()
	})
}

// restart starts the node anew, as after a kill.
func (w *world) restart() {
	w.t.Helper()
	w.node.Kill()
	w.client.CloseIdleConnections()
	cfg, err := config.Parse([]byte(w.src), "test.hcl")
	if err != nil {
		w.t.Fatal(err)
	}
	w.node, err = Start(cfg, Options{Network: w.mem.Host("node"), Log: slog.New(slog.NewTextHandler(w.t.Output(), nil)), Seed: 2})
	if err != nil {
		w.t.Fatal(err)
	}
}

// countServed sends requests and returns how many were served.
func (w *world) countServed(n int, key string) int {
	served := 0
	for i := range n {
		if g := w.do("GET", fmt.Sprint("/records/", i), key); g.status == 200 {
			served++
		}
	}
	return served
}

func total(c *counter.Server, customer string) int64 {
	var sum int64
	for _, v := range c.Totals("yt:{" + customer + "}") {
		sum += v
	}
	return sum
}

// The counter holds what was passed, over faults of its own.
func TestCounterHoldsWhatWasForwardedAfterFaults(t *testing.T) {
	for name, c := range map[string]func(c *counter.Server, during func()){
		"sound":   func(c *counter.Server, during func()) { during() },
		"silent":  func(c *counter.Server, during func()) { c.Do("silent", ""); during(); c.Do("ok", "") },
		"refuses": func(c *counter.Server, during func()) { c.Do("refuse", ""); during(); c.Do("ok", "") },
		"slow":    func(c *counter.Server, during func()) { c.Do("slow", "100ms"); during(); c.Do("ok", "") },
		"answers lost after the add": func(c *counter.Server, during func()) {
			c.Do("lose", "")
			during()
			c.Do("ok", "")
		},
		"emptied": func(c *counter.Server, during func()) { during(); c.Do("empty", "") },
		"old copy": func(c *counter.Server, during func()) {
			c.Do("save", "")
			during()
			c.Do("restore", "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeCounter(t, "", func(w *world, s *counter.Server) {
				passed := w.countServed(5, "k-school")
				time.Sleep(time.Second)
				c(s, func() {
					start := time.Now()
					passed += w.countServed(8, "k-school")
					if took := time.Since(start); took > 8*100*time.Millisecond {
						t.Errorf("requests waited for the counter: %v", took)
					}
					time.Sleep(3 * time.Second)
				})
				time.Sleep(15 * time.Second)
				if got, want := total(s, "school"), int64(1000*passed); got != want {
					t.Errorf("the counter holds %d, %d passed", got, want)
				}
			})
		})
	}
}

// A node killed with adds that were not confirmed makes them good from its disk;
// without its disk only what the counter had is left.
func TestKilledNodeRestoresUnconfirmedUsageFromStorage(t *testing.T) {
	dir := t.TempDir()
	withFakeCounter(t, dir, func(w *world, c *counter.Server) {
		passed := w.countServed(5, "k-school")
		time.Sleep(2 * time.Second)
		c.Do("silent", "")
		passed += w.countServed(6, "k-school")
		time.Sleep(2 * time.Second) // saved, not added
		w.restart()
		c.Do("ok", "")
		passed += w.countServed(3, "k-school")
		time.Sleep(15 * time.Second)
		if got, want := total(c, "school"), int64(1000*passed); got != want {
			t.Errorf("the counter holds %d, %d passed", got, want)
		}
	})
}

// A restarted node knows what a customer has used: without the counter it would
// let most of a store pass a second time.
func TestRestartedNodeKnowsUsedQuota(t *testing.T) {
	run := func(withIt bool) (second int) {
		withFakeCounter(t, "", func(w *world, c *counter.Server) {
			if !withIt {
				c.Do("refuse", "")
			}
			time.Sleep(21 * time.Second) // the first process knows its stores
			if first := w.countServed(25, "k-slow"); first < 15 || first > 23 {
				t.Errorf("%d of a store of 20 passed", first)
			}
			time.Sleep(time.Second)
			w.restart()
			second = w.countServed(25, "k-slow")
		})
		return second
	}
	with, without := run(true), run(false)
	t.Logf("passed after the restart: %d with the counter, %d without", with, without)
	if with > 8 || without < 15 {
		t.Errorf("%d with, %d without", with, without)
	}
}
