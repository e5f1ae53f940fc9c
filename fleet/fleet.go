// Package fleet provides the list of endpoints that a node sends requests to: from the
// configuration, or from an xDS management server over EDS, with the last valid list cached on
// disk.
package fleet

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// ID returns the ID of the server at an address, as the policy and messages between nodes use it.
// It depends only on the address, so all nodes compute the same ID.
func ID(address string) policy.ServerID {
	h := fnv.New32a()
	h.Write([]byte(address))
	return policy.ServerID(h.Sum32())
}

// Static returns the endpoints of a configuration, sorted by address. An address or an ID that
// occurs twice is an error.
func Static(in []config.Server) ([]node.Endpoint, error) {
	var list []node.Endpoint
	for _, s := range in {
		list = append(list, node.Endpoint{Address: s.Address, Server: policy.Server{ID: ID(s.Address), Zone: s.Zone,
			Cell: s.Cell, Weight: s.Weight}})
	}
	return list, sortUnique(list)
}

// sortUnique sorts a list by address. Two servers with the same address are an error, and so are
// two with the same ID: IDs are hashes, which collide in one of some 10,000 lists of 600 servers.
func sortUnique(list []node.Endpoint) error {
	slices.SortFunc(list, func(a, b node.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	byID := map[policy.ServerID]string{}
	for _, s := range list {
		if other, used := byID[s.ID]; used {
			if other == s.Address {
				return fmt.Errorf("fleet: address %s twice in the list", other)
			}
			return fmt.Errorf("fleet: addresses %s and %s have one ID, %d; change one", other, s.Address, s.ID)
		}
		byID[s.ID] = s.Address
	}
	return nil
}
