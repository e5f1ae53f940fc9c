package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/day"
)

func dayCommand() *cobra.Command {
	var asJSON, show, list bool
	var keep string
	c := &cobra.Command{Use: "day [SCRIPT]", Short: "Play a scripted day of trouble on real nodes and check the rules",
		Long: "Play a day: nodes as processes of their own, stand-ins for all that is around them, and clients, on\n" +
			"loopback. At the end a table tells what came of the tries and what was found of each rule. Without\n" +
			"SCRIPT, a file or the name of one that comes with the program, a day of half a minute is played. The exit code is 1 where a rule was broken.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if list {
				fmt.Fprintln(cmd.OutOrStdout(), strings.Join(day.Names(), "\n"))
				return nil
			}
			name := day.Default
			if len(args) == 1 {
				name = args[0]
			}
			src, err := day.Source(name)
			if err != nil {
				src, err = os.ReadFile(name)
			}
			if err != nil {
				return fmt.Errorf("there is no script %q; the program has %s", name, strings.Join(day.Names(), ", "))
			}
			if show {
				_, err := cmd.OutOrStdout().Write(src)
				return err
			}
			s, err := day.Parse(src, strings.TrimSuffix(name, ".hcl")+".hcl")
			if err != nil {
				return err
			}
			return runScenario(cmd, s, keep, asJSON)
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as one JSON document")
	c.Flags().BoolVar(&list, "list", false, "list the scripts that come with the program")
	c.Flags().BoolVar(&show, "show", false, "print the script and play nothing")
	c.Flags().StringVar(&keep, "keep", "", "keep the nodes' configurations and logs in this directory")
	return c
}

func runScenario(cmd *cobra.Command, s *day.Script, keep string, asJSON bool) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	temp := keep
	if temp == "" {
		if temp, err = os.MkdirTemp("", "yardcleat-day-"); err != nil {
			return err
		}
		defer os.RemoveAll(temp)
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	start := time.Now()
	r, err := day.Run(ctx, s, day.Options{Env: &day.Processes{Program: program, Temp: temp},
		Progress: func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }})
	if err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(cmd.OutOrStdout())
		r.Write(cmd.OutOrStdout())
	}
	if !r.Kept() {
		return errors.New("the day broke a rule, or did not go as scripted")
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "all rules kept; %.0f s\n", time.Since(start).Seconds())
	return nil
}
