// Package discovery keeps an edge node's server list by the platform's discovery:
// whole lists and changes as JSON over HTTP, by a watch that is always out.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// Endpoint is one line of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"` // the same at every edge node
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // its last start, Unix time; 0: long ago
}

// List is one answer of discovery's.
type List struct {
	Index     int64      `json:"index"`    // its version
	Snapshot  bool       `json:"snapshot"` // else only what has changed
	Endpoints []Endpoint `json:"endpoints"`
}

var states = map[string]policy.ServerState{"ready": policy.Running, "draining": policy.Draining, "gone": policy.Removed}

// Parse reads one answer. One that can't be meant is an error as a whole.
func Parse(b []byte) (List, error) {
	var l struct {
		List
		Index *int64      `json:"index"`
		Hosts *[]Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(b, &l); err != nil {
		return List{}, err
	}
	if l.Index == nil || l.Hosts == nil {
		return List{}, errors.New("no index or no endpoints")
	}
	seen := map[string]bool{}
	for i, h := range *l.Hosts {
		_, known := states[h.Status]
		switch {
		case h.Name == "":
			return List{}, fmt.Errorf("endpoints[%d].name: empty", i)
		case seen[h.Name] && l.Snapshot:
			return List{}, fmt.Errorf("endpoints[%d].name: %q twice", i, h.Name)
		case !known:
			return List{}, fmt.Errorf("endpoints[%d].status: %q is unknown", i, h.Status)
		case h.Address == "" && h.Status != "gone":
			return List{}, fmt.Errorf("endpoints[%d].address: empty", i)
		}
		seen[h.Name] = true
	}
	return List{Index: *l.Index, Snapshot: l.Snapshot, Endpoints: *l.Hosts}, nil
}

// EndpointTable gives servers the numbers that the module and messages between nodes name
// them by. A number follows from the name, so that all nodes give the same; of two
// names with one number, once in 40,000,000 pairs, the later gets the next.
type EndpointTable struct {
	ids            map[string]policy.ServerID
	used           map[policy.ServerID]bool
	connectionKeys map[string]string // of connections to each, while it is listed
}

// NewEndpointTable returns Names that hold none.
func NewEndpointTable() *EndpointTable {
	return &EndpointTable{ids: map[string]policy.ServerID{}, used: map[policy.ServerID]bool{}, connectionKeys: map[string]string{}}
}

func (n *EndpointTable) id(name string) policy.ServerID {
	if id, ok := n.ids[name]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := policy.ServerID(h.Sum32())
	for n.used[id] {
		id++
	}
	n.ids[name], n.used[id] = id, true
	return id
}

// Apply turns a list into what a node is told, and the keys of connections to
// servers, or starts of servers, that are no longer listed. Those of Remembered
// lists are new names like any. Names that go are forgotten.
func (n *EndpointTable) Apply(l List, remembered bool) (kind policy.EndpointUpdateKind, list []node.Server, left []string) {
	switch {
	case remembered:
		kind = policy.CachedUpdate
	case l.Snapshot:
		kind = policy.SnapshotUpdate
	default:
		kind = policy.DeltaUpdate
	}
	listed := map[string]bool{}
	for _, h := range l.Endpoints {
		state := states[h.Status]
		if _, known := n.ids[h.Name]; !known && state == policy.Removed {
			continue
		}
		listed[h.Name] = true
		s := node.Server{Address: h.Address, Server: policy.Server{ID: n.id(h.Name), Zone: h.Zone, Cell: h.Group, State: state, Weight: h.Weight}}
		if h.SinceMS > 0 {
			s.StartTime = time.UnixMilli(h.SinceMS)
		}
		s.ConnectionKey = h.Name + "/" + strconv.FormatInt(h.SinceMS, 36) + "/" + h.Address
		if old := n.connectionKeys[h.Name]; old != "" && old != s.ConnectionKey {
			left = append(left, old)
		}
		n.connectionKeys[h.Name] = s.ConnectionKey
		if state == policy.Removed {
			left = append(left, s.ConnectionKey)
			n.forget(h.Name)
		}
		list = append(list, s)
	}
	if kind != policy.DeltaUpdate {
		for name, key := range n.connectionKeys {
			if !listed[name] {
				left = append(left, key)
				n.forget(name)
			}
		}
	}
	return kind, list, left
}

func (n *EndpointTable) forget(name string) {
	delete(n.used, n.ids[name])
	delete(n.ids, name)
	delete(n.connectionKeys, name)
}
