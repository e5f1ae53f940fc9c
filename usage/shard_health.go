package usage

import (
	"cmp"
	"fmt"
	"time"
)

// Tuned values of shard health.
const (
	silentAfter = time.Second            // without an answer a part is silent
	retryFirst  = 250 * time.Millisecond // a silent part is asked again after this,
	retryMost   = 2 * time.Second        // doubled up to this
	soundAfter  = 3                      // good answers in a row that end a fault
	splitAfter  = 3                      // answers in a row that lack what peers say they added
	settle      = 2 * time.Second        // what a peer said must be in the counter after this
)

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

// State is what is believed of a part.
func (t *Tally) State(part int) State { return t.parts[part].state }

// Part is the part of the counter that holds a customer, by its name.
func (t *Tally) Part(name string) int {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h % uint32(len(t.parts)))
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

func (t *Tally) become(a *account, p *part, s State, text string) {
	if p.state == s {
		return
	}
	p.state = s
	t.acts = append(t.acts, Note{t.Part(a.key.Customer), s, text})
}
