package day

import (
	"bytes"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// config writes a node's configuration.
func (d *stage) config(i int) ([]byte, error) {
	dir, err := d.o.Environment.NodeDir(i)
	if err != nil {
		return nil, err
	}
	peers := map[int]string{}
	for k := range d.s.Nodes + d.s.Spares {
		if k == i {
			continue
		}
		if peers[k], err = d.relayTo(i, k); err != nil {
			return nil, err
		}
	}
	key := blake3.Sum256([]byte(fmt.Sprint("day ", d.s.Seed)))
	var b bytes.Buffer
	err = nodeConfig.Execute(&b, map[string]any{"S": d.s, "Number": i, "Zone": fmt.Sprint("room-", i%d.s.Servers.DedupScopes),
		"Dir": dir, "HTTP": d.http[i], "HTTP2": d.http2[i], "ExtAuthz": d.extAuthz[i], "Peer": d.peer[i], "Peers": peers, "Key": hex.EncodeToString(key[:]),
		"Auth": d.authAddr, "EDS": d.edsAddr, "Customers": customers(d.s), "Counters": d.counterAt, "Roster": d.roster != nil})
	return b.Bytes(), err
}
