package config

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/membership"
)

func (l *loader) peers(in *peersBlock) {
	l.config.Peers.Addresses = map[int]string{}
	if in == nil {
		return
	}
	p := &l.config.Peers
	p.Listen = l.address(in.Listen)
	p.MessagesPerSecond = l.number(in.MessagesPerSecond, numberBounds{Default: 60, Min: 1, Max: 1e6})
	p.MaxMessageAge = l.duration(in.MaxMessageAge, durationBounds{Default: 10 * time.Second, Min: 100 * time.Millisecond, Max: time.Hour})
	p.Keys = l.fleetKeys(in)
	if path := l.text(in.RosterFile, ""); path != "" {
		l.roster(in, path)
		return
	}
	for _, block := range in.Peers {
		l.peer(block)
	}
	l.checkNumbering(in)
}

func (l *loader) peer(in peerBlock) {
	addresses := l.config.Peers.Addresses
	n, err := strconv.Atoi(in.Number)
	switch {
	case err != nil || n < 0 || n > maxGatewayNumber:
		l.addError(in.NumberRange, "Not a node number", `A peer is named by its number, such as: peer "1" { address = … }.`)
		return
	case n == l.config.Number:
		l.addError(in.NumberRange, "Peer with this node's number", "This node is number %d; list only the others.", n)
		return
	case addresses[n] != "":
		l.addError(in.NumberRange, "Number used twice", "There is a peer %d already.", n)
	}
	addresses[n] = l.address(in.Address)
}

// checkNumbering reports gaps: the numbers of the peers and of this gateway together must be
// consecutive from 0.
func (l *loader) checkNumbering(in *peersBlock) {
	addresses := l.config.Peers.Addresses
	self := l.config.Number
	for _, n := range slices.Sorted(maps.Keys(addresses)) {
		if n > len(addresses) {
			l.addError(in.DefRange, "Numbers with gaps", "Nodes are numbered from 0 to %d, this one (%d) included; there is a %d.",
				len(addresses), self, n)
			break
		}
	}
	if self > len(addresses) {
		l.addError(in.DefRange, "Numbers with gaps", "This node's number, %d, is above the number of its peers, %d.",
			self, len(addresses))
	}
}

// roster reads the fleet from a roster file. The number of this gateway is the position of its
// name in the roster.
func (l *loader) roster(in *peersBlock, path string) {
	if len(in.Peers) > 0 {
		l.addError(in.DefRange, "Roster and peers", "Give either a roster or peer blocks.")
	}
	roster, err := LoadRoster(path)
	if err != nil {
		l.addError(in.RosterFile.Range(), "Roster not usable", "%v", err)
		return
	}
	l.config.Roster = roster
	l.config.Peers.RosterFile = path
	l.config.Number = slices.IndexFunc(roster.Nodes, func(n membership.Node) bool { return n.Name == l.config.Name })
	if l.config.Number < 0 {
		l.addError(in.RosterFile.Range(), "Not in the roster", "The roster of epoch %d has no node %q; it is known by name in the block node.",
			roster.Epoch, l.config.Name)
		l.config.Number = 0
	}
	for i, n := range roster.Nodes {
		if i != l.config.Number {
			l.config.Peers.Addresses[i] = n.Address
		}
	}
}
