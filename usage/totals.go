package usage

import (
	"cmp"
	"slices"
	"time"
)

// account is one customer in one window.
type account struct {
	key     Key
	plan    Plan
	regs    map[Owner]*register
	peers   []int     // nodes it comes in through
	calling bool      // a call is out
	asked   time.Time // when it was last answered
	changed bool      // something here is not in the counter
	queued  bool      // in the list of those that want a call
	untold  bool      // own register rose since peers were told
	since   time.Time // when it began to want a call
	newest  bool      // the customer's latest window
	recent  bool      // in the list of those used since the last sweep
	dropped bool      // no longer in memory
	dirty   bool      // in the list of those to be stored
}

func (t *Tally) window(now time.Time) int64 { return now.UnixNano() / int64(t.set.Window) }

func (t *Tally) account(now time.Time, k Key, p Plan) *account {
	a := t.accounts[k]
	if a == nil {
		a = &account{key: k, plan: p, regs: map[Owner]*register{}}
		t.accounts[k] = a
		t.windows[k.Window] = append(t.windows[k.Window], a)
		r := &t.rounds[t.Part(k.Customer)]
		r.list = append(r.list, a)
	}
	return a
}

// ordered lists the accounts in a fixed order.
func (t *Tally) ordered() []*account {
	list := make([]*account, 0, len(t.accounts))
	for _, a := range t.accounts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.key.Customer, b.key.Customer), cmp.Compare(a.key.Window, b.key.Window))
	})
	return list
}

// Estimate is what is known of a total: units surely passed, and by how much
// the truth may be above it while every node keeps the plan's rate.
func (t *Tally) Estimate(now time.Time, k Key) (units, above float64, ok bool) {
	a := t.accounts[k]
	if a == nil {
		return 0, 0, false
	}
	oldest := now
	var sum Milli
	for o, g := range a.regs {
		sum += g.units
		if o != t.set.Me && g.heard.Before(oldest) {
			oldest = g.heard
		}
	}
	if a.asked.After(oldest) {
		oldest = a.asked
	}
	return float64(sum) / 1000, a.plan.Rate*now.Sub(oldest).Seconds() + a.plan.Burst, true
}
