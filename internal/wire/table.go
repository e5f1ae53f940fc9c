package wire

import (
	"fmt"

	"yardcleat.example/yardcleat/policy"
)

const (
	// maxEndpoints is the maximum number of entries in an endpoint list.
	maxEndpoints = 1 << 20

	// endpointVerb starts each entry of an endpoint list.
	endpointVerb = "M"
)

// serverStates maps the states in entries of an endpoint list.
var serverStates = map[string]policy.ServerState{
	"Running":  policy.Running,
	"Stopping": policy.Draining,
	"Deleted":  policy.Removed,
}

// readEndpointList reads an endpoint list: its number and length, then one line for each entry.
func (d *Decoder) readEndpointList(f *fields) error {
	number := f.integer()
	length := f.integer()
	if err := f.end(); err != nil {
		return d.fail(&VerbError{endpointListVerb, err})
	}
	if length < 0 || length > maxEndpoints {
		return d.fail(&VerbError{endpointListVerb, fmt.Errorf("invalid number of entries %d", length)})
	}
	var list []policy.Server
	for range length {
		s, err := d.readEndpoint()
		if err != nil {
			return err
		}
		list = append(list, s)
	}
	d.endpointLists[number] = list
	return nil
}

func (d *Decoder) readEndpoint() (policy.Server, error) {
	line, err := d.readLine()
	if err != nil {
		return policy.Server{}, d.fail(ErrEndInsideList)
	}
	f := splitLine(line)
	if f.text() != endpointVerb {
		return policy.Server{}, d.fail(fmt.Errorf("an endpoint list entry starts with %s, not %q", endpointVerb, clip(line)))
	}
	startedAt := f.number()
	s := policy.Server{HasStartTime: startedAt > 0, StartedAt: duration(startedAt)}
	s.Weight = f.number()
	s.Zone = f.text()
	s.Cell = f.integer()
	state, known := serverStates[f.text()]
	s.State = state
	f.skip() // machine type
	s.ID = f.serverID()
	if err := f.end(); err != nil {
		return s, d.fail(&VerbError{endpointVerb, err})
	}
	if !known {
		return s, d.fail(&VerbError{endpointVerb, &UnknownTokenError{Kind: "state"}})
	}
	return s, nil
}
