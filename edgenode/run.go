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

const heapFraction = 0.6 // of the memory limit; the rest is for stacks, the program and the kernel's buffers

// Run runs an edge node by the file that NODE_CONFIG names, until SIGTERM or
// SIGINT. SIGHUP has the file read again; one that can't be read changes nothing.
func Run(ctx context.Context, stderr io.Writer) error {
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return errors.New("NODE_CONFIG: not set; it names the configuration")
	}
	cfg, err := Read(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapFraction * cfg.Limits.MemoryMB * (1 << 20)))
	e, err := Start(cfg, network.OS{}, log)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	done := ctx.Done()
	var drained chan error
	drain := func() {
		if drained == nil { // a second SIGTERM hurries nothing
			drained = make(chan error, 1)
			go func() { drained <- e.Drain(context.WithoutCancel(ctx)) }()
		}
	}
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				drain()
				continue
			}
			// Also while it drains: what it still sends goes by the list.
			again, err := Read(path)
			if err != nil {
				log.Error("the configuration stays as it was", "error", err)
				continue
			}
			e.Reload(again)
		case <-done:
			done = nil
			drain()
		case err := <-drained:
			return err
		}
	}
}
