package main

import (
	"fmt"
	"slices"
	"sync"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/lab"
)

func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Run experiments in simulated time"}
	c.AddCommand(huntCommand(), stallsCommand(), workerCommand(), quotaCommand())
	return c
}

func quotaCommand() *cobra.Command {
	var nodes []int
	var faults []string
	var seed uint64
	c := &cobra.Command{Use: "quota", Short: "Compare ways of keeping quotas under faults of the counter", Args: cobra.NoArgs,
		Long: "Run fleets with one way of keeping quotas and one fault each, and print a table: units let pass beyond the\n" +
			"hard ceiling and beyond the quota, as shares of what the ceiling lets pass from the fault on, by how\n" +
			"much less passed than one counter without faults would let pass, and how far the counter is from the truth at the end. Simulated.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, f := range faults {
				if !slices.Contains(lab.Faults, lab.Fault(f)) {
					return fmt.Errorf("fault %q is unknown; there are %q", f, lab.Faults)
				}
			}
			var all []lab.Experiment
			for _, n := range nodes {
				for _, f := range lab.Faults {
					for _, w := range lab.Ways {
						if len(faults) == 0 || slices.Contains(faults, string(f)) {
							all = append(all, lab.Experiment{Nodes: n, Fault: f, Way: w, Seed: seed})
						}
					}
				}
			}
			results, errs := make([]lab.Result, len(all)), make([]error, len(all))
			var wait sync.WaitGroup
			slots := make(chan struct{}, 4)
			for i, e := range all {
				wait.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					results[i], errs[i] = lab.Quota(e)
				})
			}
			wait.Wait()
			for _, err := range errs {
				if err != nil {
					return err
				}
			}
			fmt.Fprint(cmd.OutOrStdout(), lab.Table(results))
			return nil
		}}
	c.Flags().IntSliceVar(&nodes, "nodes", []int{3, 30, 200}, "sizes of fleets")
	c.Flags().StringArrayVar(&faults, "fault", nil, "faults to play; all where none is given")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of all chance")
	return c
}
