package day

import (
	"bytes"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// renderNodeConfig writes a node's configuration.
func (d *scenarioRun) renderNodeConfig(i int) ([]byte, error) {
	dir, err := d.options.Environment.NodeDir(i)
	if err != nil {
		return nil, err
	}
	peers := map[int]string{}
	for k := range d.script.Nodes + d.script.Spares {
		if k == i {
			continue
		}
		if peers[k], err = d.openRelay(i, k); err != nil {
			return nil, err
		}
	}
	key := blake3.Sum256([]byte(fmt.Sprint("day ", d.script.Seed)))
	var b bytes.Buffer
	err = nodeConfigTemplate.Execute(&b, map[string]any{"S": d.script, "Number": i, "Zone": fmt.Sprint("room-", i%d.script.Servers.DedupScopes),
		"Dir": dir, "HTTP": d.httpAddresses[i], "HTTP2": d.http2Addresses[i], "ExtAuthz": d.extAuthzAddresses[i], "Peer": d.peerAddresses[i], "Peers": peers, "Key": hex.EncodeToString(key[:]),
		"Auth": d.authorizerAddress, "EDS": d.discoveryAddress, "Customers": customers(d.script), "Counters": d.counterAddresses, "Roster": d.roster != nil})
	return b.Bytes(), err
}
