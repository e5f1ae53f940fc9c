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

// workerCommand returns the command that the worker processes of a fault search run.
func workerCommand() *cobra.Command {
	return &cobra.Command{Use: "worker", Short: "Run scenarios from standard input in virtual time", Hidden: true,
		Args: cobra.NoArgs, Run: func(*cobra.Command, []string) { virtual.RunWorker() }}
}

// newWorkerPool returns a pool of worker processes that run this program.
func newWorkerPool() (*virtual.Pool, error) {
	program, err := os.Executable()
	return &virtual.Pool{Timeout: 2 * time.Minute, Command: func() *exec.Cmd {
		c := exec.Command(program, "lab", "worker")
		c.Env = append(os.Environ(), "GOMAXPROCS=1") // a synctest bubble has little parallelism
		return c
	}}, err
}

// faultSearch is a running fault search.
type faultSearch struct {
	cmd                  *cobra.Command
	pool                 *virtual.Pool
	base                 *day.Script
	limits               hunt.Limits
	seed                 uint64
	budget               int
	workers              int
	unguided             bool
	searchesInteractions bool
	mutation             string
	outputDir            string
	stopAtFirst          bool
	shrinkBudget         int
	maxScenarioTime      time.Duration
	violationCounts      map[string]int // by rule
}

func huntCommand() *cobra.Command {
	h := &faultSearch{limits: hunt.DefaultLimits(), violationCounts: map[string]int{}}
	var nodes, faults string
	c := &cobra.Command{Use: "hunt", Short: "Search for fault scenarios that violate a rule",
		Long: "Generate scenarios from a grammar of faults, run them in virtual time on all cores, and check the five rules.\n" +
			"The features that scenarios reach guide the generation of later ones. A scenario that violates a rule is\n" +
			"shrunk while it still does, and saved as a script. Equal seeds generate equal scenarios. The exit code is 1\n" +
			"if a rule was violated.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h.cmd = cmd
			if err := h.setRanges(nodes, faults); err != nil {
				return err
			}
			if h.mutation != "" && !slices.Contains(virtual.Mutations(), h.mutation) {
				return fmt.Errorf("unknown defect %q; the defects are %s", h.mutation, strings.Join(virtual.Mutations(), ", "))
			}
			for _, kind := range h.limits.Kinds {
				if !slices.Contains(hunt.FaultKinds(), kind) {
					return fmt.Errorf("unknown kind of fault %q; the kinds are %s", kind, strings.Join(hunt.FaultKinds(), ", "))
				}
			}
			return h.run()
		}}
	c.Flags().IntVar(&h.budget, "budget", 200, "number of scenarios to run")
	c.Flags().Uint64Var(&h.seed, "seed", 1, "seed of the random numbers")
	c.Flags().StringVar(&h.outputDir, "keep", "", "directory for scripts of scenarios that violated a rule, with the violations")
	c.Flags().IntVar(&h.workers, "workers", runtime.NumCPU(), "number of scenarios run at a time")
	c.Flags().BoolVar(&h.unguided, "unled", false, "generate each scenario independently of the earlier ones")
	c.Flags().BoolVar(&h.searchesInteractions, "worth", false, "search for scenarios whose faults together cost more served requests than each of them alone in total")
	c.Flags().StringVar(&h.mutation, "defect", "", "run with a mutation, a defence removed on purpose: "+strings.Join(virtual.Mutations(), ", "))
	c.Flags().BoolVar(&h.stopAtFirst, "first", false, "stop at the first violation, and shrink nothing")
	c.Flags().IntVar(&h.shrinkBudget, "shrink", 80, "maximum number of runs to shrink one scenario")
	c.Flags().DurationVar(&h.maxScenarioTime, "longest", time.Minute, "real time after which a scenario is aborted and counts as a violation")
	c.Flags().StringVar(&nodes, "nodes", "2-12", "range of fleet sizes")
	c.Flags().StringVar(&faults, "faults", "3-14", "range of the number of faults in a scenario")
	c.Flags().StringSliceVar(&h.limits.Kinds, "kind", nil, "kinds of fault to generate; all by default")
	return c
}

// setRanges sets the ranges of the number of nodes and of faults.
func (h *faultSearch) setRanges(nodes, faults string) (err error) {
	if h.limits.Nodes, err = parseRange(nodes); err != nil {
		return err
	}
	h.limits.Faults, err = parseRange(faults)
	return err
}

// parseRange parses a range of positive numbers, such as 2-12.
func parseRange(text string) (bounds [2]int, err error) {
	if _, err := fmt.Sscanf(text, "%d-%d", &bounds[0], &bounds[1]); err != nil || bounds[0] < 1 || bounds[1] < bounds[0] {
		return bounds, fmt.Errorf("invalid range %q: must be two numbers such as 2-12", text)
	}
	return bounds, nil
}

func (h *faultSearch) logf(format string, args ...any) {
	fmt.Fprintf(h.cmd.ErrOrStderr(), format+"\n", args...)
}

func (h *faultSearch) newJob(scenario hunt.Scenario) virtual.Job {
	return virtual.Job{Source: scenario.Script.Format(), Seed: scenario.Seed, NoTimestamps: scenario.NoTimestamps, Mutation: h.mutation}
}

// evaluate returns the outcome of a scenario, and a message for each violated rule and each error. Errors,
// and a scenario that did not run to its end, count as violations of rule 0.
func evaluate(result virtual.Result) (outcome hunt.Outcome, messages []string) {
	if result.Error != "" {
		return hunt.Outcome{ViolatedRules: []int{0}}, []string{result.Error}
	}
	outcome = hunt.Outcome{Features: result.Features, Margins: result.Report.Margins, ServedWithinObjective: result.Report.ServedWithinObjective}
	for _, rule := range result.Report.Rules {
		if len(rule.Violations) > 0 {
			outcome.ViolatedRules = append(outcome.ViolatedRules, rule.Rule)
			messages = append(messages, fmt.Sprintf("rule %d, %d times: %s", rule.Rule, len(rule.Violations), rule.Violations[0]))
		}
	}
	if len(result.Report.Errors) > 0 {
		outcome.ViolatedRules = append(outcome.ViolatedRules, 0)
		messages = append(messages, result.Report.Errors...)
	}
	return outcome, messages
}

// runScenarios runs scenarios in parallel, and returns their results in the same order.
func (h *faultSearch) runScenarios(ctx context.Context, scenarios []hunt.Scenario) ([]virtual.Result, error) {
	results, errs := make([]virtual.Result, len(scenarios)), make([]error, len(scenarios))
	slots := make(chan struct{}, h.workers)
	var wait sync.WaitGroup
	for i, scenario := range scenarios {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i], errs[i] = h.pool.Run(ctx, h.newJob(scenario))
		})
	}
	wait.Wait()
	return results, errors.Join(errs...)
}

// run runs the search. It returns an error if a scenario violated a rule.
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
	h.pool.Timeout = h.maxScenarioTime
	defer h.pool.Close()
	if h.outputDir != "" {
		if err := os.MkdirAll(h.outputDir, 0o755); err != nil {
			return err
		}
	}
	if h.searchesInteractions {
		return h.searchInteractions(ctx)
	}
	generator := hunt.New(h.base, h.limits, h.seed, !h.unguided)
	startedAt, runs, violating := time.Now(), 0, 0
	// The generator learns outcomes one round at a time and in the order of generation, so that
	// equal seeds generate equal scenarios with any number of workers.
	const round = 16
	for runs < h.budget {
		var scenarios []hunt.Scenario
		for len(scenarios) < min(round, h.budget-runs) {
			scenarios = append(scenarios, generator.Next())
		}
		results, err := h.runScenarios(ctx, scenarios)
		if err != nil {
			return err
		}
		for i, result := range results {
			runs++
			outcome, messages := evaluate(result)
			generator.Learn(scenarios[i], outcome)
			if len(outcome.ViolatedRules) == 0 {
				continue
			}
			violating++
			h.logf("scenario %d: %s\n  %s", runs, scenarios[i].Summary(), strings.Join(messages, "\n  "))
			if h.stopAtFirst {
				h.logf("violation found after %d scenarios", runs)
				return errors.New("a rule was violated")
			}
			if result.Stacks != "" && h.outputDir != "" {
				// A scenario that hangs is not shrunk: each run would take the whole time limit.
				name := filepath.Join(h.outputDir, fmt.Sprintf("stacks-%d-%d", h.seed, runs))
				if err := errors.Join(os.WriteFile(name+".txt", []byte(result.Stacks), 0o644),
					os.WriteFile(name+".hcl", scenarios[i].Script.Format(), 0o644)); err != nil {
					return err
				}
				continue
			}
			if err := h.shrinkAndSave(ctx, scenarios[i], outcome, messages); err != nil {
				return err
			}
		}
		features, margins := generator.Coverage()
		elapsed := time.Since(startedAt)
		h.logf("%d of %d scenarios, %.0f per minute; %d violated a rule; %d features reached; nearest to the limits of the rules %.2f", runs, h.budget,
			float64(runs)/elapsed.Minutes(), violating, features, margins)
	}
	fmt.Fprintf(h.cmd.OutOrStdout(), "%d scenarios run, %d violated a rule\n", runs, violating)
	if violating > 0 {
		return errors.New("a rule was violated")
	}
	return nil
}

// shrinkAndSave shrinks a scenario that violated a rule, and saves it. Only the first few scenarios for each
// rule are shrunk and saved, since later ones are likely to have the same cause.
func (h *faultSearch) shrinkAndSave(ctx context.Context, scenario hunt.Scenario, outcome hunt.Outcome, messages []string) error {
	rule := outcome.ViolatedRules[0]
	const maxShrunkPerRule = 3
	key := fmt.Sprint("rule-", rule)
	if h.violationCounts[key]++; h.violationCounts[key] > maxShrunkPerRule {
		return nil
	}
	shrinker := hunt.NewShrinker(scenario, h.shrinkBudget)
	for {
		candidate, ok := shrinker.Next()
		if !ok {
			break
		}
		result, err := h.pool.Run(ctx, h.newJob(candidate))
		if err != nil {
			return err
		}
		candidateOutcome, candidateMessages := evaluate(result)
		violates := slices.Contains(candidateOutcome.ViolatedRules, rule)
		if violates {
			messages = candidateMessages
		}
		shrinker.Report(violates)
	}
	smallest := shrinker.Best()
	h.logf("  shrunk: %s\n  %s", smallest.Summary(), strings.Join(messages, "\n  "))
	if h.outputDir == "" {
		return nil
	}
	text := fmt.Sprintf("# Found by lab hunt --seed %d, in virtual time with the seed %d", h.seed, smallest.Seed)
	if smallest.NoTimestamps {
		text += " and without timestamps"
	}
	for _, message := range messages {
		text += "\n# " + strings.ReplaceAll(message, "\n", "\n# ")
	}
	name := filepath.Join(h.outputDir, fmt.Sprintf("%s-%d-%d.hcl", key, h.seed, h.violationCounts[key]))
	return os.WriteFile(name, append([]byte(text+"\n\n"), smallest.Script.Format()...), 0o644)
}

// searchInteractions searches for scenarios whose faults together cost more served requests than
// each of them alone in total.
func (h *faultSearch) searchInteractions(ctx context.Context) error {
	h.limits.Faults = [2]int{2, 4}
	generator := hunt.New(h.base, h.limits, h.seed, false)
	type rankedScenario struct {
		interactionCost float64
		description     string
	}
	var worst []rankedScenario
	for runs := 0; runs < h.budget; {
		scenario := generator.Next()
		scenarios := []hunt.Scenario{scenario, scenario.WithFaults()}
		for i := range scenario.Script.Faults {
			scenarios = append(scenarios, scenario.WithFaults(i))
		}
		results, err := h.runScenarios(ctx, scenarios)
		if err != nil {
			return err
		}
		runs += len(scenarios)
		var served []float64
		for _, result := range results {
			outcome, messages := evaluate(result)
			if len(outcome.ViolatedRules) > 0 {
				h.logf("%s\n  %s", scenario.Summary(), strings.Join(messages, "\n  "))
			}
			served = append(served, outcome.ServedWithinObjective)
		}
		interactionCost := hunt.InteractionCost(served[1], served[2:], served[0])
		worst = append(worst, rankedScenario{interactionCost, fmt.Sprintf("%.0f of %.0f; alone %.0f; %s", served[0], served[1], served[2:], scenario.Summary())})
		slices.SortFunc(worst, func(a, b rankedScenario) int { return int(1e6 * (b.interactionCost - a.interactionCost)) })
		worst = worst[:min(10, len(worst))]
		h.logf("%d of %d runs; the highest interaction cost is %.3f", runs, h.budget, worst[0].interactionCost)
	}
	for _, entry := range worst {
		fmt.Fprintf(h.cmd.OutOrStdout(), "%.3f  %s\n", entry.interactionCost, entry.description)
	}
	return nil
}
