package membership

import "slices"

// Node is a member of the fleet.
type Node struct {
	Name    string // unique among the members and leaving nodes of a roster
	Address string // host:port on which the node receives peer messages
}

// LeavingNode is a node that was removed from the members of the roster and may not have read the
// new roster yet. Its number is not reused for another node while it is leaving.
type LeavingNode struct {
	Number int // its number as a member
	Node
}

// Roster is the list of the fleet's nodes in one epoch. A caller that passes a Roster to this
// package must not modify its slices afterwards.
type Roster struct {
	Epoch uint64 // at least 1; the epoch of the previous roster plus one
	// Nodes lists the members. The index of a node is its number.
	Nodes []Node
	// Leaving lists all nodes that left the members in this or an earlier epoch and that may
	// still act under their old numbers.
	Leaving []LeavingNode
	// RemovedNames lists the nodes that operators have declared not to run any more. No change
	// waits for them.
	RemovedNames []string
}

// Validate checks the roster by itself, without regard to the previous one. The error is a
// *RosterError.
func (r *Roster) Validate() error {
	if r.Epoch == 0 {
		return &RosterError{Problem: ZeroEpoch}
	}
	if len(r.Nodes) == 0 {
		return &RosterError{Problem: NoNodes}
	}
	v := rosterValidator{names: map[string]bool{}, addresses: map[string]bool{}, numbers: map[int]bool{}}
	for number, n := range r.Nodes {
		if err := v.addNode(number, n); err != nil {
			return err
		}
	}
	for _, l := range r.Leaving {
		if err := v.addLeavingNode(l, len(r.Nodes)); err != nil {
			return err
		}
	}
	for _, name := range r.RemovedNames {
		if v.names[name] {
			return &RosterError{Problem: RemovedNodePresent, Name: name}
		}
	}
	return nil
}

// rosterValidator records the names, addresses and leaving numbers of the nodes checked so far.
type rosterValidator struct {
	names     map[string]bool
	addresses map[string]bool
	numbers   map[int]bool // numbers of leaving nodes
}

func (v *rosterValidator) addNode(number int, n Node) error {
	switch {
	case n.Name == "":
		return &RosterError{Problem: UnnamedNode, Number: number}
	case v.names[n.Name]:
		return &RosterError{Problem: DuplicateName, Name: n.Name}
	case !v.isAddressAvailable(n.Address):
		return &RosterError{Problem: UnusableAddress, Name: n.Name, Address: n.Address}
	}
	v.names[n.Name] = true
	v.addresses[n.Address] = true
	return nil
}

func (v *rosterValidator) addLeavingNode(l LeavingNode, members int) error {
	switch {
	case l.Name == "" || v.names[l.Name]:
		return &RosterError{Problem: LeavingNameUnusable, Name: l.Name}
	case l.Number < members || v.numbers[l.Number]:
		return &RosterError{Problem: LeavingNumberTaken, Name: l.Name, Number: l.Number}
	case !v.isAddressAvailable(l.Address):
		return &RosterError{Problem: UnusableAddress, Name: l.Name, Address: l.Address}
	}
	v.names[l.Name] = true
	v.addresses[l.Address] = true
	v.numbers[l.Number] = true
	return nil
}

func (v *rosterValidator) isAddressAvailable(address string) bool {
	return address != "" && !v.addresses[address]
}

// Next returns the roster of the next epoch, with nodes as its members and removed added to
// RemovedNames. A node that is in r but not in nodes is leaving. It stays leaving in later epochs
// until it is removed, or becomes a member again under the same number. The error is a
// *RosterError: a node would change its number, or the result is not valid.
func (r *Roster) Next(nodes []Node, removed []string) (Roster, error) {
	next := Roster{Epoch: r.Epoch + 1, Nodes: nodes, RemovedNames: slices.Clone(r.RemovedNames)}
	for _, name := range removed {
		if !slices.Contains(next.RemovedNames, name) {
			next.RemovedNames = append(next.RemovedNames, name)
		}
	}
	isMember := func(name string) bool { return next.numberOf(name) >= 0 }
	next.RemovedNames = slices.DeleteFunc(next.RemovedNames, isMember)
	if err := next.addLeavingNodes(r); err != nil {
		return next, err
	}
	return next, next.Validate()
}

// addLeavingNodes sets Leaving from the previous roster, ordered by number.
func (r *Roster) addLeavingNodes(previous *Roster) error {
	candidates := slices.Clone(previous.Leaving)
	for number, n := range previous.Nodes {
		candidates = append(candidates, LeavingNode{number, n})
	}
	for _, l := range candidates {
		if slices.Contains(r.RemovedNames, l.Name) {
			continue
		}
		number := r.numberOf(l.Name)
		if number < 0 {
			r.Leaving = append(r.Leaving, l)
		} else if number != l.Number {
			return &RosterError{Problem: NumberChanged, Name: l.Name, Number: l.Number, NewNumber: number}
		}
	}
	slices.SortFunc(r.Leaving, func(a, b LeavingNode) int { return a.Number - b.Number })
	return nil
}

// numberOf returns the number of a member, or -1.
func (r *Roster) numberOf(name string) int {
	return slices.IndexFunc(r.Nodes, func(n Node) bool { return n.Name == name })
}

// equal reports whether two rosters of the same epoch have the same content.
func (r *Roster) equal(o *Roster) bool {
	return slices.Equal(r.Nodes, o.Nodes) && slices.Equal(r.Leaving, o.Leaving) && slices.Equal(r.RemovedNames, o.RemovedNames)
}
