package usage

import "time"

// Tuned values of gossip.
const (
	tellMost    = 12                      // registers in one message
	deafAfter   = 1500 * time.Millisecond // without a word of a peer its node may hear none
	deafRefresh = 500 * time.Millisecond  // then who is in use is asked for again after this
)

// Heard tells of registers that another node sent.
func (t *Tally) Heard(now time.Time, from int, list []Register) {
	t.heardAt = now
	for _, r := range list {
		c := t.customers[r.Key.Customer]
		if c == nil || r.Owner.Node != from {
			continue // not one that comes in here, or not its own to tell
		}
		if w := t.window(now); r.Key.Window < w-int64(t.set.Keep) || r.Key.Window > w+1 {
			continue
		}
		a := t.account(now, r.Key, c.plan)
		t.merge(now, a, r, true)
	}
}

// tell sends news of own registers to the nodes that the customer comes in
// through, as the mail allows.
func (t *Tally) tell() {
	if len(t.untold) == 0 || t.mail < 1 {
		return
	}
	to := map[int][]Register{}
	var order []int
	done := 0
	for _, a := range t.untold {
		if float64(len(order)) > t.mail {
			break
		}
		done++
		a.untold = false
		r := Register{a.key, t.set.Me, a.regs[t.set.Me].units}
		for _, n := range a.peers {
			if n == t.set.Me.Node {
				continue
			}
			if len(to[n]) == 0 {
				order = append(order, n)
			}
			if len(to[n]) < tellMost {
				to[n] = append(to[n], r)
			} else if !a.untold {
				a.untold = true // told with the next
			}
		}
	}
	var rest []*account
	for _, a := range t.untold[:done] {
		if a.untold {
			rest = append(rest, a)
		}
	}
	t.untold = append(rest, t.untold[done:]...)
	for _, n := range order {
		t.mail--
		t.acts = append(t.acts, Tell{n, to[n]})
	}
}

// deaf tells whether this node may hear none of the others: the counter is the
// witness then of what they pass.
func (t *Tally) deaf(now time.Time) bool {
	return now.Sub(t.heardAt) > deafAfter && now.Sub(t.start) > deafAfter
}
