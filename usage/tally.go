// Package usage decides what to believe of the shared counter. It keeps, for
// each customer and window of time, how many units every process of the fleet
// has passed: a register for each process, which that process alone raises.
// Registers merge by their maximum, whoever brings them, so an add whose answer
// never came may be made again, a counter that was emptied may be filled by any
// number of nodes at once, and nothing counts twice.
//
// It has no I/O: events in, actions out, time passed in. It is not safe for
// concurrent use.
package usage

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"
)

// Tuned values: shares, counts and times that people and networks set.
const (
	mostCalls   = 64                     // out at once, over all parts
	silentAfter = time.Second            // without an answer a part is silent
	retryFirst  = 250 * time.Millisecond // a silent part is asked again after this,
	retryMost   = 2 * time.Second        // doubled up to this
	soundAfter  = 3                      // good answers in a row that end a fault
	splitAfter  = 3                      // answers in a row that lack what peers say they added
	settle      = 2 * time.Second        // what a peer said must be in the counter after this
	refresh     = 5 * time.Second        // a busy customer is asked for again after this, if nothing changed
	forgetAfter = 2 * time.Minute        // a customer without news is dropped from memory after this
	tellMost    = 12                     // registers in one message
	epochEvery  = time.Second            // a part\'s epoch is asked for

	deafAfter   = 1500 * time.Millisecond // without a word of a peer its node may hear none
	nearQuota   = 2.0                     // seconds of waiting that an empty store is worth then
	deafRefresh = 500 * time.Millisecond  // then who is in use is asked for again after this
)

// Milli is units in thousandths, as they are counted.
type Milli int64

// Owner names the process that a register is raised by.
type Owner struct {
	Node        int
	Incarnation uint64
}

// Settings is what a Tally is told at its start.
type Settings struct {
	Me     Owner
	Parts  int           // of the counter
	Window time.Duration // length of the windows that totals are kept for
	Keep   int           // windows kept while not confirmed
	Calls  float64       // calls a second that this node may make
	Mail   float64       // messages a second that this node may send
	Rates  map[string]Plan
}

// Plan is what bounds the use of a customer.
type Plan struct{ Rate, Burst float64 }

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

// Level is how full a customer's store was at a time, in units.
type Level struct {
	Units float64
	At    time.Time
}

// Action is something a Tally wants done.
type Action interface{ action() }

// Call asks for all registers of a total, then sets those in Raise, and puts those
// in Seed where there are none. Answered must follow.
type Call struct {
	ID    uint64
	Part  int
	Key   Key
	Raise []Register // of this process, of earlier ones of this node, and of dead ones that the counter holds lower
	Seed  []Register // of others
	Level Level      // to be kept beside them; At zero: none

	Expire bool // set anew how long the total is kept
	Epoch  bool // ask for the part's epoch, too
}

// Cost is how many commands the call takes.
func (c Call) Cost() int {
	n := 1 + len(c.Seed)
	for _, also := range []bool{len(c.Raise) > 0 || !c.Level.At.IsZero(), c.Expire, c.Epoch} {
		if also {
			n++
		}
	}
	return n
}

// Tell sends registers to another node; they may be lost.
type Tell struct {
	To        int
	Registers []Register
}

// Restore says how full a customer's store is, to a node that can't know: its
// process is young, or it may hear none of the others.
type Restore struct {
	Customer string
	Units    float64
}

// Note is for the operators.
type Note struct {
	Part  int
	State State
	Text  string
}

func (Call) action()    {}
func (Tell) action()    {}
func (Restore) action() {}
func (Note) action()    {}

// Answer is what the counter said to a Call.
type Answer struct {
	Failed    bool       // it gave none: the call may or may not have counted
	Epoch     string     // drawn anew whenever the part starts empty; "": not asked for
	Registers []Register // before the call raised any
	Level     Level
}

// State is what is believed of one part of the counter.
type State int

// The states.
const (
	Unknown  State = iota // not asked yet
	Sound                 // it holds what it should
	Silent                // it gives no answer
	Emptied               // it lost what it held
	Replaced              // another one answers in its place
	Behind                // it holds an old copy
	Split                 // it lacks what others say they added
)

func (s State) String() string {
	return [...]string{"unknown", "sound", "silent", "emptied", "replaced", "behind", "split"}[s]
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

// customer is what outlives windows.
type customer struct {
	name  string
	plan  Plan
	peers []int
	level Level // by all that is known here
	known bool  // the level rests on the counter or on long enough a time
	began time.Time
	seen  time.Time
	now   *account
}

// call is one call out.
type call struct {
	a   *account
	own []Register
}

// part is one part of the counter.
type part struct {
	state    State
	epoch    string
	asked    time.Time // when the epoch was last asked for
	doubt    bool      // totals were lost, it is not told yet how
	lost     bool      // gone,
	lower    bool      // or lower than they were
	evidence string
	okAt     time.Time // last answer
	askAt    time.Time // not before
	wait     time.Duration
	good     int // answers in a row without a fault
	lacks    int // answers in a row that lack what peers added
	failed   int // calls in a row without an answer
}

// round lists the accounts of a part, to be looked at in turn.
type round struct {
	list []*account
	next int
}

// Tally is one node's.
type Tally struct {
	set       Settings
	customers map[string]*customer
	accounts  map[Key]*account
	windows   map[int64][]*account
	rounds    []round        // of each part
	latest    map[int]uint64 // the last process known of each node
	dirty     []*account     // something of own registers is not as storage holds it
	dropped   []Register     // that storage holds, of accounts that are gone
	recent    []*account     // used since the last sweep
	lastW     int64          // window of the last sweep
	wanting   []*account     // want a call
	untold    []*account     // have news for peers
	calls     map[uint64]*call
	nextID    uint64
	parts     []part
	budget    float64 // calls
	mail      float64
	at        time.Time
	start     time.Time // of this process
	swept     time.Time
	heardAt   time.Time // the last word of a peer
	acts      []Action
}

// New returns a Tally that knows nothing yet.
func New(s Settings) *Tally {
	return &Tally{set: s, customers: map[string]*customer{}, accounts: map[Key]*account{}, calls: map[uint64]*call{}, latest: map[int]uint64{s.Me.Node: s.Me.Incarnation},
		windows: map[int64][]*account{}, rounds: make([]round, max(1, s.Parts)), parts: make([]part, max(1, s.Parts)), budget: s.Calls, mail: s.Mail}
}

// Share sets the calls a second that this node may make from now on.
func (t *Tally) Share(calls float64) { t.set.Calls = calls }

// Recall puts back what storage held: own registers, of this node's earlier
// processes, are raised in the counter again. It comes before anything else.
func (t *Tally) Recall(now time.Time, list []Register) {
	for _, r := range list {
		a := t.account(now, r.Key, Plan{})
		if g := a.reg(r.Owner); r.Units > g.units {
			g.units, g.heard = r.Units, now
			t.want(now, a)
		}
		if g := a.reg(r.Owner); r.Owner.Node == t.set.Me.Node {
			g.stored = r.Units
			t.soil(a)
		}
	}
}

func (t *Tally) window(now time.Time) int64 { return now.UnixNano() / int64(t.set.Window) }

// Part is the part of the counter that holds a customer, by its name.
func (t *Tally) Part(name string) int {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h % uint32(len(t.parts)))
}

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

func (a *account) reg(o Owner) *register {
	g := a.regs[o]
	if g == nil {
		g = &register{}
		a.regs[o] = g
	}
	return g
}

// Seen tells of a request of a customer, before it is decided on: one that was
// never seen is asked for at once.
func (t *Tally) Seen(now time.Time, name, plan string, peers []int) []Action {
	c := t.customers[name]
	if c != nil && c.now.recent && c.now.key.Window == t.window(now) {
		c.seen = now
		return nil
	}
	t.acts = nil
	c = t.touch(now, name, plan, peers)
	if p := &t.parts[t.Part(name)]; !c.known && !c.now.queued && !c.now.calling && c.now.asked.IsZero() {
		if t.budget >= 1 && len(t.calls) < mostCalls && p.state != Silent {
			t.send(now, c.now, t.Part(name))
		} else {
			t.want(now, c.now)
		}
	}
	return t.acts
}

// touch finds a customer and its account of now.
func (t *Tally) touch(now time.Time, name, plan string, peers []int) *customer {
	c := t.customers[name]
	if t.start.IsZero() {
		t.start = now
	}
	if c == nil {
		p := t.set.Rates[plan]
		c = &customer{name: name, plan: p, peers: peers, level: Level{p.Burst, now}, began: now}
		t.customers[name] = c
	}
	c.seen, c.peers = now, peers
	if w := t.window(now); c.now == nil || c.now.key.Window != w {
		if c.now != nil {
			c.now.newest = false
		}
		c.now = t.account(now, Key{name, w}, c.plan)
		c.now.plan, c.now.peers, c.now.newest = c.plan, peers, true
	}
	if !c.now.recent {
		c.now.recent = true
		t.recent = append(t.recent, c.now)
	}
	return c
}

// Passed tells of units that this node has passed for a customer.
func (t *Tally) Passed(now time.Time, name, plan string, peers []int, units float64) {
	c := t.touch(now, name, plan, peers)
	n := Milli(units*1000 + 0.5)
	g := c.now.reg(t.set.Me)
	g.units, g.heard = g.units+n, now
	t.soil(c.now)
	c.use(now, n)
	t.want(now, c.now)
	if !c.now.untold && len(c.now.peers) > 1 {
		c.now.untold = true
		t.untold = append(t.untold, c.now)
	}
}

// use takes units off a customer's level, filled up to now.
func (c *customer) use(now time.Time, n Milli) {
	c.fill(now)
	c.level.Units = max(0, c.level.Units-float64(n)/1000)
}

// levelAt is how full the store is by now, as far as is known.
func (c *customer) levelAt(now time.Time) float64 {
	return min(c.plan.Burst, c.level.Units+c.plan.Rate*max(0, now.Sub(c.level.At).Seconds()))
}

func (c *customer) fill(now time.Time) {
	if dt := now.Sub(c.level.At).Seconds(); dt > 0 {
		c.level.Units = min(c.plan.Burst, c.level.Units+c.plan.Rate*dt)
		c.level.At = now
	}
	// By now whatever was used before this process began is filled up again.
	if c.plan.Rate > 0 && now.Sub(c.began).Seconds() > c.plan.Burst/c.plan.Rate {
		c.known = true
	}
}

// want puts an account among those that want a call.
func (t *Tally) want(now time.Time, a *account) {
	a.changed = true
	if !a.queued && !a.calling {
		a.queued, a.since = true, now
		t.wanting = append(t.wanting, a)
	}
}

// Tick is to be called some times a second: it makes the calls and messages
// that the budgets allow.
func (t *Tally) Tick(now time.Time) []Action {
	t.acts = nil
	dt := min(1, max(0, now.Sub(t.at).Seconds()))
	t.at = now
	if t.start.IsZero() {
		t.start = now
	}
	t.budget = min(max(1, t.set.Calls), t.budget+t.set.Calls*dt)
	t.mail = min(max(1, t.set.Mail), t.mail+t.set.Mail*dt)
	if t.deaf(now) {
		for _, a := range t.recent {
			if a.newest && !a.queued && !a.calling && len(a.peers) > 1 && now.Sub(a.asked) > deafRefresh {
				t.want(now, a)
			}
		}
	}
	t.call(now)
	t.tell()
	if now.Sub(t.swept) > refresh {
		t.swept = now
		t.sweep(now)
	}
	return t.acts
}

// deaf tells whether this node may hear none of the others: the counter is the
// witness then of what they pass.
func (t *Tally) deaf(now time.Time) bool {
	return now.Sub(t.heardAt) > deafAfter && now.Sub(t.start) > deafAfter
}

// call makes calls for those that want one: where most is not in the counter
// first, against what the plan lets pass at once, then who waits longest.
func (t *Tally) call(now time.Time) {
	if len(t.wanting) == 0 || t.budget < 1 || len(t.calls) >= mostCalls {
		return
	}
	h := make(byUrgency, 0, len(t.wanting))
	deaf := t.deaf(now)
	left := t.wanting[:0]
	for _, a := range t.wanting {
		if now.Before(t.parts[t.Part(a.key.Customer)].askAt) {
			left = append(left, a)
			continue
		}
		u := now.Sub(a.since).Seconds()
		if g := a.regs[t.set.Me]; g != nil {
			u += float64(g.units-g.inCtr) / 1000 / (a.plan.Burst + 1)
		}
		if a.asked.IsZero() {
			u++
		}
		if c := t.customers[a.key.Customer]; deaf && c != nil && a.newest && c.plan.Burst > 0 {
			u += nearQuota * (1 - c.levelAt(now)/c.plan.Burst) // who is near its quota is decided by it
		}
		h = append(h, urgent{u, a})
	}
	heap.Init(&h)
	for len(h) > 0 && t.budget >= 1 && len(t.calls) < mostCalls {
		a := heap.Pop(&h).(urgent).a
		num := t.Part(a.key.Customer)
		p := &t.parts[num]
		if now.Before(p.askAt) {
			left = append(left, a)
			continue
		}
		a.queued = false
		if p.state == Silent {
			p.askAt = now.Add(p.wait) // one call finds out
		}
		t.send(now, a, num)
	}
	for _, u := range h {
		left = append(left, u.a)
	}
	clear(t.wanting[len(left):])
	t.wanting = left
}

// byUrgency is a heap: few of many wanting get a call.
type byUrgency []urgent

type urgent struct {
	by float64
	a  *account
}

func (h byUrgency) Len() int      { return len(h) }
func (h byUrgency) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *byUrgency) Push(x any)   { *h = append(*h, x.(urgent)) }

func (h byUrgency) Less(i, k int) bool {
	if h[i].by != h[k].by {
		return h[i].by > h[k].by
	}
	a, b := h[i].a.key, h[k].a.key
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Window, b.Window)) < 0
}

func (h *byUrgency) Pop() any {
	old := *h
	u := old[len(old)-1]
	*h = old[:len(old)-1]
	return u
}

func (t *Tally) send(now time.Time, a *account, p int) {
	t.nextID++
	c := Call{ID: t.nextID, Part: p, Key: a.key, Expire: a.asked.IsZero()}
	if now.Sub(t.parts[p].asked) > epochEvery {
		c.Epoch, t.parts[p].asked = true, now
	}
	for _, o := range a.owners() {
		g := a.regs[o]
		if g.inCtr >= g.units {
			continue
		}
		c.Expire = c.Expire || g.inCtr < 0
		r := Register{a.key, o, g.units}
		if o.Node == t.set.Me.Node || t.fallen(a, o, g) {
			c.Raise = append(c.Raise, r)
		} else if g.inCtr < 0 || !g.at.IsZero() && now.Sub(g.at) > settle {
			c.Seed = append(c.Seed, r)
		}
	}
	if cu := t.customers[a.key.Customer]; cu != nil && cu.known && a.newest {
		cu.fill(now)
		c.Level = cu.level
	}
	t.budget -= float64(c.Cost())
	a.calling, a.changed = true, false
	t.calls[c.ID] = &call{a, c.Raise}
	t.acts = append(t.acts, c)
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

// Answered tells what came of a Call.
func (t *Tally) Answered(now time.Time, id uint64, ans Answer) []Action {
	t.acts = nil
	c := t.calls[id]
	if c == nil {
		return nil
	}
	a := c.a
	delete(t.calls, id)
	a.calling = false
	p := &t.parts[t.Part(a.key.Customer)]
	if ans.Failed {
		t.noAnswer(now, a, p)
		return t.acts
	}
	t.judge(now, a, p, &ans)
	for _, r := range ans.Registers {
		t.merge(now, a, r, false)
	}
	for _, r := range c.own { // raised since
		if g := a.regs[r.Owner]; g != nil {
			g.inCtr = r.Units
		}
	}
	a.asked = now
	t.soil(a)
	if c := t.customers[a.key.Customer]; c != nil && !c.known && a.newest {
		t.learn(now, c, ans.Level)
	} else if c != nil && a.newest && t.deaf(now) {
		c.fill(now)
		t.acts = append(t.acts, Restore{c.name, c.level.Units})
	}
	if a.changed || t.missing(a) {
		t.want(now, a)
	}
	return t.acts
}

// learn takes a level from the counter, which a node that just started can't
// know. Where the counter has none, and whoever passed units before this window
// or this process has had them filled up since, the window's totals tell.
func (t *Tally) learn(now time.Time, c *customer, l Level) {
	if l.At.IsZero() {
		whole := time.Duration(c.plan.Burst / max(c.plan.Rate, 1e-9) * float64(time.Second))
		age := max(now.Sub(t.start), time.Duration(now.UnixNano()%int64(t.set.Window)))
		c.known = age > whole
		return
	}
	if l.At.After(now.Add(time.Second)) {
		return
	}
	mine := Milli(0)
	if g := c.now.regs[t.set.Me]; g != nil {
		mine = g.units
	}
	c.level = l
	c.fill(now)
	c.level.Units = max(0, c.level.Units-float64(mine)/1000)
	c.known = true
	t.acts = append(t.acts, Restore{c.name, c.level.Units})
}

// missing tells whether registers that are this node's to raise are not in the
// counter as they should be.
func (t *Tally) missing(a *account) bool {
	for o, g := range a.regs {
		if o.Node == t.set.Me.Node && g.inCtr < g.units || t.fallen(a, o, g) {
			return true
		}
	}
	return false
}

// fallen tells whether the counter holds a register of a dead process lower than
// it was. Its owner raises it no more: who knew it does. Two that knew different
// amounts may undo each other once; the larger stands at the end.
func (t *Tally) fallen(a *account, o Owner, g *register) bool {
	return !a.asked.IsZero() && g.inCtr > 0 && g.inCtr < g.units && o.Incarnation < t.latest[o.Node]
}

// noAnswer: the call may have counted. Registers make it harmless to ask again.
func (t *Tally) noAnswer(now time.Time, a *account, p *part) {
	p.failed++
	p.good = 0
	if p.state != Silent && p.failed > 1 && now.Sub(p.okAt) > silentAfter {
		t.become(a, p, Silent, fmt.Sprintf("%d calls in a row without an answer", p.failed))
		p.wait = retryFirst
	} else if p.state == Silent {
		p.wait = min(2*p.wait, retryMost)
	}
	if p.state == Silent {
		p.askAt = now.Add(p.wait)
	}
	t.want(now, a)
}

// judge compares an answer with what must be in it.
func (t *Tally) judge(now time.Time, a *account, p *part, ans *Answer) {
	p.okAt, p.askAt, p.wait, p.failed = now, time.Time{}, 0, 0
	in := map[Owner]Milli{}
	for _, r := range ans.Registers {
		in[r.Owner] = r.Units
	}
	lost, lower := 0, 0
	var most Milli
	for _, o := range a.owners() {
		g := a.regs[o]
		if g.inCtr > 0 && in[o] < g.inCtr {
			if most = max(most, g.inCtr-in[o]); in[o] == 0 {
				lost++
			} else {
				lower++
			}
		}
	}
	lacks := 0
	for o, g := range a.regs {
		if g.at.IsZero() {
			continue
		}
		if in[o] >= g.proof {
			g.at = time.Time{}
		} else if now.Sub(g.at) > settle {
			lacks++
		}
	}
	fresh := p.epoch != "" && ans.Epoch != "" && ans.Epoch != p.epoch
	p.epoch = cmp.Or(ans.Epoch, p.epoch)
	evidence := func(what string) string {
		return fmt.Sprintf("%s: of %s, window %d, %d totals were gone and %d lower, by %.3f units at most", what, a.key.Customer,
			a.key.Window, lost, lower, float64(most)/1000)
	}
	refilled := fresh || lost > 0 || lower > 0
	if refilled {
		t.refill(now, a, p)
	}
	// Which loss it is shows with the epoch, which is asked for next where this
	// answer did not bring it.
	if refilled {
		p.lost = p.lost || lost > 0 || len(in) == 0
		p.doubt, p.lower, p.evidence = true, p.lower || lower > 0, evidence("totals lost")
	}
	switch {
	case p.doubt && ans.Epoch == "":
		p.asked = time.Time{}
	case p.doubt:
		s := Behind
		if fresh && p.lost && !p.lower {
			s = Emptied
		} else if fresh {
			s = Replaced
		}
		p.doubt, p.lower, p.lost = false, false, false
		t.become(a, p, s, p.evidence)
	case lacks > 0:
		p.good = 0
		if p.lacks++; p.lacks >= splitAfter {
			t.become(a, p, Split, fmt.Sprintf("of %s, window %d, %d nodes say they added what is not there", a.key.Customer,
				a.key.Window, lacks))
		}
	default:
		p.lacks = 0
		if p.good++; p.good >= soundAfter || p.state == Unknown {
			t.become(a, p, Sound, "answers hold all they should")
		}
	}
	// What the answer holds is what is in the counter, also where it is less.
	for o, g := range a.regs {
		if g.inCtr = in[o]; refilled && g.inCtr == 0 {
			g.inCtr = -1
		}
	}
}

// refill: nothing that the part held is taken for granted; what is known here
// goes in again as the budget allows, own registers by this node, others' only
// where there are none.
func (t *Tally) refill(now time.Time, cause *account, p *part) {
	p.good, p.lacks = 0, 0
	num := t.Part(cause.key.Customer)
	for _, a := range t.ordered() {
		if t.Part(a.key.Customer) != num {
			continue
		}
		for _, g := range a.regs {
			g.inCtr = min(g.inCtr, 0) - 1 // marked as to be put in again
		}
		t.soil(a)
		if a != cause {
			t.want(now, a)
		}
	}
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

func (t *Tally) become(a *account, p *part, s State, text string) {
	if p.state == s {
		return
	}
	p.state = s
	t.acts = append(t.acts, Note{t.Part(a.key.Customer), s, text})
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

// sweep asks again for what is busy, and of each part for one total more, so
// that a loss is noticed also where nothing is passed. Its work follows those
// used since the last one; all are looked at once in a window.
func (t *Tally) sweep(now time.Time) {
	w := t.window(now)
	for _, a := range t.recent {
		a.recent = false
		if a.newest && !a.queued && !a.calling && now.Sub(a.asked) > refresh {
			t.want(now, a)
		}
	}
	clear(t.recent)
	t.recent = t.recent[:0]
	for i := range t.rounds {
		if a := t.rounds[i].turn(w - 1); a != nil && !a.queued && !a.calling {
			t.want(now, a)
		}
	}
	if w == t.lastW {
		return
	}
	t.lastW = w
	for k, list := range t.windows {
		if k >= w-1 {
			continue
		}
		t.windows[k] = slices.DeleteFunc(list, func(a *account) bool {
			if over := !t.missing(a) || k < w-int64(t.set.Keep); !over || a.calling || a.queued || a.untold || a.newest {
				return false
			}
			delete(t.accounts, a.key)
			a.dropped = true
			for o, g := range a.regs {
				if g.stored > 0 {
					t.dropped = append(t.dropped, Register{a.key, o, 0})
				}
			}
			return true
		})
		if len(t.windows[k]) == 0 {
			delete(t.windows, k)
		}
	}
	for name, c := range t.customers {
		if now.Sub(c.seen) > forgetAfter {
			c.now.newest = false
			delete(t.customers, name)
		}
	}
}

// turn is the next account of a window not before one, or nil; those dropped
// leave the round. It looks at a few only.
func (r *round) turn(window int64) *account {
	for range 64 {
		if len(r.list) == 0 {
			return nil
		}
		if r.next >= len(r.list) {
			r.next = 0
		}
		a := r.list[r.next]
		if a.dropped {
			last := len(r.list) - 1
			r.list[r.next], r.list[last] = r.list[last], nil
			r.list = r.list[:last]
			continue
		}
		r.next++
		if a.key.Window >= window {
			return a
		}
	}
	return nil
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

// State is what is believed of a part.
func (t *Tally) State(part int) State { return t.parts[part].state }

// soil puts an account among those to be compared with storage.
func (t *Tally) soil(a *account) {
	if !a.dirty && !a.dropped {
		a.dirty = true
		t.dirty = append(t.dirty, a)
	}
}

// Changes lists what storage must change to hold this node's registers that the
// counter has not confirmed, and those of windows still open: registers to put, and
// those with 0 units to take out. It looks at so many accounts at most, so that the
// loop is not held up; more tells that there are others.
func (t *Tally) Changes(now time.Time, most int) (list []Register, more bool) {
	w := t.window(now)
	n := min(most, len(t.dirty))
	for _, a := range t.dirty[:n] {
		a.dirty = false
		if a.dropped {
			continue // its registers are in t.dropped
		}
		for o, g := range a.regs {
			if o.Node != t.set.Me.Node {
				continue
			}
			units := g.units
			if g.inCtr >= g.units && a.key.Window < w-1 {
				units = 0
			}
			if units != g.stored {
				g.stored = units
				list = append(list, Register{a.key, o, units})
			}
		}
	}
	clear(t.dirty[:n])
	if t.dirty = t.dirty[n:]; len(t.dirty) == 0 {
		t.dirty = nil
	}
	k := min(most, len(t.dropped))
	list = append(list, t.dropped[:k]...)
	t.dropped = t.dropped[k:]
	return list, len(t.dirty) > 0 || len(t.dropped) > 0
}

// Len is the number of customers and of totals in memory, and of those that
// want a call.
func (t *Tally) Len() (customers, totals, wanting int) {
	return len(t.customers), len(t.accounts), len(t.wanting)
}
