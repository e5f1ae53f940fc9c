package gateway

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"yardcleat.example/yardcleat/internal/snapshotfile"
	"yardcleat.example/yardcleat/policy"
)

// What the module knows of customers' stores outlives the process in a file, written
// anew every other second and replaced in one step. A torn, foreign or other node's
// file is left aside with a message.
const (
	customerSnapshotFile    = "stores"
	snapshotInterval        = 2 * time.Second
	customerSnapshotVersion = 1
	maxSnapshotAge          = time.Hour // older ones say nothing any more: stores are full again
)

// snapshotHeader says which node wrote the file, and when by the wall clock.
type snapshotHeader struct {
	Node  int       `json:"node"`
	Wrote time.Time `json:"wrote"`
}

var customerSnapshots = snapshotfile.Format[snapshotHeader, []policy.CustomerSnapshot]{Version: customerSnapshotVersion, Payload: "stores"}

func saveCustomerSnapshots(dir string, node int, now time.Time, list []policy.CustomerSnapshot) error {
	header := snapshotHeader{Node: node, Wrote: now.Round(0)}
	return customerSnapshots.Write(filepath.Join(dir, customerSnapshotFile), header, list)
}

// loadCustomerSnapshots reads what an earlier process wrote; nothing where there is none or it
// is too old.
func loadCustomerSnapshots(dir string, node int, now time.Time) (r policy.RestoreSnapshot, err error) {
	header, customers, err := customerSnapshots.Read(filepath.Join(dir, customerSnapshotFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return r, nil
	case err != nil:
		return r, err
	case header.Node != node:
		return r, fmt.Errorf("of node %d, not %d", header.Node, node)
	}
	// A clock set back makes it no younger than just written.
	age := max(0, now.Sub(header.Wrote))
	if age > maxSnapshotAge {
		return r, nil
	}
	return policy.RestoreSnapshot{Age: age, Customers: customers}, nil
}

// saveSnapshotsPeriodically writes the memory until the context ends, and once more then.
func (g *Gateway) saveSnapshotsPeriodically(ctx context.Context) {
	tick := time.NewTicker(snapshotInterval)
	defer tick.Stop()
	write := func(ctx context.Context) {
		list, ok := g.node.SaveSnapshot(ctx)
		if !ok {
			return
		}
		if err := saveCustomerSnapshots(g.cfg.StateDir, g.cfg.Number, g.o.Wall(), list); err != nil {
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
