// Command yardcleat is an API gateway that keeps quotas and priorities across a
// fleet of instances.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/edgenode"
	"yardcleat.example/yardcleat/gateway"
	"yardcleat.example/yardcleat/internal/network"
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
			cfg, err := load(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good; node %d of %d, %d classes, %d plans, %d customers\n", path, cfg.Number,
				len(cfg.Peers.Addresses)+1, len(cfg.Classes), len(cfg.Plans), len(cfg.Customers))
			return nil
		}}
	configFlag(c, &path)
	return c
}

func configFlag(c *cobra.Command, path *string) {
	c.Flags().StringVarP(path, "config", "c", "", "the configuration, an HCL file")
	c.MarkFlagRequired("config")
}

// load reads a configuration; mistakes in it are told one by one.
func load(path string) (*config.Config, error) {
	cfg, err := config.Load(path)
	var m *config.Mistakes
	if errors.As(err, &m) {
		n := "a mistake"
		if len(m.Diagnostics) != 1 {
			n = fmt.Sprint(len(m.Diagnostics), " mistakes")
		}
		return nil, fmt.Errorf("%s in %s\n\n%w", n, path, err)
	}
	return cfg, err
}

func serveCommand() *cobra.Command {
	var path string
	var drain time.Duration
	c := &cobra.Command{Use: "serve", Short: "Run a node", Args: cobra.NoArgs,
		Long: "Run a node until SIGTERM or SIGINT: it then takes no new connections, ends what it holds and exits.\n" +
			"A second signal ends it at once.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load(path)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), cfg, drain)
		}}
	configFlag(c, &path)
	c.Flags().DurationVar(&drain, "drain", 30*time.Second, "most time for what is held to end")
	return c
}

func edgeCommand() *cobra.Command {
	return &cobra.Command{Use: "edge", Short: "Run a node as an edge node of the users' platform", Args: cobra.NoArgs,
		Long: "Run a node by the platform's configuration, in the file that NODE_CONFIG names, until SIGTERM;\n" +
			"SIGHUP has it read again. The command edge is this alone, for small machines.",
		RunE: func(cmd *cobra.Command, _ []string) error { return edgenode.Run(cmd.Context(), cmd.ErrOrStderr()) }}
}

func serve(ctx context.Context, cfg *config.Config, drain time.Duration) error {
	if cfg.StateDir != "" {
		if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
			return err
		}
	}
	log := logger(os.Stderr, cfg).With("node", cfg.Number)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	g, err := gateway.Start(cfg, gateway.Options{Network: network.OS{}, Log: log})
	if err != nil {
		return err
	}
	log.Info("serving", "pid", os.Getpid())
	select {
	case s := <-signals:
		log.Info("draining", "signal", s.String())
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
	defer cancel()
	go func() {
		s := <-signals
		log.Warn("ending at once", "signal", s.String())
		cancel()
	}()
	err = g.Drain(ctx)
	log.Info("ended")
	return err
}

func logger(w io.Writer, cfg *config.Config) *slog.Logger {
	o := &slog.HandlerOptions{Level: cfg.LogLevel}
	if cfg.LogJSON {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}
