package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/files"
	"yardcleat.example/yardcleat/membership"
)

// rosterFileMode is the mode of a roster, which nodes under other users read.
const rosterFileMode = 0o644

func rosterCommand() *cobra.Command {
	c := &cobra.Command{Use: "roster", Short: "Create and check the roster of a fleet"}
	var path string
	var add, replace, remove, gone []string
	next := &cobra.Command{Use: "next", Short: "Create the next epoch: nodes join, leave, or take over a number", Args: cobra.NoArgs,
		Long: "Replace the roster in a file by that of the next epoch, or create the first roster if there is no file.\n" +
			"Then copy the file to every node: each reads it within a second, without a restart.\n" +
			"--gone states that a node has stopped for good: only then is its number free, and no change waits for it.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			roster, err := nextRoster(path, add, replace, remove, gone)
			if err != nil {
				return err
			}
			if err := files.Replace(path, config.FormatRoster(&roster), rosterFileMode); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: epoch %d, %d nodes, %d leaving\n", filepath.Base(path), roster.Epoch, len(roster.Nodes), len(roster.Leaving))
			return nil
		}}
	next.Flags().StringArrayVar(&add, "add", nil, "a node that joins, as NAME=ADDRESS of its listener for peers; may be repeated")
	next.Flags().StringArrayVar(&replace, "replace", nil, "a node that takes over the number of one that has stopped for good, as OLD=NAME=ADDRESS")
	next.Flags().StringArrayVar(&remove, "remove", nil, "a node that leaves; those after it in the roster must leave too, or one of them must take its number")
	next.Flags().StringArrayVar(&gone, "gone", nil, "a node that has stopped for good")
	check := &cobra.Command{Use: "check", Short: "Check a roster", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			roster, err := config.LoadRoster(path)
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: valid; epoch %d, %d nodes, %d leaving\n", path, roster.Epoch, len(roster.Nodes), len(roster.Leaving))
			}
			return err
		}}
	for _, subcommand := range []*cobra.Command{next, check} {
		subcommand.Flags().StringVarP(&path, "file", "f", "", "roster file (HCL)")
		subcommand.MarkFlagRequired("file")
		c.AddCommand(subcommand)
	}
	return c
}

// nextRoster returns the roster of the epoch after the one in the file at path, with the changes
// that the flags of the same names describe.
func nextRoster(path string, add, replace, remove, gone []string) (next membership.Roster, err error) {
	current := &membership.Roster{}
	if _, statErr := os.Stat(path); statErr == nil {
		if current, err = config.LoadRoster(path); err != nil {
			return next, err
		}
	}
	nodes := slices.Clone(current.Nodes)
	indexOf := func(name string) (int, error) {
		i := slices.IndexFunc(nodes, func(n membership.Node) bool { return n.Name == name })
		if i < 0 {
			return 0, fmt.Errorf("there is no node %q in the roster", name)
		}
		return i, nil
	}
	for _, text := range replace {
		parts := strings.SplitN(text, "=", 3)
		if len(parts) != 3 {
			return next, fmt.Errorf("--replace %q: must be OLD=NAME=ADDRESS", text)
		}
		i, err := indexOf(parts[0])
		if err != nil {
			return next, err
		}
		nodes[i] = membership.Node{Name: parts[1], Address: parts[2]}
		gone = append(gone, parts[0])
	}
	for _, name := range remove {
		i, err := indexOf(name)
		if err != nil {
			return next, err
		}
		nodes = slices.Delete(nodes, i, i+1)
	}
	for _, text := range add {
		name, address, ok := strings.Cut(text, "=")
		if !ok {
			return next, fmt.Errorf("--add %q: must be NAME=ADDRESS", text)
		}
		nodes = append(nodes, membership.Node{Name: name, Address: address})
	}
	return current.Next(nodes, gone)
}
