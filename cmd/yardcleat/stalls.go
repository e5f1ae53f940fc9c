package main

import (
	"fmt"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/day"
	"yardcleat.example/yardcleat/day/virtual"
)

// stallsCommand returns the command that compares strategies for handling a pause of a node.
func stallsCommand() *cobra.Command {
	var seeds int
	var lengths []time.Duration
	c := &cobra.Command{Use: "stalls", Short: "Compare ways of handling a pause of a node", Args: cobra.NoArgs,
		Long: "Run scenarios with one pause (stop) in virtual time, for each listener protocol (front) alone and each way of\n" +
			"reading and dating the requests that arrived during the pause. The table counts the requests (tries) in progress\n" +
			"during the pause or sent within 5 s after it: late are attempts that arrived at a server after the client timeout;\n" +
			"needless are requests rejected or failed for lack of time although more than 200 ms were left.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			pool, err := newWorkerPool()
			if err != nil {
				return err
			}
			defer pool.Close()
			fronts := []struct {
				name           string
				proxied, http2 float64
			}{{"HTTP/1.1", 0, 0}, {"HTTP/2", 0, 1}, {"ext_authz", 1, 0}}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 1, ' ', 0)
			fmt.Fprintln(table, "| stop\t| front\t| way\t| tries\t| late\t| needless\t| served\t|")
			fmt.Fprintln(table, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
			for _, length := range lengths {
				for _, front := range fronts {
					sums := make([]day.PauseSummary, len(virtual.PauseStrategies))
					var mu sync.Mutex
					var wait sync.WaitGroup
					var failed error
					for i, strategy := range virtual.PauseStrategies {
						for seed := range seeds {
							wait.Go(func() {
								s, err := day.Load("base")
								if err != nil {
									panic(err) // base is a built-in script
								}
								s.Nodes, s.Length, s.Seed = 2, (length + 12*time.Second).String(), seed+1
								s.Clients.ProxyShare, s.Clients.HTTP2Share, s.Clients.Retries = front.proxied, front.http2, 0
								s.Faults = []day.Fault{{Kind: "node-stop", At: "4s", Duration: length.String()}}
								result, err := pool.Run(cmd.Context(), virtual.Job{Source: s.Format(), Seed: uint64(seed + 1), PauseStrategy: strategy})
								mu.Lock()
								defer mu.Unlock()
								if err == nil && result.Error != "" {
									err = fmt.Errorf("%s, %v, %s: %s", front.name, length, strategy, result.Error)
								}
								if err != nil {
									failed = err
									return
								}
								if pauses := result.Report.Pauses; pauses != nil {
									sums[i].Requests, sums[i].SentTooLate = sums[i].Requests+pauses.Requests, sums[i].SentTooLate+pauses.SentTooLate
									sums[i].AvoidableRejections, sums[i].Served = sums[i].AvoidableRejections+pauses.AvoidableRejections, sums[i].Served+pauses.Served
								}
							})
						}
					}
					wait.Wait()
					if failed != nil {
						return failed
					}
					for i, strategy := range virtual.PauseStrategies {
						s := sums[i]
						fmt.Fprintf(table, "| %v\t| %s\t| %s\t| %d\t| %d\t| %d (%s%%)\t| %d\t|\n", length, front.name, strategy, s.Requests, s.SentTooLate, s.AvoidableRejections,
							strconv.FormatFloat(100*float64(s.AvoidableRejections)/float64(max(1, s.Requests)), 'f', 1, 64), s.Served)
					}
				}
			}
			return table.Flush()
		}}
	c.Flags().IntVar(&seeds, "seeds", 2, "scenarios for each line of the table")
	c.Flags().DurationSliceVar(&lengths, "stop", []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second},
		"lengths of the pause")
	return c
}
