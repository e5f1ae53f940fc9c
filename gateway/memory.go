package gateway

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/blake3"

	"yardcleat.example/yardcleat/internal/files"
	"yardcleat.example/yardcleat/policy"
)

// What the module knows of customers' stores outlives the process in a file, written
// anew every other second and replaced in one step. A torn, foreign or other node's
// file is left aside with a message.
const (
	memoryFile    = "stores"
	memoryEvery   = 2 * time.Second
	memoryVersion = 1
	memoryKeep    = time.Hour // older ones say nothing any more: stores are full again
)

type memory struct {
	Version int             `json:"version"`
	Node    int             `json:"node"`
	Wrote   time.Time       `json:"wrote"`
	Sum     string          `json:"sum"` // BLAKE3 of Stores, in hex
	Stores  json.RawMessage `json:"stores"`
}

func sumOf(b []byte) string {
	sum := blake3.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func writeMemory(dir string, node int, now time.Time, list []policy.CustomerSnapshot) error {
	stores, err := json.Marshal(list)
	if err != nil {
		return err
	}
	b, err := json.Marshal(memory{memoryVersion, node, now.Round(0), sumOf(stores), stores})
	if err != nil {
		return err
	}
	return files.Replace(filepath.Join(dir, memoryFile), b)
}

// readMemory reads what an earlier process wrote; nothing where there is none or it
// is too old.
func readMemory(dir string, node int, now time.Time) (r policy.RestoreSnapshot, err error) {
	b, err := os.ReadFile(filepath.Join(dir, memoryFile))
	if errors.Is(err, fs.ErrNotExist) {
		return r, nil
	}
	var m memory
	if err == nil {
		err = json.Unmarshal(b, &m)
	}
	switch {
	case err != nil:
		return r, fmt.Errorf("torn or foreign: %w", err)
	case m.Version != memoryVersion:
		return r, fmt.Errorf("of version %d, not %d", m.Version, memoryVersion)
	case m.Node != node:
		return r, fmt.Errorf("of node %d, not %d", m.Node, node)
	case m.Sum != sumOf(m.Stores):
		return r, errors.New("damaged: its sum differs")
	}
	// A clock set back makes it no younger than just written.
	if r.Age = max(0, now.Sub(m.Wrote)); r.Age > memoryKeep {
		return policy.RestoreSnapshot{}, nil
	}
	return r, json.Unmarshal(m.Stores, &r.Customers)
}

// remember writes the memory until the context ends, and once more then.
func (g *Gateway) remember(ctx context.Context) {
	tick := time.NewTicker(memoryEvery)
	defer tick.Stop()
	write := func(ctx context.Context) {
		list, ok := g.node.SaveSnapshot(ctx)
		if !ok {
			return
		}
		if err := writeMemory(g.cfg.StateDir, g.cfg.Number, g.o.Wall(), list); err != nil {
			g.o.Log.Error("stores can't be remembered; the node serves on", "error", err)
		}
	}
	for {
		select {
		case <-tick.C:
			write(ctx)
		case <-ctx.Done():
			if !g.killed.Load() {
				write(context.Background()) // the node's loop ends after this
			}
			return
		}
	}
}
