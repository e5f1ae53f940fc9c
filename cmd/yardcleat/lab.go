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
	c := &cobra.Command{Use: "quota", Short: "Compare methods of quota enforcement under faults of the shared counter", Args: cobra.NoArgs,
		Long: "Simulate fleets, each with one method of quota enforcement and one fault, and print a table: units admitted\n" +
			"beyond the hard ceiling and beyond the quota, as fractions of what the ceiling admits from the fault on; how much\n" +
			"less was admitted than by a single counter without faults; and the error of the shared counter at the end.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, fault := range faults {
				if !slices.Contains(lab.Faults, lab.Fault(fault)) {
					return fmt.Errorf("unknown fault %q; the faults are %q", fault, lab.Faults)
				}
			}
			var experiments []lab.Experiment
			for _, count := range nodes {
				for _, fault := range lab.Faults {
					for _, method := range lab.Methods {
						if len(faults) == 0 || slices.Contains(faults, string(fault)) {
							experiments = append(experiments, lab.Experiment{Nodes: count, Fault: fault, Method: method, Seed: seed})
						}
					}
				}
			}
			results, errs := make([]lab.Result, len(experiments)), make([]error, len(experiments))
			var wait sync.WaitGroup
			slots := make(chan struct{}, 4)
			for i, experiment := range experiments {
				wait.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					results[i], errs[i] = lab.RunQuota(experiment)
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
	c.Flags().IntSliceVar(&nodes, "nodes", []int{3, 30, 200}, "fleet sizes")
	c.Flags().StringArrayVar(&faults, "fault", nil, "faults to simulate; all by default")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	return c
}
