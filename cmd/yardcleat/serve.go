package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/gateway"
	"yardcleat.example/yardcleat/internal/network"
)

const (
	// defaultDrainTimeout is how long requests in flight may take to complete.
	defaultDrainTimeout = 30 * time.Second

	// maxPendingSignals is the number of signals queued while one is handled; further ones are dropped.
	maxPendingSignals = 8
)

func serveCommand() *cobra.Command {
	var path string
	var drain time.Duration
	c := &cobra.Command{Use: "serve", Short: "Run a node", Args: cobra.NoArgs,
		Long: "Run a node until SIGTERM or SIGINT: it then accepts no new connections, finishes the requests that it\n" +
			"holds and exits. Further SIGTERMs are ignored; a second SIGINT ends it at once. SIGHUP is ignored.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := loadConfig(path)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), cfg, drain)
		}}
	addConfigFlag(c, &path)
	c.Flags().DurationVar(&drain, "drain", defaultDrainTimeout, "maximum time to finish requests before the node exits")
	return c
}

// serve runs a node until a signal or the end of ctx begins its drain, and returns when that is
// complete.
func serve(ctx context.Context, cfg *config.Config, drain time.Duration) error {
	if cfg.StateDir != "" {
		if err := os.MkdirAll(cfg.StateDir, 0o700); err != nil {
			return err
		}
	}
	log := newLogger(os.Stderr, cfg).With("node", cfg.Number)
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	g, err := gateway.Start(cfg, gateway.Options{Network: network.OS{}, Log: log})
	if err != nil {
		return err
	}
	log.Info("serving", "pid", os.Getpid())
	p := &process{gateway: g, log: log, drainTimeout: drain}
	err = p.handleSignals(ctx, signals)
	log.Info("ended")
	return err
}

// process is a node controlled by signals. Only the goroutine of handleSignals uses it.
type process struct {
	gateway      *gateway.Gateway
	log          *slog.Logger
	drainTimeout time.Duration
	interrupted  bool               // a SIGINT was received
	endDrain     context.CancelFunc // ends the drain early; nil until it begins
	drained      chan error         // receives the result of the drain; nil until it begins
}

// handleSignals handles signals until the drain is complete, and returns its result.
func (p *process) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	ended := ctx.Done()
	for {
		select {
		case s := <-signals:
			p.handleSignal(ctx, s)
		case <-ended:
			ended = nil
			p.beginDrain(ctx)
		case err := <-p.drained:
			p.endDrain()
			return err
		}
	}
}

// handleSignal begins the drain. Once it has begun only a second interrupt, which a person at a terminal
// sends, ends it early: supervisors may repeat SIGTERM.
func (p *process) handleSignal(ctx context.Context, s os.Signal) {
	switch {
	case s == syscall.SIGHUP:
		p.log.Info("signal ignored", "signal", s.String())
	case p.drained == nil:
		p.log.Info("draining", "signal", s.String())
		p.beginDrain(ctx)
	case s == syscall.SIGINT && p.interrupted:
		p.log.Warn("ending at once", "signal", s.String())
		p.endDrain()
	default:
		p.log.Info("signal ignored", "signal", s.String())
	}
	p.interrupted = p.interrupted || s == syscall.SIGINT
}

func (p *process) beginDrain(ctx context.Context) {
	if p.drained != nil {
		return
	}
	ctx, p.endDrain = context.WithTimeout(context.WithoutCancel(ctx), p.drainTimeout)
	p.drained = make(chan error, 1)
	go func() { p.drained <- p.gateway.Drain(ctx) }()
}
