package discovery

import (
	"hash/fnv"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// EndpointTable assigns endpoints the IDs that the policy and peer messages use. An ID is the
// hash of the endpoint's name, so that all nodes assign the same one; if the hashes of two names
// collide, the later name gets the next free ID. Endpoints that are removed from the list are
// deleted from the table. It is not safe for concurrent use.
type EndpointTable struct {
	ids            map[string]policy.ServerID // by name
	used           map[policy.ServerID]bool
	connectionKeys map[string]string // by name, while the endpoint is listed
}

// NewEndpointTable returns an empty table.
func NewEndpointTable() *EndpointTable {
	return &EndpointTable{
		ids:            map[string]policy.ServerID{},
		used:           map[policy.ServerID]bool{},
		connectionKeys: map[string]string{},
	}
}

// Update is the result of applying a list.
type Update struct {
	Kind    policy.EndpointUpdateKind
	Servers []node.Endpoint
	// ConnectionsToClose has the connection keys of servers that have been removed, have
	// restarted or have a new address.
	ConnectionsToClose []string
}

// Apply applies a list to the table and returns the resulting update. A cached list is one of an
// earlier run.
func (t *EndpointTable) Apply(l List, cached bool) Update {
	update := Update{Kind: updateKind(l, cached)}
	listed := map[string]bool{}
	for _, endpoint := range l.Endpoints {
		_, known := t.ids[endpoint.Name]
		if !known && endpoint.Status == statusRemoved {
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
		t.remove(endpoint.Name)
	}
	update.Servers = append(update.Servers, server)
}

// server returns the node's representation of an endpoint. The connection key consists of the
// name, the start time and the address, because a new server may reuse the address of an old one.
func (t *EndpointTable) server(endpoint Endpoint) node.Endpoint {
	server := node.Endpoint{
		Address: endpoint.Address,
		Server: policy.Server{
			ID:     t.id(endpoint.Name),
			Zone:   endpoint.Zone,
			Cell:   endpoint.Cell,
			State:  serverStates[endpoint.Status],
			Weight: endpoint.Weight,
		},
		ConnectionKey: endpoint.Name + "/" + strconv.FormatInt(endpoint.StartTimeUnixMS, 36) + "/" + endpoint.Address,
	}
	if endpoint.StartTimeUnixMS > 0 {
		server.StartTime = time.UnixMilli(endpoint.StartTimeUnixMS)
	}
	return server
}

// id returns the ID of a name, and assigns one if the name has none.
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
			t.remove(name)
		}
	}
}

func (t *EndpointTable) remove(name string) {
	delete(t.used, t.ids[name])
	delete(t.ids, name)
	delete(t.connectionKeys, name)
}
