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

// stallsCommand compares ways of living through stalls.
func stallsCommand() *cobra.Command {
	var seeds int
	var lengths []time.Duration
	c := &cobra.Command{Use: "stalls", Short: "Compare ways of living through stops of a node", Args: cobra.NoArgs,
		Long: "Play days with one stop, by each front alone, with each way of telling how old is what was read after it.\n" +
			"Late are attempts sent after their clients had left; needless are tries refused for want of time that had\n" +
			"200 ms and more left, of those that the stop met or that came within 5 s after it. Simulated.",
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
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 1, ' ', 0)
			fmt.Fprintln(t, "| stop\t| front\t| way\t| tries\t| late\t| needless\t| served\t|")
			fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
			for _, length := range lengths {
				for _, f := range fronts {
					sums := make([]day.Stops, len(virtual.Ways))
					var mu sync.Mutex
					var wait sync.WaitGroup
					var failed error
					for i, way := range virtual.Ways {
						for seed := range seeds {
							wait.Go(func() {
								s, err := day.Load("base")
								if err != nil {
									panic(err) // it comes with the program
								}
								s.Nodes, s.Length, s.Seed = 2, (length + 12*time.Second).String(), seed+1
								s.Clients.Proxied, s.Clients.HTTP2, s.Clients.Retries = f.proxied, f.http2, 0
								s.Faults = []day.Fault{{Kind: "node-stop", At: "4s", For: length.String()}}
								r, err := pool.Play(cmd.Context(), virtual.Job{Source: s.Source(), Seed: uint64(seed + 1), Way: way})
								mu.Lock()
								defer mu.Unlock()
								if err == nil && r.Error != "" {
									err = fmt.Errorf("%s, %v, %s: %s", f.name, length, way, r.Error)
								}
								if err != nil {
									failed = err
									return
								}
								if st := r.Report.Stops; st != nil {
									sums[i].Tries, sums[i].Late = sums[i].Tries+st.Tries, sums[i].Late+st.Late
									sums[i].Needless, sums[i].Served = sums[i].Needless+st.Needless, sums[i].Served+st.Served
								}
							})
						}
					}
					wait.Wait()
					if failed != nil {
						return failed
					}
					for i, way := range virtual.Ways {
						s := sums[i]
						fmt.Fprintf(t, "| %v\t| %s\t| %s\t| %d\t| %d\t| %d (%s%%)\t| %d\t|\n", length, f.name, way, s.Tries, s.Late, s.Needless,
							strconv.FormatFloat(100*float64(s.Needless)/float64(max(1, s.Tries)), 'f', 1, 64), s.Served)
					}
				}
			}
			return t.Flush()
		}}
	c.Flags().IntVar(&seeds, "seeds", 2, "days for each line")
	c.Flags().DurationSliceVar(&lengths, "stop", []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second},
		"lengths of the stop")
	return c
}
