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

// heapFraction is the fraction of the process's memory that is set as the Go runtime's memory
// limit. The rest is for stacks, the program and the kernel's buffers.
const heapFraction = 0.6

// maxPendingSignals is the number of signals that are queued while one is handled. More are dropped.
const maxPendingSignals = 8

// Run runs an edge node with the configuration file that NODE_CONFIG names. SIGTERM, SIGINT or the
// end of ctx starts the shutdown, and Run returns when that is complete. SIGHUP reloads the file.
// Warnings and errors are logged to stderr, and the address at which the node listens. The error is that of the start, or that of Drain.
func Run(ctx context.Context, stderr io.Writer) error {
	logger := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	path := os.Getenv(configVariable)
	if path == "" {
		return errors.New(configVariable + ": not set; it must name the configuration file")
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
	logStart(stderr, edge)
	p := &process{edge: edge, configPath: path, logger: logger}
	return p.handleSignals(ctx, signals)
}

// logStart logs that the node has started. It is the only line below WARN.
func logStart(stderr io.Writer, edge *Edge) {
	slog.New(slog.NewTextHandler(stderr, nil)).Info("listening", "address", edge.listener.Addr().String(), "pid", os.Getpid())
}

// limitRuntime sets the limits of the Go runtime to the resources that the process may use.
func limitRuntime(l Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(heapFraction * l.MemoryMB * bytesPerMB))
}

// process is an edge node controlled by signals. Only the goroutine of handleSignals uses it.
type process struct {
	edge       *Edge
	configPath string
	logger     *slog.Logger
	drained    chan error // receives the result of the shutdown; nil until it starts
}

// handleSignals handles signals until the shutdown is complete, and returns the result of that.
func (p *process) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	ended := ctx.Done()
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload()
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

// beginDrain starts the shutdown. If it has started already, beginDrain does nothing.
func (p *process) beginDrain(ctx context.Context) {
	if p.drained != nil {
		return
	}
	p.drained = make(chan error, 1)
	go func() { p.drained <- p.edge.Drain(context.WithoutCancel(ctx)) }()
}

// reload reads the configuration again, and keeps the current one if that fails. It also works
// during the shutdown, because the last attempts still use the endpoint list.
func (p *process) reload() {
	cfg, err := Read(p.configPath)
	if err != nil {
		p.logger.Error("configuration reload failed; keeping the current one", "error", err)
		return
	}
	p.edge.Reload(cfg)
}
