// Command yardcleat is an API gateway that keeps quotas and priorities across a
// fleet of instances.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/edgenode"
)

func main() {
	root := &cobra.Command{Use: "yardcleat", Short: "An API gateway that keeps quotas across a fleet",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), edgeCommand(), checkCommand(), dayCommand(), labCommand(), rosterCommand(), standinCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "yardcleat:", err)
		os.Exit(1)
	}
}

func checkCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "check", Short: "Check a configuration", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := loadConfig(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid; node %d of %d, %d classes, %d plans, %d customers\n", path, cfg.Number,
				len(cfg.Peers.Addresses)+1, len(cfg.Classes), len(cfg.Plans), len(cfg.Customers))
			return nil
		}}
	addConfigFlag(c, &path)
	return c
}

func addConfigFlag(c *cobra.Command, path *string) {
	c.Flags().StringVarP(path, "config", "c", "", "configuration file (HCL)")
	c.MarkFlagRequired("config")
}

// loadConfig reads a configuration. For an invalid one, the error describes each problem.
func loadConfig(path string) (*config.Config, error) {
	cfg, err := config.Load(path)
	var invalid *config.ValidationError
	if errors.As(err, &invalid) {
		count := "1 error"
		if len(invalid.Diagnostics) != 1 {
			count = fmt.Sprint(len(invalid.Diagnostics), " errors")
		}
		return nil, fmt.Errorf("%s in %s\n\n%w", count, path, err)
	}
	return cfg, err
}

func edgeCommand() *cobra.Command {
	return &cobra.Command{Use: "edge", Short: "Run a node as an edge node of the platform", Args: cobra.NoArgs,
		Long: "Run a node until SIGTERM, with the platform's configuration in the file that NODE_CONFIG names;\n" +
			"SIGHUP reloads it. The separate program edge contains only this command, for small machines.",
		RunE: func(cmd *cobra.Command, _ []string) error { return edgenode.Run(cmd.Context(), cmd.ErrOrStderr()) }}
}

func newLogger(w io.Writer, cfg *config.Config) *slog.Logger {
	options := &slog.HandlerOptions{Level: cfg.LogLevel}
	if cfg.LogJSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
