package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/day"
	"yardcleat.example/yardcleat/day/virtual"
	"yardcleat.example/yardcleat/lab/hunt"
)

// workerCommand is what a hunt's workers run.
func workerCommand() *cobra.Command {
	return &cobra.Command{Use: "worker", Short: "Play days in virtual time, as they come on standard input", Hidden: true,
		Args: cobra.NoArgs, Run: func(*cobra.Command, []string) { virtual.Worker() }}
}

// newWorkerPool is a pool of this program's own newWorkerPool.
func newWorkerPool() (*virtual.Pool, error) {
	program, err := os.Executable()
	return &virtual.Pool{Longest: 2 * time.Minute, Command: func() *exec.Cmd {
		c := exec.Command(program, "lab", "worker")
		c.Env = append(os.Environ(), "GOMAXPROCS=1") // one bubble has little to share out
		return c
	}}, err
}

// faultSearch is a hunt under way.
type faultSearch struct {
	cmd             *cobra.Command
	pool            *virtual.Pool
	base            *day.Script
	limits          hunt.Limits
	seed            uint64
	budget          int
	workers         int
	unguided        bool
	searchesRegret  bool
	mutation        string
	outputDir       string
	stopAtFirst     bool
	shrinkBudget    int
	maxScenarioTime time.Duration
	violationCounts map[string]int
}

func huntCommand() *cobra.Command {
	h := &faultSearch{limits: hunt.DefaultLimits(), violationCounts: map[string]int{}}
	var nodes, faults string
	c := &cobra.Command{Use: "hunt", Short: "Search for days of trouble that break a rule",
		Long: "Draw days from a grammar of faults, play them in virtual time on all cores, and check the five rules.\n" +
			"What days reached leads to the next ones. A day that breaks a rule is shrunk to the least that still\n" +
			"does, and kept as a script. Equal seeds draw equal days. The exit code is 1 where a rule was broken.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h.cmd = cmd
			for text, to := range map[string]*[2]int{nodes: &h.limits.Nodes, faults: &h.limits.Faults} {
				if _, err := fmt.Sscanf(text, "%d-%d", &to[0], &to[1]); err != nil || to[0] < 1 || to[1] < to[0] {
					return fmt.Errorf("%q: two numbers such as 2-12 are needed", text)
				}
			}
			for _, k := range h.limits.Kinds {
				if !slices.Contains(hunt.Kinds(), k) {
					return fmt.Errorf("there is no kind of fault %q; there are %s", k, strings.Join(hunt.Kinds(), ", "))
				}
			}
			return h.run()
		}}
	c.Flags().IntVar(&h.budget, "budget", 200, "days to play")
	c.Flags().Uint64Var(&h.seed, "seed", 1, "seed of all chance")
	c.Flags().StringVar(&h.outputDir, "keep", "", "directory for scripts of days that broke a rule, with what was seen")
	c.Flags().IntVar(&h.workers, "workers", runtime.NumCPU(), "days played at once")
	c.Flags().BoolVar(&h.unguided, "unled", false, "draw each day alone, not led by the earlier ones")
	c.Flags().BoolVar(&h.searchesRegret, "worth", false, "search for days whose faults cost more together than one at a time")
	c.Flags().StringVar(&h.mutation, "defect", "", "play builds with a defence taken out: "+strings.Join(virtual.Defects(), ", "))
	c.Flags().BoolVar(&h.stopAtFirst, "first", false, "end at the first find, and shrink nothing")
	c.Flags().IntVar(&h.shrinkBudget, "shrink", 80, "plays for shrinking one find")
	c.Flags().DurationVar(&h.maxScenarioTime, "longest", time.Minute, "real time after which a day is given up, and is a find")
	c.Flags().StringVar(&nodes, "nodes", "2-12", "sizes of fleets")
	c.Flags().StringVar(&faults, "faults", "3-14", "faults of a day")
	c.Flags().StringSliceVar(&h.limits.Kinds, "kind", nil, "kinds of fault to draw; all where none is given")
	return c
}

func (h *faultSearch) logf(format string, args ...any) {
	fmt.Fprintf(h.cmd.ErrOrStderr(), format+"\n", args...)
}

func (h *faultSearch) newJob(d hunt.Day) virtual.Job {
	return virtual.Job{Source: d.Script.Source(), Seed: d.Seed, NoStamps: d.NoStamps, Defect: h.mutation}
}

// evaluate reads what came of a day. A day that did not go to its end is broken in
// rule 0.
func evaluate(r virtual.Result) (o hunt.Outcome, words []string) {
	if r.Error != "" {
		return hunt.Outcome{Broken: []int{0}}, []string{r.Error}
	}
	o = hunt.Outcome{Features: r.Features, Near: r.Report.Near, Worth: r.Report.Worth}
	for _, f := range r.Report.Rules {
		if len(f.Broken) > 0 {
			o.Broken = append(o.Broken, f.Rule)
			words = append(words, fmt.Sprintf("rule %d, %d times: %s", f.Rule, len(f.Broken), f.Broken[0]))
		}
	}
	if len(r.Report.Errors) > 0 {
		o.Broken = append(o.Broken, 0)
		words = append(words, r.Report.Errors...)
	}
	return o, words
}

// runScenarios plays days at once, and returns their results in order.
func (h *faultSearch) runScenarios(ctx context.Context, days []hunt.Day) ([]virtual.Result, error) {
	results, errs := make([]virtual.Result, len(days)), make([]error, len(days))
	slots := make(chan struct{}, h.workers)
	var wait sync.WaitGroup
	for i, d := range days {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i], errs[i] = h.pool.Play(ctx, h.newJob(d))
		})
	}
	wait.Wait()
	return results, errors.Join(errs...)
}

func (h *faultSearch) run() error {
	ctx, stop := signal.NotifyContext(h.cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	if h.base, err = day.Load("base"); err != nil {
		return err
	}
	if h.pool, err = newWorkerPool(); err != nil {
		return err
	}
	h.pool.Longest = h.maxScenarioTime
	defer h.pool.Close()
	if h.outputDir != "" {
		if err := os.MkdirAll(h.outputDir, 0o755); err != nil {
			return err
		}
	}
	if h.searchesRegret {
		return h.searchRegret(ctx)
	}
	hunter := hunt.New(h.base, h.limits, h.seed, !h.unguided)
	begun, played, broken := time.Now(), 0, 0
	// Days are told in the order they were drawn, a round at a time, so that equal
	// seeds lead to equal days whatever the number of workers.
	const round = 16
	for played < h.budget {
		var days []hunt.Day
		for len(days) < min(round, h.budget-played) {
			days = append(days, hunter.Next())
		}
		results, err := h.runScenarios(ctx, days)
		if err != nil {
			return err
		}
		for i, r := range results {
			played++
			o, words := evaluate(r)
			hunter.Learn(days[i], o)
			if len(o.Broken) == 0 {
				continue
			}
			broken++
			h.logf("day %d: %s\n  %s", played, days[i].Words(), strings.Join(words, "\n  "))
			if h.stopAtFirst {
				h.logf("found after %d days", played)
				return errors.New("a rule was broken")
			}
			if r.Stacks != "" && h.outputDir != "" {
				// Shrinking one that waits for ever would take as long each time.
				name := filepath.Join(h.outputDir, fmt.Sprintf("stacks-%d-%d", h.seed, played))
				if err := errors.Join(os.WriteFile(name+".txt", []byte(r.Stacks), 0o644),
					os.WriteFile(name+".hcl", days[i].Script.Source(), 0o644)); err != nil {
					return err
				}
				continue
			}
			if err := h.shrinkAndSave(ctx, days[i], o, words); err != nil {
				return err
			}
		}
		features, near := hunter.Reached()
		took := time.Since(begun)
		h.logf("%d of %d days, %.0f a minute; %d broke a rule; %d features reached; nearest to the rules' edges %.2f", played, h.budget,
			float64(played)/took.Minutes(), broken, features, near)
	}
	fmt.Fprintf(h.cmd.OutOrStdout(), "%d days played, %d broke a rule\n", played, broken)
	if broken > 0 {
		return errors.New("a rule was broken")
	}
	return nil
}

// shrinkAndSave shrinks a day that broke a rule, and keeps it. What looks like an earlier
// shrinkAndSave is not shrunk again.
func (h *faultSearch) shrinkAndSave(ctx context.Context, d hunt.Day, o hunt.Outcome, words []string) error {
	rule := o.Broken[0]
	const alike = 3 // finds of one rule that are shrunk
	key := fmt.Sprint("rule-", rule)
	if h.violationCounts[key]++; h.violationCounts[key] > alike {
		return nil
	}
	s := hunt.NewShrinker(d, h.shrinkBudget)
	for {
		c, ok := s.Next()
		if !ok {
			break
		}
		r, err := h.pool.Play(ctx, h.newJob(c))
		if err != nil {
			return err
		}
		co, cw := evaluate(r)
		broke := slices.Contains(co.Broken, rule)
		if broke {
			words = cw
		}
		s.Report(broke)
	}
	best := s.Best()
	h.logf("  shrunk: %s\n  %s", best.Words(), strings.Join(words, "\n  "))
	if h.outputDir == "" {
		return nil
	}
	text := fmt.Sprintf("# Found by lab hunt --seed %d; play it with --seed %d", h.seed, best.Seed)
	if best.NoStamps {
		text += " --no-stamps"
	}
	for _, w := range words {
		text += "\n# " + strings.ReplaceAll(w, "\n", "\n# ")
	}
	name := filepath.Join(h.outputDir, fmt.Sprintf("%s-%d-%d.hcl", key, h.seed, h.violationCounts[key]))
	return os.WriteFile(name, append([]byte(text+"\n\n"), best.Script.Source()...), 0o644)
}

// searchRegret looks for days whose faults cost more together than one at a time.
func (h *faultSearch) searchRegret(ctx context.Context) error {
	h.limits.Faults = [2]int{2, 4}
	hunter := hunt.New(h.base, h.limits, h.seed, false)
	type found struct {
		regret float64
		words  string
	}
	var worst []found
	for played := 0; played < h.budget; {
		d := hunter.Next()
		days := []hunt.Day{d, d.Only()}
		for i := range d.Script.Faults {
			days = append(days, d.Only(i))
		}
		results, err := h.runScenarios(ctx, days)
		if err != nil {
			return err
		}
		played += len(days)
		var worth []float64
		for _, r := range results {
			o, words := evaluate(r)
			if len(o.Broken) > 0 {
				h.logf("%s\n  %s", d.Words(), strings.Join(words, "\n  "))
			}
			worth = append(worth, o.Worth)
		}
		regret := hunt.Regret(worth[1], worth[2:], worth[0])
		worst = append(worst, found{regret, fmt.Sprintf("%.0f of %.0f; alone %.0f; %s", worth[0], worth[1], worth[2:], d.Words())})
		slices.SortFunc(worst, func(a, b found) int { return int(1e6 * (b.regret - a.regret)) })
		worst = worst[:min(10, len(worst))]
		h.logf("%d of %d plays; the worst regret is %.3f", played, h.budget, worst[0].regret)
	}
	for _, w := range worst {
		fmt.Fprintf(h.cmd.OutOrStdout(), "%.3f  %s\n", w.regret, w.words)
	}
	return nil
}
