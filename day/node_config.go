package day

import (
	"bytes"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// renderNodeConfig returns the configuration of a node. It opens the relays to the peers of the node.
func (run *scenarioRun) renderNodeConfig(i int) ([]byte, error) {
	dir, err := run.options.Environment.NodeDir(i)
	if err != nil {
		return nil, err
	}
	peers := map[int]string{}
	for k := range run.script.Nodes + run.script.Spares {
		if k == i {
			continue
		}
		if peers[k], err = run.openRelay(i, k); err != nil {
			return nil, err
		}
	}
	key := blake3.Sum256([]byte(fmt.Sprint("day ", run.script.Seed)))
	var buffer bytes.Buffer
	err = nodeConfigTemplate.Execute(&buffer, map[string]any{"S": run.script, "Number": i, "Zone": fmt.Sprint("room-", i%run.script.Servers.DedupScopes),
		"Dir": dir, "HTTP": run.httpAddresses[i], "HTTP2": run.http2Addresses[i], "ExtAuthz": run.extAuthzAddresses[i], "Peer": run.peerAddresses[i], "Peers": peers, "Key": hex.EncodeToString(key[:]),
		"Auth": run.authorizerAddress, "EDS": run.discoveryAddress, "Customers": customers(run.script), "Counters": run.counterAddresses, "Roster": run.roster != nil})
	return buffer.Bytes(), err
}
