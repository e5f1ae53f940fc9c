package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"yardcleat.example/yardcleat/policy"
)

// Endpoint is one entry of an endpoint list. The platform defines the JSON keys.
type Endpoint struct {
	Name            string  `json:"name"`    // identifies the endpoint at all edge nodes
	Address         string  `json:"address"` // host:port
	Zone            string  `json:"zone"`
	Type            string  `json:"type"` // not used
	Cell            int     `json:"group"`
	Status          string  `json:"status"`   // ready, draining or gone
	Weight          float64 `json:"weight"`   // capacity relative to other endpoints
	StartTimeUnixMS int64   `json:"since_ms"` // last start of the server; 0: long ago
}

// List is one response of discovery: a snapshot or a delta of the endpoint list. The platform
// defines the JSON keys.
type List struct {
	Index     int64      `json:"index"`     // version of the list
	Snapshot  bool       `json:"snapshot"`  // the list is complete; otherwise it has the endpoints that changed
	Endpoints []Endpoint `json:"endpoints"` // in no particular order
}

// Statuses of the platform.
const (
	statusReady    = "ready"
	statusDraining = "draining"
	statusRemoved  = "gone" // the endpoint has been removed from the list
)

// serverStates maps the platform's statuses to states of package policy.
var serverStates = map[string]policy.ServerState{
	statusReady:    policy.Running,
	statusDraining: policy.Draining,
	statusRemoved:  policy.Removed,
}

// ErrIncompleteList is the error of Parse for a list that lacks a required key.
var ErrIncompleteList = errors.New("missing index or endpoints")

// EndpointError is the error of Parse for an invalid endpoint.
type EndpointError struct {
	Position int    // of the endpoint in the list, from 0
	Key      string // name, status or address
	Problem  string
}

func (e *EndpointError) Error() string {
	return fmt.Sprintf("endpoints[%d].%s: %s", e.Position, e.Key, e.Problem)
}

// Parse parses one response of discovery. One invalid endpoint makes the whole list invalid. The
// error is one of encoding/json, ErrIncompleteList or an *EndpointError.
func Parse(b []byte) (List, error) {
	var decoded struct {
		Index     *int64      `json:"index"`
		Snapshot  bool        `json:"snapshot"`
		Endpoints *[]Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(b, &decoded); err != nil {
		return List{}, err
	}
	if decoded.Index == nil || decoded.Endpoints == nil {
		return List{}, ErrIncompleteList
	}
	list := List{Index: *decoded.Index, Snapshot: decoded.Snapshot, Endpoints: *decoded.Endpoints}
	if err := list.check(); err != nil {
		return List{}, err
	}
	return list, nil
}

func (l *List) check() error {
	seen := map[string]bool{}
	for i, endpoint := range l.Endpoints {
		if seen[endpoint.Name] && l.Snapshot {
			return &EndpointError{Position: i, Key: "name", Problem: fmt.Sprintf("%q is listed twice", endpoint.Name)}
		}
		if err := endpoint.check(i); err != nil {
			return err
		}
		seen[endpoint.Name] = true
	}
	return nil
}

// check returns an *EndpointError if the endpoint at a position of the list is invalid.
func (e *Endpoint) check(position int) error {
	_, known := serverStates[e.Status]
	switch {
	case e.Name == "":
		return &EndpointError{Position: position, Key: "name", Problem: "empty"}
	case !known:
		return &EndpointError{Position: position, Key: "status", Problem: fmt.Sprintf("unknown status %q", e.Status)}
	case e.Address == "" && e.Status != statusRemoved:
		return &EndpointError{Position: position, Key: "address", Problem: "empty"}
	}
	return nil
}
