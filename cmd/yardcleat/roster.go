package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/membership"
)

func rosterCommand() *cobra.Command {
	c := &cobra.Command{Use: "roster", Short: "Make and check the roster of a fleet"}
	var path string
	var add, replace, remove, gone []string
	next := &cobra.Command{Use: "next", Short: "Make the next epoch: nodes join, leave, or take over a number", Args: cobra.NoArgs,
		Long: "Write the roster that follows the one in a file, which it replaces; the first where there is no file.\n" +
			"Copy it to every node then: each takes it within a second, without a restart.\n" +
			"--gone vouches that a node surely runs no more: only then is its number free, and it holds up no change.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := nextRoster(path, add, replace, remove, gone)
			if err != nil {
				return err
			}
			tmp := path + ".new"
			if err := os.WriteFile(tmp, config.FormatRoster(&r), 0o644); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: epoch %d, %d nodes, %d leaving\n", filepath.Base(path), r.Epoch, len(r.Nodes), len(r.Leaving))
			return os.Rename(tmp, path)
		}}
	next.Flags().StringArrayVar(&add, "add", nil, "a node that joins, NAME=ADDRESS of its peers' port; may be given again")
	next.Flags().StringArrayVar(&replace, "replace", nil, "a node that takes over the number of one that is gone, OLD=NAME=ADDRESS")
	next.Flags().StringArrayVar(&remove, "remove", nil, "a node that leaves; those after it must leave, too, or one must take its number")
	next.Flags().StringArrayVar(&gone, "gone", nil, "a node that surely runs no more")
	check := &cobra.Command{Use: "check", Short: "Check a roster", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := config.LoadRoster(path)
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good; epoch %d, %d nodes, %d leaving\n", path, r.Epoch, len(r.Nodes), len(r.Leaving))
			}
			return err
		}}
	for _, sub := range []*cobra.Command{next, check} {
		sub.Flags().StringVarP(&path, "file", "f", "", "the roster, an HCL file")
		sub.MarkFlagRequired("file")
		c.AddCommand(sub)
	}
	return c
}

func nextRoster(path string, add, replace, remove, gone []string) (r membership.Roster, err error) {
	old := &membership.Roster{}
	if _, serr := os.Stat(path); serr == nil {
		if old, err = config.LoadRoster(path); err != nil {
			return r, err
		}
	}
	list := slices.Clone(old.Nodes)
	at := func(name string) (int, error) {
		i := slices.IndexFunc(list, func(n membership.Node) bool { return n.Name == name })
		if i < 0 {
			return 0, fmt.Errorf("there is no node %q in the roster", name)
		}
		return i, nil
	}
	for _, text := range replace {
		parts := strings.SplitN(text, "=", 3)
		if len(parts) != 3 {
			return r, fmt.Errorf("--replace %q: OLD=NAME=ADDRESS is needed", text)
		}
		i, err := at(parts[0])
		if err != nil {
			return r, err
		}
		list[i] = membership.Node{Name: parts[1], Address: parts[2]}
		gone = append(gone, parts[0])
	}
	for _, name := range remove {
		i, err := at(name)
		if err != nil {
			return r, err
		}
		list = slices.Delete(list, i, i+1)
	}
	for _, text := range add {
		name, address, ok := strings.Cut(text, "=")
		if !ok {
			return r, fmt.Errorf("--add %q: NAME=ADDRESS is needed", text)
		}
		list = append(list, membership.Node{Name: name, Address: address})
	}
	return old.Next(list, gone)
}
