package discovery

import (
	"hash/fnv"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// EndpointTable gives endpoints the IDs by which the policy and messages between nodes know
// them. An ID follows from the name, so that all nodes give the same one; of two names with
// the same hash the later one gets the next ID. Names that leave the list are forgotten. One
// goroutine at a time may use a table.
type EndpointTable struct {
	ids            map[string]policy.ServerID // by name
	used           map[policy.ServerID]bool
	connectionKeys map[string]string // by name, while it is listed
}

// NewEndpointTable returns an empty table.
func NewEndpointTable() *EndpointTable {
	return &EndpointTable{
		ids:            map[string]policy.ServerID{},
		used:           map[policy.ServerID]bool{},
		connectionKeys: map[string]string{},
	}
}

// Update is what a list means to a node.
type Update struct {
	Kind    policy.EndpointUpdateKind
	Servers []node.Endpoint
	// ConnectionsToClose are the keys of connections to servers, or to starts of servers,
	// that are no longer listed.
	ConnectionsToClose []string
}

// Apply takes in a list and returns what a node is to be told. A cached list is one of an
// earlier run.
func (t *EndpointTable) Apply(l List, cached bool) Update {
	update := Update{Kind: updateKind(l, cached)}
	listed := map[string]bool{}
	for _, endpoint := range l.Endpoints {
		_, known := t.ids[endpoint.Name]
		if !known && endpoint.Status == statusGone {
			continue
		}
		listed[endpoint.Name] = true
		t.applyEndpoint(endpoint, &update)
	}
	if update.Kind != policy.DeltaUpdate {
		t.removeUnlisted(listed, &update)
	}
	return update
}

func updateKind(l List, cached bool) policy.EndpointUpdateKind {
	switch {
	case cached:
		return policy.CachedUpdate
	case l.Snapshot:
		return policy.SnapshotUpdate
	}
	return policy.DeltaUpdate
}

func (t *EndpointTable) applyEndpoint(endpoint Endpoint, update *Update) {
	server := t.server(endpoint)
	last := t.connectionKeys[endpoint.Name]
	if last != "" && last != server.ConnectionKey {
		update.ConnectionsToClose = append(update.ConnectionsToClose, last)
	}
	t.connectionKeys[endpoint.Name] = server.ConnectionKey
	if server.State == policy.Removed {
		update.ConnectionsToClose = append(update.ConnectionsToClose, server.ConnectionKey)
		t.forget(endpoint.Name)
	}
	update.Servers = append(update.Servers, server)
}

// server is an endpoint as a node knows it. Connections belong to a name, a start and an
// address together: a new server may take an old one's address.
func (t *EndpointTable) server(endpoint Endpoint) node.Endpoint {
	server := node.Endpoint{
		Address: endpoint.Address,
		Server: policy.Server{
			ID:     t.id(endpoint.Name),
			Zone:   endpoint.Zone,
			Cell:   endpoint.Cell,
			State:  states[endpoint.Status],
			Weight: endpoint.Weight,
		},
		ConnectionKey: endpoint.Name + "/" + strconv.FormatInt(endpoint.StartTimeUnixMS, 36) + "/" + endpoint.Address,
	}
	if endpoint.StartTimeUnixMS > 0 {
		server.StartTime = time.UnixMilli(endpoint.StartTimeUnixMS)
	}
	return server
}

// id is the ID of a name, a new one where the name is not known.
func (t *EndpointTable) id(name string) policy.ServerID {
	if id, ok := t.ids[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name)) // never fails
	id := policy.ServerID(hash.Sum32())
	for t.used[id] {
		id++
	}
	t.ids[name] = id
	t.used[id] = true
	return id
}

func (t *EndpointTable) removeUnlisted(listed map[string]bool, update *Update) {
	for name, key := range t.connectionKeys {
		if !listed[name] {
			update.ConnectionsToClose = append(update.ConnectionsToClose, key)
			t.forget(name)
		}
	}
}

func (t *EndpointTable) forget(name string) {
	delete(t.used, t.ids[name])
	delete(t.ids, name)
	delete(t.connectionKeys, name)
}
