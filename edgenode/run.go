package edgenode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"yardcleat.example/yardcleat/internal/network"
)

// configVariable is the environment variable that names the configuration file.
const configVariable = "NODE_CONFIG"

// heapFraction is the part of the memory limit that is set as the heap's limit. The rest is for
// stacks, the program and the kernel's buffers.
const heapFraction = 0.6

// maxPendingSignals is how many signals wait while one is handled; more are dropped.
const maxPendingSignals = 8

// Run runs an edge node configured by the file that NODE_CONFIG names, until SIGTERM, SIGINT or the
// end of ctx begins its shutdown, and returns when that is complete. SIGHUP reloads the
// file. Warnings go to stderr. The error means that the node could not start, or is that of
// Drain.
func Run(ctx context.Context, stderr io.Writer) error {
	logger := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	path := os.Getenv(configVariable)
	if path == "" {
		return errors.New(configVariable + ": not set; it names the configuration")
	}
	cfg, err := Read(path)
	if err != nil {
		return err
	}
	limitRuntime(cfg.Limits)
	edge, err := Start(ctx, cfg, network.OS{}, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	p := &process{edge: edge, configPath: path, logger: logger}
	return p.handleSignals(ctx, signals)
}

// limitRuntime keeps the Go runtime within what the process may use.
func limitRuntime(l Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(heapFraction * l.MemoryMB * bytesPerMB))
}

// process is an edge node that signals control. Only the goroutine of handleSignals uses it.
type process struct {
	edge       *Edge
	configPath string
	logger     *slog.Logger
	drained    chan error // nil until the shutdown begins; then gets its result
}

// handleSignals returns when the shutdown is complete, with its result.
func (p *process) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	ended := ctx.Done()
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload(ctx)
			} else {
				p.beginDrain(ctx)
			}
		case <-ended:
			ended = nil
			p.beginDrain(ctx)
		case err := <-p.drained:
			return err
		}
	}
}

// beginDrain begins the shutdown. A second signal does not shorten it.
func (p *process) beginDrain(ctx context.Context) {
	if p.drained != nil {
		return
	}
	p.drained = make(chan error, 1)
	go func() { p.drained <- p.edge.Drain(context.WithoutCancel(ctx)) }()
}

// reload reads the configuration again; one that can't be read changes nothing. It works
// during the shutdown too, when last attempts still use the endpoint list.
func (p *process) reload(ctx context.Context) {
	cfg, err := Read(p.configPath)
	if err != nil {
		p.logger.Error("configuration reload failed; keeping the current one", "error", err)
		return
	}
	p.edge.Reload(ctx, cfg)
}
