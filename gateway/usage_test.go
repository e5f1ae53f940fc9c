package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/standin/counter"
	"yardcleat.example/yardcleat/storage"
	"yardcleat.example/yardcleat/usage"
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

// withFakeCounter runs a test in a test bed with a counter. stateDir is the node's state
// directory, or "" for none.
func withFakeCounter(t *testing.T, stateDir string, test func(bed *testBed, c *counter.Server)) {
	t.Helper()
	extra := counterBlock
	if stateDir != "" {
		extra += fmt.Sprintf("node { state_dir = %q }\n", stateDir)
	}
	runInTestBed(t, extra, func(bed *testBed) {
		c := counter.New()
		bed.serve(c.Serve, "10.0.5.1:80")
		test(bed, c)
		bed.gateway.Kill()
		c.Kill()
	})
}

// restart kills the node and starts it again.
func (bed *testBed) restart() {
	bed.t.Helper()
	bed.gateway.Kill()
	bed.client.CloseIdleConnections()
	cfg, err := config.Parse([]byte(bed.configSource), "test.hcl")
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.gateway, err = Start(cfg, Options{Network: bed.network.Host("node"), Log: slog.New(slog.NewTextHandler(bed.t.Output(), nil)), Seed: 2})
	if err != nil {
		bed.t.Fatal(err)
	}
}

// countServed sends requests and returns how many were served.
func (bed *testBed) countServed(n int, key string) int {
	served := 0
	for i := range n {
		if g := bed.do("GET", fmt.Sprint("/records/", i), key); g.status == 200 {
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
func TestCounterTotalsMatchForwardedRequestsAfterFaults(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after counterFault // what happens to the counter before and after requests
	}{
		{"none", counterFault{}, counterFault{}},
		{"no response", counterFault{name: "silent"}, counterFault{name: "ok"}},
		{"refused connections", counterFault{name: "refuse"}, counterFault{name: "ok"}},
		{"slow responses", counterFault{name: "slow", argument: "100ms"}, counterFault{name: "ok"}},
		{"lost responses", counterFault{name: "lose"}, counterFault{name: "ok"}},
		{"emptied", counterFault{}, counterFault{name: "empty"}},
		{"old copy", counterFault{name: "save"}, counterFault{name: "restore"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeCounter(t, "", func(bed *testBed, server *counter.Server) {
				forwarded := bed.countServed(5, "k-school")
				time.Sleep(time.Second)
				applyFault(t, server, c.before)
				start := time.Now()
				forwarded += bed.countServed(8, "k-school")
				if took := time.Since(start); took > 8*100*time.Millisecond {
					t.Errorf("requests waited for the counter: %v", took)
				}
				time.Sleep(3 * time.Second)
				applyFault(t, server, c.after)
				time.Sleep(15 * time.Second)
				if got, want := storedUnits(server, "school"), int64(1000*forwarded); got != want {
					t.Errorf("the counter holds %d, %d forwarded", got, want)
				}
			})
		})
	}
}

// counterFault is a fault of the fake counter, or its end. The zero value is none.
type counterFault struct{ name, argument string }

// applyFault applies a fault to the counter.
func applyFault(t *testing.T, c *counter.Server, fault counterFault) {
	t.Helper()
	if fault == (counterFault{}) {
		return
	}
	if err := c.InjectFault(fault.name, fault.argument); err != nil {
		t.Fatal(err)
	}
}

// A node that was killed with usage that the counter had not confirmed writes it again from
// its storage.
func TestKilledNodeRestoresUnconfirmedUsageFromStorage(t *testing.T) {
	dir := t.TempDir()
	withFakeCounter(t, dir, func(bed *testBed, c *counter.Server) {
		forwarded := bed.countServed(5, "k-school")
		time.Sleep(2 * time.Second)
		applyFault(t, c, counterFault{name: "silent"})
		forwarded += bed.countServed(6, "k-school")
		time.Sleep(2 * time.Second) // saved, not in the counter
		bed.restart()
		applyFault(t, c, counterFault{name: "ok"})
		forwarded += bed.countServed(3, "k-school")
		time.Sleep(15 * time.Second)
		if got, want := storedUnits(c, "school"), int64(1000*forwarded); got != want {
			t.Errorf("the counter holds %d, %d forwarded", got, want)
		}
	})
}

// A restarted node knows from the counter what a customer has used. Without the counter it
// would admit most of a bucket a second time.
func TestRestartedNodeRestoresUsedQuota(t *testing.T) {
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
	withFakeCounter(t, "", func(bed *testBed, c *counter.Server) {
		if !counterUp {
			applyFault(t, c, counterFault{name: "refuse"})
		}
		time.Sleep(21 * time.Second) // the time to fill the bucket: the first process knows it
		if first := bed.countServed(25, "k-slow"); first < 15 || first > 23 {
			t.Errorf("%d of a bucket of 20 served", first)
		}
		time.Sleep(time.Second)
		bed.restart()
		served = bed.countServed(25, "k-slow")
	})
	return served
}

// A save goes on behind totals that have not changed, however many there are.
func TestSaveContinuesPastUnchangedTotals(t *testing.T) {
	runInTestBed(t, counterBlock, func(bed *testBed) {
		path := filepath.Join(t.TempDir(), "tally")
		store, _, err := storage.Open(path, 0)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		tracker := usage.New(usageSettings(bed.gateway.cfg, 1, 1))
		window := now.Unix() / int64(bed.gateway.cfg.Counter.Window/time.Second)
		var loaded []usage.CounterEntry
		for i := range 2 * maxTotalsPerSave {
			key := usage.TotalKey{Customer: fmt.Sprint("c", i), Window: window}
			loaded = append(loaded, usage.CounterEntry{Key: key, Writer: usage.WriterID{Node: 0, Incarnation: 1}, Units: 1000})
		}
		tracker.LoadStored(now, loaded)
		tracker.RecordForwarded(now, "school", "basic", nil, 3)
		s := &usageStorage{gateway: bed.gateway, tracker: tracker, store: store}
		s.save(context.Background())
		s.close()
		store, contents, err := storage.Open(path, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Close(); err != nil {
			t.Error(err)
		}
		if len(contents.Entries) != 1 || contents.Entries[0].Key.Customer != "school" || contents.Entries[0].Units != 3000 {
			t.Errorf("saved %v", contents.Entries)
		}
		bed.gateway.Kill()
	})
}
