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

// The customers' token buckets are saved in a file in the state directory, so that they survive a
// restart of the process.
const (
	// customerSnapshotFile is the name of the file, fixed by the stored format. The file contains
	// the token buckets that are not full.
	customerSnapshotFile    = "stores"
	customerSnapshotVersion = 1
	snapshotInterval        = 2 * time.Second
	// maxSnapshotAge is the maximum age of a snapshot that is restored. A bucket that refills within
	// an hour (Burst/Rate) is full again by then; the state of a slower one is lost.
	maxSnapshotAge = time.Hour
)

// snapshotHeader identifies the gateway that wrote the file, and the wall-clock time of writing.
type snapshotHeader struct {
	Node  int       `json:"node"`
	Wrote time.Time `json:"wrote"`
}

var customerSnapshots = snapshotfile.Format[snapshotHeader, []policy.CustomerSnapshot]{
	Version: customerSnapshotVersion,
	Payload: "stores",
}

// SnapshotNodeMismatchError reports that a snapshot file was written by a gateway with another number.
type SnapshotNodeMismatchError struct{ Got, Want int }

func (e *SnapshotNodeMismatchError) Error() string {
	return fmt.Sprintf("snapshot was written by node %d, want node %d", e.Got, e.Want)
}

func saveCustomerSnapshots(dir string, number int, now time.Time, list []policy.CustomerSnapshot) error {
	header := snapshotHeader{Node: number, Wrote: now.Round(0)} // strips the monotonic clock reading
	return customerSnapshots.Write(filepath.Join(dir, customerSnapshotFile), header, list)
}

// loadCustomerSnapshots returns the snapshot that an earlier process of this gateway saved, or the
// zero value if there is none or it is older than maxSnapshotAge. Errors are those of package
// snapshotfile and [*SnapshotNodeMismatchError].
func loadCustomerSnapshots(dir string, number int, now time.Time) (policy.RestoreSnapshot, error) {
	header, customers, err := customerSnapshots.Read(filepath.Join(dir, customerSnapshotFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return policy.RestoreSnapshot{}, nil
	case err != nil:
		return policy.RestoreSnapshot{}, err
	case header.Node != number:
		return policy.RestoreSnapshot{}, &SnapshotNodeMismatchError{Got: header.Node, Want: number}
	}
	// If the wall clock was set back, the age would be negative: the snapshot is treated as new.
	age := max(0, now.Sub(header.Wrote))
	if age > maxSnapshotAge {
		return policy.RestoreSnapshot{}, nil
	}
	return policy.RestoreSnapshot{Age: age, Customers: customers}, nil
}

// restoreCustomerSnapshots passes the saved customer snapshots to the policy.
func (g *Gateway) restoreCustomerSnapshots() {
	snapshot, err := loadCustomerSnapshots(g.cfg.StateDir, g.cfg.Number, g.options.WallClock())
	if err != nil {
		g.options.Log.Warn("customer snapshots can't be used; starting without them", "error", err)
		return
	}
	if len(snapshot.Customers) == 0 {
		return
	}
	g.options.Log.Info("customer snapshots restored", "customers", len(snapshot.Customers), "age", snapshot.Age)
	g.node.RestoreSnapshot(snapshot)
}

// saveSnapshotsPeriodically saves the customer snapshots at every snapshotInterval until the context
// ends, and once more then unless the gateway was killed.
func (g *Gateway) saveSnapshotsPeriodically(ctx context.Context) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.saveSnapshots(ctx)
		case <-ctx.Done():
			if !g.killed.Load() {
				g.saveSnapshots(context.WithoutCancel(ctx)) // the node's event loop ends only after this save
			}
			return
		}
	}
}

func (g *Gateway) saveSnapshots(ctx context.Context) {
	list, ok := g.node.SaveSnapshot(ctx)
	if !ok {
		return
	}
	if err := saveCustomerSnapshots(g.cfg.StateDir, g.cfg.Number, g.options.WallClock(), list); err != nil {
		g.options.Log.Error("saving customer snapshots failed; retrying at the next interval", "error", err)
	}
}
