package gateway

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
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

// withCounter runs a test in a world with a counter; dir is the node's memory.
func withCounter(t *testing.T, dir string, f func(w *world, c *counter.Server)) {
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

// again starts the node anew, as after a kill.
func (w *world) again() {
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

// pass sends requests and returns how many were served.
func (w *world) pass(n int, key string) int {
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
func TestCounterFaults(t *testing.T) {
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
			withCounter(t, "", func(w *world, s *counter.Server) {
				passed := w.pass(5, "k-school")
				time.Sleep(time.Second)
				c(s, func() {
					start := time.Now()
					passed += w.pass(8, "k-school")
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
func TestCounterKill(t *testing.T) {
	dir := t.TempDir()
	withCounter(t, dir, func(w *world, c *counter.Server) {
		passed := w.pass(5, "k-school")
		time.Sleep(2 * time.Second)
		c.Do("silent", "")
		passed += w.pass(6, "k-school")
		time.Sleep(2 * time.Second) // saved, not added
		w.again()
		c.Do("ok", "")
		passed += w.pass(3, "k-school")
		time.Sleep(15 * time.Second)
		if got, want := total(c, "school"), int64(1000*passed); got != want {
			t.Errorf("the counter holds %d, %d passed", got, want)
		}
	})
}

// A restarted node knows what a customer has used: without the counter it would
// let most of a store pass a second time.
func TestRestartKnows(t *testing.T) {
	run := func(withIt bool) (second int) {
		withCounter(t, "", func(w *world, c *counter.Server) {
			if !withIt {
				c.Do("refuse", "")
			}
			time.Sleep(21 * time.Second) // the first process knows its stores
			if first := w.pass(25, "k-slow"); first < 15 || first > 23 {
				t.Errorf("%d of a store of 20 passed", first)
			}
			time.Sleep(time.Second)
			w.again()
			second = w.pass(25, "k-slow")
		})
		return second
	}
	with, without := run(true), run(false)
	t.Logf("passed after the restart: %d with the counter, %d without", with, without)
	if with > 8 || without < 15 {
		t.Errorf("%d with, %d without", with, without)
	}
}

// A store that is torn, empty, foreign or of another node is moved aside, with a
// message, wherever it is cut; nothing of it is taken.
func TestTornStore(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "tally")
	s, _, _, err := storage.Open(path, 3)
	if err != nil {
		t.Fatal(err)
	}
	var list []usage.Register
	for i := range 50 {
		list = append(list, usage.Register{Key: usage.Key{Customer: fmt.Sprint("c", i), Window: 7}, Owner: usage.Owner{Node: 3, Incarnation: 9}, Units: usage.Milli(i + 1)})
	}
	extra := list[0]
	extra.Key.Customer = "taken out again"
	if err := s.Save(append(list, extra)); err != nil {
		t.Fatal(err)
	}
	extra.Units = 0
	if err := s.Save([]usage.Register{extra}); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := storage.Open(path, 3); err == nil {
		t.Error("opened twice")
	}
	s.Close()
	s, got, aside, err := storage.Open(path, 3)
	if err != nil || aside != nil || len(got) != 50 {
		t.Fatalf("%d totals, %v, %v", len(got), aside, err)
	}
	s.Close()
	whole, _ := os.ReadFile(path)
	for cut := 0; cut < len(whole); cut += 1009 {
		at := filepath.Join(dir, fmt.Sprint("cut-", cut))
		os.WriteFile(at, whole[:cut], 0o600)
		s, got, aside, err := storage.Open(at, 3)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if len(got) != 0 && len(got) != 50 || cut > 0 && len(got) == 0 && aside == nil {
			t.Errorf("cut at %d: %d totals, %v", cut, len(got), aside)
		}
		s.Close()
	}
	for name, content := range map[string]string{"foreign": strings.Repeat("hello\n", 5000), "another node's": string(whole)} {
		at := filepath.Join(dir, name)
		os.WriteFile(at, []byte(content), 0o600)
		s, got, aside, err := storage.Open(at, 4)
		if err != nil || aside == nil || len(got) != 0 {
			t.Errorf("%s: %d totals, %v, %v", name, len(got), aside, err)
		}
		if s != nil {
			s.Close()
		}
	}
}
