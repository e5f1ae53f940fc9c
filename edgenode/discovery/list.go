package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"yardcleat.example/yardcleat/policy"
)

// Endpoint is one entry of discovery's list. The JSON keys are the platform's.
type Endpoint struct {
	Name            string  `json:"name"`    // the same at every edge node
	Address         string  `json:"address"` // host:port
	Zone            string  `json:"zone"`
	Type            string  `json:"type"` // not used
	Cell            int     `json:"group"`
	Status          string  `json:"status"`   // ready, draining or gone
	Weight          float64 `json:"weight"`   // capacity relative to other endpoints
	StartTimeUnixMS int64   `json:"since_ms"` // last start, in ms of Unix time; 0: long ago
}

// List is one response of discovery. The JSON keys are the platform's.
type List struct {
	Index     int64      `json:"index"`     // version of the list
	Snapshot  bool       `json:"snapshot"`  // the list is complete; else it has what changed
	Endpoints []Endpoint `json:"endpoints"` // in no order
}

// statusGone is the status of an endpoint that is no longer in the list.
const statusGone = "gone"

// states maps the platform's statuses.
var states = map[string]policy.ServerState{
	"ready":    policy.Running,
	"draining": policy.Draining,
	statusGone: policy.Removed,
}

// ErrIncompleteList is the error of Parse for a list without a key that it must have.
var ErrIncompleteList = errors.New("no index or no endpoints")

// EndpointError is the error of Parse for an endpoint that can't be used.
type EndpointError struct {
	Position int    // of the endpoint in the list, from 0
	Key      string // name, status or address
	Problem  string
}

func (e *EndpointError) Error() string {
	return fmt.Sprintf("endpoints[%d].%s: %s", e.Position, e.Key, e.Problem)
}

// Parse reads one response. A list with anything wrong is an error as a whole, one of
// encoding/json, ErrIncompleteList or an *EndpointError.
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
			return &EndpointError{Position: i, Key: "name", Problem: fmt.Sprintf("%q twice", endpoint.Name)}
		}
		if err := endpoint.check(i); err != nil {
			return err
		}
		seen[endpoint.Name] = true
	}
	return nil
}

// check returns nil or an *EndpointError.
func (e *Endpoint) check(position int) error {
	_, known := states[e.Status]
	switch {
	case e.Name == "":
		return &EndpointError{Position: position, Key: "name", Problem: "empty"}
	case !known:
		return &EndpointError{Position: position, Key: "status", Problem: fmt.Sprintf("%q is unknown", e.Status)}
	case e.Address == "" && e.Status != statusGone:
		return &EndpointError{Position: position, Key: "address", Problem: "empty"}
	}
	return nil
}
