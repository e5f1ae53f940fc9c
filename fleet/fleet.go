// Package fleet keeps a node's list of servers: from the configuration, or from
// an xDS management server over EDS, with the last good list remembered on disk.
package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"slices"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/snapshotfile"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// ID is a server's name in the module and in messages between nodes. It follows
// from the address alone, so all nodes give the same.
func ID(address string) policy.ServerID {
	h := fnv.New32a()
	h.Write([]byte(address))
	return policy.ServerID(h.Sum32())
}

// Static makes the list that stands in a configuration.
func Static(in []config.Server) ([]node.Server, error) {
	var list []node.Server
	for _, s := range in {
		list = append(list, node.Server{Address: s.Address, Server: policy.Server{ID: ID(s.Address), Zone: s.Zone,
			Cell: s.Cell, Weight: s.Weight}})
	}
	return list, distinct(list)
}

// distinct sorts a list by address, and refuses two servers of one address or,
// once in some 10,000 lists of 600, of one ID.
func distinct(list []node.Server) error {
	slices.SortFunc(list, func(a, b node.Server) int { return cmp.Compare(a.Address, b.Address) })
	byID := map[policy.ServerID]string{}
	for _, s := range list {
		if old, twice := byID[s.ID]; twice {
			if old == s.Address {
				return fmt.Errorf("fleet: address %s twice in the list", old)
			}
			return fmt.Errorf("fleet: addresses %s and %s have one ID, %d; change one", old, s.Address, s.ID)
		}
		byID[s.ID] = s.Address
	}
	return nil
}

type cachedServer struct {
	Address string             `json:"address"`
	Zone    string             `json:"zone,omitempty"`
	Cell    int                `json:"cell,omitempty"`
	Weight  float64            `json:"weight"`
	State   policy.ServerState `json:"state,omitempty"`
	Started *time.Time         `json:"started,omitempty"`
}

var cacheFormat = snapshotfile.Format[struct{}, []cachedServer]{Version: 1, Payload: "servers"}

// SaveCache writes a list to a file, in one step.
func SaveCache(path string, list []node.Server) error {
	lines := make([]cachedServer, 0, len(list))
	for _, s := range list {
		l := cachedServer{Address: s.Address, Zone: s.Zone, Cell: s.Cell, Weight: s.Weight, State: s.State}
		if !s.StartTime.IsZero() {
			l.Started = &s.StartTime
		}
		lines = append(lines, l)
	}
	return cacheFormat.Write(path, struct{}{}, lines)
}

// LoadCache reads a remembered list. It is nil, without an error, where there is
// no file; a torn or foreign file is an error.
func LoadCache(path string) ([]node.Server, error) {
	_, lines, err := cacheFormat.Read(path)
	var damaged *snapshotfile.DamagedError
	var version *snapshotfile.VersionError
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case errors.As(err, &damaged), errors.As(err, &version):
		return nil, fmt.Errorf("fleet: %s is %w", path, err)
	case err != nil:
		return nil, err
	}
	var list []node.Server
	for _, l := range lines {
		s := node.Server{Address: l.Address, Server: policy.Server{ID: ID(l.Address), Zone: l.Zone, Cell: l.Cell,
			Weight: l.Weight, State: l.State}}
		if l.Started != nil {
			s.StartTime = *l.Started
		}
		list = append(list, s)
	}
	return list, distinct(list)
}
