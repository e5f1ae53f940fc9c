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
	c := &cobra.Command{Use: "day [SCRIPT]", Short: "Run a scripted fault scenario on real nodes and check the five rules",
		Long: "Run a scenario on loopback: each node as a process of its own, fakes of the systems around them, and clients.\n" +
			"At the end a table shows the outcomes of the clients' requests and the violations of each rule. SCRIPT is a\n" +
			"file or the name of a built-in script; the default is a scenario of half a minute. The exit code is 1 if a rule was violated.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if list {
				fmt.Fprintln(cmd.OutOrStdout(), strings.Join(day.ScriptNames(), "\n"))
				return nil
			}
			name := day.DefaultScript
			if len(args) == 1 {
				name = args[0]
			}
			source, err := day.Source(name)
			if err != nil {
				source, err = os.ReadFile(name)
			}
			if err != nil {
				return fmt.Errorf("no file or built-in script %q; the built-in scripts are %s", name, strings.Join(day.ScriptNames(), ", "))
			}
			if show {
				_, err := cmd.OutOrStdout().Write(source)
				return err
			}
			script, err := day.Parse(source, strings.TrimSuffix(name, ".hcl")+".hcl")
			if err != nil {
				return err
			}
			return runScenario(cmd, script, keep, asJSON)
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as one JSON document")
	c.Flags().BoolVar(&list, "list", false, "list the built-in scripts")
	c.Flags().BoolVar(&show, "show", false, "print the script without running it")
	c.Flags().StringVar(&keep, "keep", "", "keep the nodes' configurations and logs in this directory")
	return c
}

// runScenario runs a script and prints its report. It returns an error if a rule was violated.
func runScenario(cmd *cobra.Command, script *day.Script, keep string, asJSON bool) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "yardcleat-day-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	start := time.Now()
	environment := &day.ProcessEnvironment{Program: program, TempDir: dir}
	defer environment.Close()
	report, err := day.Run(ctx, script, day.Options{Environment: environment,
		Progress: func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }})
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(cmd.OutOrStdout())
		report.Write(cmd.OutOrStdout())
	}
	if !report.Passed() {
		return errors.New("a rule was violated, or the scenario did not run as scripted")
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "no rule violated; %.0f s\n", time.Since(start).Seconds())
	return nil
}
