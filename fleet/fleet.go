// Package fleet keeps a node's list of servers: from the configuration, or from
// an xDS management server over EDS, with the last good list remembered on disk.
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

// ID is a server's name in the module and in messages between nodes. It follows
// from the address alone, so all nodes give the same.
func ID(address string) policy.ServerID {
	h := fnv.New32a()
	h.Write([]byte(address))
	return policy.ServerID(h.Sum32())
}

// Static makes the list that stands in a configuration.
func Static(in []config.Server) ([]node.Endpoint, error) {
	var list []node.Endpoint
	for _, s := range in {
		list = append(list, node.Endpoint{Address: s.Address, Server: policy.Server{ID: ID(s.Address), Zone: s.Zone,
			Cell: s.Cell, Weight: s.Weight}})
	}
	return list, distinct(list)
}

// distinct sorts a list by address, and refuses two servers of one address or,
// once in some 10,000 lists of 600, of one ID.
func distinct(list []node.Endpoint) error {
	slices.SortFunc(list, func(a, b node.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
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
