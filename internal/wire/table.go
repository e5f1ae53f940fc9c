package wire

import (
	"fmt"

	"yardcleat.example/yardcleat/policy"
)

const (
	// maxTableEntries bounds the size of a server list.
	maxTableEntries = 1 << 20

	// entryVerb begins each entry of a server list.
	entryVerb = "M"
)

// serverStates are the words of list entries.
var serverStates = map[string]policy.ServerState{
	"Running":  policy.Running,
	"Stopping": policy.Draining,
	"Deleted":  policy.Removed,
}

// readTable reads a server list: its number, its length, and so many lines.
func (d *Decoder) readTable(f *fields) error {
	number := f.integer()
	length := f.integer()
	if err := f.end(); err != nil {
		return d.fail(&VerbError{tableVerb, err})
	}
	if length < 0 || length > maxTableEntries {
		return d.fail(&VerbError{tableVerb, fmt.Errorf("%d entries", length)})
	}
	var list []policy.Server
	for range length {
		s, err := d.readTableEntry()
		if err != nil {
			return err
		}
		list = append(list, s)
	}
	d.tables[number] = list
	return nil
}

func (d *Decoder) readTableEntry() (policy.Server, error) {
	line, err := d.readLine()
	if err != nil {
		return policy.Server{}, d.fail(ErrEndInsideList)
	}
	f := splitLine(line)
	if f.text() != entryVerb {
		return policy.Server{}, d.fail(fmt.Errorf("a list entry starts with %s, not %q", entryVerb, clip(line)))
	}
	startedAt := f.number()
	s := policy.Server{HasStartTime: startedAt > 0, StartedAt: duration(startedAt)}
	s.Weight = f.number()
	s.Zone = f.text()
	s.Cell = f.integer()
	state, known := serverStates[f.text()]
	s.State = state
	f.skip() // the machine's kind
	s.ID = f.serverID()
	if err := f.end(); err != nil {
		return s, d.fail(&VerbError{entryVerb, err})
	}
	if !known {
		return s, d.fail(&VerbError{entryVerb, &UnknownTokenError{Kind: "state"}})
	}
	return s, nil
}
