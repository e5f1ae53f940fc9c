package fleet

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"yardcleat.example/yardcleat/internal/snapshotfile"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// cacheFormat is the format of the file that holds the last valid list.
var cacheFormat = snapshotfile.Format[struct{}, []cachedEndpoint]{Version: 1, Payload: "servers"}

// cachedEndpoint is an endpoint in the file. Its ID is left out, since it follows from the address.
type cachedEndpoint struct {
	Address string             `json:"address"`
	Zone    string             `json:"zone,omitempty"`
	Cell    int                `json:"cell,omitempty"`
	Weight  float64            `json:"weight"`
	State   policy.ServerState `json:"state,omitempty"`
	Started *time.Time         `json:"started,omitempty"` // nil: unknown
}

func newCachedEndpoint(s node.Endpoint) cachedEndpoint {
	cached := cachedEndpoint{Address: s.Address, Zone: s.Zone, Cell: s.Cell, Weight: s.Weight, State: s.State}
	if !s.StartTime.IsZero() {
		cached.Started = &s.StartTime
	}
	return cached
}

func (c cachedEndpoint) endpoint() node.Endpoint {
	s := node.Endpoint{
		Address: c.Address,
		Server:  policy.Server{ID: ID(c.Address), Zone: c.Zone, Cell: c.Cell, Weight: c.Weight, State: c.State},
	}
	if c.Started != nil {
		s.StartTime = *c.Started
	}
	return s
}

// SaveCache atomically replaces the file at path by a list. The list is on the disk once SaveCache
// has returned nil.
func SaveCache(path string, list []node.Endpoint) error {
	cached := make([]cachedEndpoint, 0, len(list))
	for _, s := range list {
		cached = append(cached, newCachedEndpoint(s))
	}
	return cacheFormat.Write(path, struct{}{}, cached)
}

// LoadCache returns the list in a file, or nil without an error if there is no file. Errors wrap
// those of package snapshotfile; a list in which an address or an ID occurs twice is an error, too.
func LoadCache(path string) ([]node.Endpoint, error) {
	_, cached, err := cacheFormat.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, cacheError(path, err)
	}
	var list []node.Endpoint
	for _, c := range cached {
		list = append(list, c.endpoint())
	}
	return list, sortUnique(list)
}

// cacheError adds the path to an error that does not name it.
func cacheError(path string, err error) error {
	var damaged *snapshotfile.DamagedError
	var version *snapshotfile.VersionError
	if errors.As(err, &damaged) || errors.As(err, &version) {
		return fmt.Errorf("fleet: %s is %w", path, err)
	}
	return err
}
