package usage

import (
	"cmp"
	"slices"
	"time"
)

// Milli is units in thousandths, as they are counted.
type Milli int64

// Owner names the process that a register is raised by.
type Owner struct {
	Node        int
	Incarnation uint64
}

// Key names a total.
type Key struct {
	Customer string
	Window   int64 // number of the window, counted from the Unix epoch
}

// Register is how many units one process has passed for a customer in a window.
type Register struct {
	Key   Key
	Owner Owner
	Units Milli
}

// register is what is known of one process's units.
type register struct {
	units Milli
	heard time.Time // when that was last learned, from a peer or the counter
	inCtr Milli     // as the counter last confirmed; below 0: to be put in again
	proof Milli     // what the owner's node said itself, to be found in the counter,
	at    time.Time // then; zero: nothing to be found

	stored Milli // as storage holds it; 0: it does not
}

func (a *account) reg(o Owner) *register {
	g := a.regs[o]
	if g == nil {
		g = &register{}
		a.regs[o] = g
	}
	return g
}

// owners lists an account's registers in a fixed order.
func (a *account) owners() []Owner {
	list := make([]Owner, 0, len(a.regs))
	for o := range a.regs {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b Owner) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// merge takes in a register from the counter or from its owner's node.
func (t *Tally) merge(now time.Time, a *account, r Register, told bool) {
	t.latest[r.Owner.Node] = max(t.latest[r.Owner.Node], r.Owner.Incarnation)
	if r.Owner == t.set.Me {
		return // nobody knows it better
	}
	g := a.reg(r.Owner)
	if told {
		if g.at.IsZero() && r.Units > g.inCtr {
			g.proof, g.at = r.Units, now
		}
	} else {
		g.inCtr = r.Units
	}
	g.heard = now
	if r.Units <= g.units {
		return
	}
	more := r.Units - g.units
	g.units = r.Units
	if c := t.customers[a.key.Customer]; c != nil {
		c.use(now, more)
	}
}
