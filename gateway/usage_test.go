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

// withFakeCounter runs a test in a world with a counter. stateDir is the node's state
// directory, or "" for none.
func withFakeCounter(t *testing.T, stateDir string, test func(w *testBed, c *counter.Server)) {
	t.Helper()
	extra := counterBlock
	if stateDir != "" {
		extra += fmt.Sprintf("node { state_dir = %q }\n", stateDir)
	}
	runInTestBed(t, extra, func(w *testBed) {
		c := counter.New()
		go c.Serve(w.listen("10.0.5.1:80"))
		test(w, c)
		w.node.Kill()
		c.Kill()
	})
}

// restart kills the node and starts it again.
func (w *testBed) restart() {
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
func (w *testBed) countServed(n int, key string) int {
	served := 0
	for i := range n {
		if g := w.do("GET", fmt.Sprint("/records/", i), key); g.status == 200 {
			served++
		}
	}
	return served
}

// storedUnits is the total of a customer that the counter holds, in thousandths.
func storedUnits(c *counter.Server, customer string) int64 {
	var sum int64
	for _, v := range c.Totals("yt:{" + customer + "}") {
		sum += v
	}
	return sum
}

// The counter holds what was forwarded, in spite of its own faults, and no request waits
// for it.
func TestCounterHoldsWhatWasForwardedAfterFaults(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after func(c *counter.Server) // what happens to the counter before and after requests
	}{
		{"none", nil, nil},
		{"no response", counterFault("silent"), counterFault("ok")},
		{"refused connections", counterFault("refuse"), counterFault("ok")},
		{"slow responses", func(c *counter.Server) { c.Do("slow", "100ms") }, counterFault("ok")},
		{"lost responses", counterFault("lose"), counterFault("ok")},
		{"emptied", nil, counterFault("empty")},
		{"old copy", counterFault("save"), counterFault("restore")},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeCounter(t, "", func(w *testBed, server *counter.Server) {
				forwarded := w.countServed(5, "k-school")
				time.Sleep(time.Second)
				applyFault(server, c.before)
				start := time.Now()
				forwarded += w.countServed(8, "k-school")
				if took := time.Since(start); took > 8*100*time.Millisecond {
					t.Errorf("requests waited for the counter: %v", took)
				}
				time.Sleep(3 * time.Second)
				applyFault(server, c.after)
				time.Sleep(15 * time.Second)
				if got, want := storedUnits(server, "school"), int64(1000*forwarded); got != want {
					t.Errorf("the counter holds %d, %d forwarded", got, want)
				}
			})
		})
	}
}

// counterFault makes the counter do something that needs no argument.
func counterFault(name string) func(c *counter.Server) {
	return func(c *counter.Server) { c.Do(name, "") }
}

// applyFault applies a fault to the counter; nil: none.
func applyFault(c *counter.Server, fault func(c *counter.Server)) {
	if fault != nil {
		fault(c)
	}
}

// A node that was killed with usage that the counter had not confirmed writes it again from
// its storage.
func TestKilledNodeRestoresUnconfirmedUsageFromStorage(t *testing.T) {
	dir := t.TempDir()
	withFakeCounter(t, dir, func(w *testBed, c *counter.Server) {
		forwarded := w.countServed(5, "k-school")
		time.Sleep(2 * time.Second)
		c.Do("silent", "")
		forwarded += w.countServed(6, "k-school")
		time.Sleep(2 * time.Second) // saved, not in the counter
		w.restart()
		c.Do("ok", "")
		forwarded += w.countServed(3, "k-school")
		time.Sleep(15 * time.Second)
		if got, want := storedUnits(c, "school"), int64(1000*forwarded); got != want {
			t.Errorf("the counter holds %d, %d forwarded", got, want)
		}
	})
}

// A restarted node knows from the counter what a customer has used. Without the counter it
// would admit most of a bucket a second time.
func TestRestartedNodeKnowsUsedQuota(t *testing.T) {
	with := servedAfterRestart(t, true)
	without := servedAfterRestart(t, false)
	t.Logf("served after the restart: %d with the counter, %d without", with, without)
	if with > 8 || without < 15 {
		t.Errorf("%d with, %d without", with, without)
	}
}

// servedAfterRestart uses up a bucket of 20, restarts the node, and returns how many of 25
// further requests are served.
func servedAfterRestart(t *testing.T, counterUp bool) (served int) {
	t.Helper()
	withFakeCounter(t, "", func(w *testBed, c *counter.Server) {
		if !counterUp {
			c.Do("refuse", "")
		}
		time.Sleep(21 * time.Second) // the time to fill the bucket: the first process knows it
		if first := w.countServed(25, "k-slow"); first < 15 || first > 23 {
			t.Errorf("%d of a bucket of 20 served", first)
		}
		time.Sleep(time.Second)
		w.restart()
		served = w.countServed(25, "k-slow")
	})
	return served
}
