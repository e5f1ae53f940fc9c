package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch0 = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func nodes(names ...string) (list []Node) {
	for i, n := range names {
		list = append(list, Node{n, fmt.Sprintf("10.0.0.%d:%d", i, len(n))})
	}
	return list
}

func TestRosters(t *testing.T) {
	for _, c := range []struct {
		r    Roster
		want string
	}{
		{Roster{Epoch: 1, Nodes: nodes("a", "b")}, ""},
		{Roster{Epoch: 2, Nodes: nodes("a"), Leaving: []Leaver{{1, Node{"b", "x"}}}}, ""},
		{Roster{Nodes: nodes("a")}, "epoch is 0"},
		{Roster{Epoch: 1}, "no node"},
		{Roster{Epoch: 1, Nodes: nodes("a", "a")}, "stands twice"},
		{Roster{Epoch: 1, Nodes: []Node{{"a", "x"}, {"b", "x"}}}, "another's"},
		{Roster{Epoch: 2, Nodes: nodes("a"), Leaving: []Leaver{{1, Node{"a", "x"}}}}, "stands twice"},
		{Roster{Epoch: 2, Nodes: nodes("a", "b"), Leaving: []Leaver{{1, Node{"c", "x"}}}}, "must be gone first"},
		{Roster{Epoch: 2, Nodes: nodes("a"), Gone: []string{"a"}}, "in the roster and gone"},
	} {
		err := c.r.Check()
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.r, err, c.want)
		}
	}
}

// The roster that follows keeps who is leaving, and numbers.
func TestNext(t *testing.T) {
	r := Roster{Epoch: 1, Nodes: nodes("a", "b", "c")}
	r, err := r.Next(nodes("a"), nil)
	if err != nil || len(r.Leaving) != 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	if _, err := r.Next(nodes("a", "d"), nil); err == nil {
		t.Error("the number of one that is leaving was given away")
	}
	if _, err := r.Next(nodes("a", "c"), nil); err == nil {
		t.Error("a node came back under another number")
	}
	r, err = r.Next(nodes("a", "d"), []string{"b"})
	if err != nil || len(r.Leaving) != 1 || r.Leaving[0].Name != "c" || r.Leaving[0].Number != 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	if r, err = r.Next(nodes("a", "d", "c"), nil); err != nil || len(r.Leaving) != 0 || r.Epoch != 4 {
		t.Fatalf("%+v, %v", r, err)
	}
}

// process is one process of a node, with what the module was last told.
type process struct {
	m       *Member
	g, was  int
	stopped bool
	wrong   int // notes that need someone
}

// machine is where a node's processes run.
type machine struct {
	name string
	disk Memory
	file Roster // as this machine has it
	p    *process
}

type letter struct {
	from, to int
	h        Hello
}

type world struct {
	t        *rapid.T
	now      time.Time
	machines map[string]*machine
	roster   Roster // the operators' latest
	mail     []letter
	next     int
}

func (w *world) carry(a *machine, acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case Fleet:
			// As the module does: an older size before, while a change is under way, stays.
			if act.Was == 0 {
				a.p.was = 0
			} else if a.p.was == 0 {
				a.p.was = act.Was
			}
			a.p.g = act.Gateways
		case Remember:
			a.disk = act.Memory
		case Tell:
			w.mail = append(w.mail, letter{a.p.m.Number(), act.To, act.Hello})
		case Note:
			if act.Wrong {
				a.p.wrong++
			}
		}
	}
}

func part(number, gateways int) float64 {
	if number < 0 || gateways <= 0 || number >= gateways {
		return 0
	}
	return 1 / float64(gateways)
}

// holds is the part of a ceiling that a machine's process may let pass.
func (a *machine) holds() float64 {
	if a.p == nil || a.p.g == 0 {
		return 0
	}
	now := part(a.p.m.Number(), a.p.g)
	if a.p.was == 0 {
		return now
	}
	return min(now, part(a.p.m.Number(), a.p.was))
}

func (w *world) check() {
	sum := 0.0
	acting := map[int]string{}
	for _, name := range w.names() {
		a := w.machines[name]
		sum += a.holds()
		if a.holds() > 0 {
			if other, twice := acting[a.p.m.Number()]; twice {
				w.t.Fatalf("%s and %s act under number %d", name, other, a.p.m.Number())
			}
			acting[a.p.m.Number()] = name
		}
	}
	if sum > 1+1e-9 {
		w.t.Fatalf("the parts sum to %v", sum)
	}
}

func (w *world) names() (list []string) {
	for n := range w.machines {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

func (w *world) start(a *machine) {
	a.p = &process{m: New(Settings{Name: a.name, Memory: a.disk})}
	w.carry(a, a.p.m.Listed())
	w.carry(a, a.p.m.Roster(w.now, a.file))
	w.carry(a, a.p.m.Serve())
}

// at is the machine that a number's letters reach by the latest roster, or, for
// those on their way out, by the one before.
func (w *world) at(number int) *machine {
	if number < len(w.roster.Nodes) {
		return w.machines[w.roster.Nodes[number].Name]
	}
	for _, l := range w.roster.Leaving {
		if l.Number == number {
			return w.machines[l.Name]
		}
	}
	return nil
}

func (w *world) deliver(i int) {
	l := w.mail[i]
	if a := w.at(l.to); a != nil && a.p != nil && !a.p.stopped {
		w.carry(a, a.p.m.Heard(w.now, l.from, l.h))
	}
}

func (w *world) tick() {
	w.now = w.now.Add(250 * time.Millisecond)
	for _, name := range w.names() {
		if a := w.machines[name]; a.p != nil && !a.p.stopped {
			w.carry(a, a.p.m.Tick(w.now))
		}
	}
}

// Nodes join, leave, are replaced, crash, stop and go on; rosters reach machines
// late and some epochs never; letters are lost, late, doubled and out of order. At no
// moment do two act under one number, or parts sum to more than the whole. Once it is
// quiet all agree, and the parts sum to the whole again.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: epoch0, machines: map[string]*machine{}}
		add := func() Node {
			w.next++
			n := Node{fmt.Sprint("n", w.next), fmt.Sprint("10.0.0.1:", w.next)}
			w.machines[n.Name] = &machine{name: n.Name}
			return n
		}
		w.roster = Roster{Epoch: 1, Nodes: []Node{add(), add(), add()}}
		for _, name := range w.names() {
			w.machines[name].file = w.roster
			w.start(w.machines[name])
		}
		pick := func(t *rapid.T) *machine { return w.machines[rapid.SampledFrom(w.names()).Draw(t, "machine")] }
		// An operator changes the roster by epochs, whoever has read the last one.
		change := func(list []Node, gone ...string) {
			r, err := w.roster.Next(list, gone)
			if err != nil {
				t.Fatal(err)
			}
			w.roster = r
		}
		// A number that one who leaves may still hold can only be its own again.
		join := func(list []Node) []Node {
			for _, l := range w.roster.Leaving {
				if l.Number == len(list) {
					return append(list, l.Node)
				}
			}
			return append(list, add())
		}
		t.Repeat(map[string]func(*rapid.T){
			"grow": func(t *rapid.T) {
				n := rapid.IntRange(1, 3).Draw(t, "by")
				list := slices.Clone(w.roster.Nodes)
				for range n {
					list = join(list)
				}
				change(list)
			},
			"shrink": func(t *rapid.T) {
				if n := len(w.roster.Nodes); n > 1 {
					change(w.roster.Nodes[:n-rapid.IntRange(1, n-1).Draw(t, "by")])
				}
			},
			"replace": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.roster.Nodes)-1).Draw(t, "number")
				old := w.machines[w.roster.Nodes[i].Name]
				old.p = nil // the operators made sure
				list := slices.Clone(w.roster.Nodes)
				list[i] = add()
				change(list, old.name)
				delete(w.machines, old.name)
			},
			"read": func(t *rapid.T) {
				a := pick(t)
				if a.file = w.roster; a.p != nil && !a.p.stopped {
					w.carry(a, a.p.m.Roster(w.now, a.file))
				}
			},
			"start": func(t *rapid.T) {
				if a := pick(t); a.p == nil && a.file.Epoch > 0 {
					w.start(a)
				}
			},
			"kill": func(t *rapid.T) { pick(t).p = nil },
			"stop": func(t *rapid.T) {
				if a := pick(t); a.p != nil {
					a.p.stopped = !a.p.stopped
				}
			},
			"drain": func(t *rapid.T) {
				if a := pick(t); a.p != nil && !a.p.stopped {
					w.carry(a, a.p.m.Drain())
				}
			},
			"tick": func(t *rapid.T) { w.tick() },
			"mail": func(t *rapid.T) {
				for n := len(w.mail); n > 0; n-- {
					i := rapid.IntRange(0, len(w.mail)-1).Draw(t, "letter")
					switch rapid.IntRange(0, 3).Draw(t, "fate") {
					case 0: // lost
						w.mail = slices.Delete(w.mail, i, i+1)
					case 1: // and later once more
						w.deliver(i)
					default:
						w.deliver(i)
						w.mail = slices.Delete(w.mail, i, i+1)
					}
					w.check()
				}
			},
			"": func(t *rapid.T) { w.check() },
		})
		// Quiet: all of the roster run, have read it and hear each other.
		inRoster := func(name string) bool { return w.roster.number(name) >= 0 }
		for _, name := range w.names() {
			a := w.machines[name]
			if !inRoster(name) {
				a.p = nil // taken away; if it never said so, it is vouched for below
				continue
			}
			if a.file = w.roster; a.p == nil {
				w.start(a)
			}
			a.p.stopped = false
			w.carry(a, a.p.m.Roster(w.now, a.file))
		}
		settle := func() {
			for range 60 {
				w.tick()
				for mail := w.mail; len(mail) > 0; mail = nil {
					w.mail = append([]letter(nil), mail...)
					n := len(w.mail)
					for i := range n {
						w.deliver(i)
					}
					w.mail = w.mail[n:]
				}
				w.check()
			}
		}
		settle()
		var gone []string // what left and never said so is vouched for
		for _, l := range w.roster.Leaving {
			gone = append(gone, l.Name)
		}
		change(w.roster.Nodes, gone...)
		for range 3 { // an epoch each, since one waits for the last
			for _, name := range w.names() {
				if a := w.machines[name]; a.p != nil {
					a.file = w.roster
					w.carry(a, a.p.m.Roster(w.now, a.file))
				}
			}
			settle()
		}
		sum := 0.0
		for _, n := range w.roster.Nodes {
			a := w.machines[n.Name]
			sum += a.holds()
			if !a.p.m.Over() || a.p.g != len(w.roster.Nodes) {
				t.Fatalf("%s: over %v, %d of %d nodes; missing %v", n.Name, a.p.m.Over(), a.p.g, len(w.roster.Nodes), a.p.m.missing())
			}
		}
		if sum < 1-1e-9 {
			t.Fatalf("the parts sum to %v once all is quiet", sum)
		}
	})
}

// A change that a dead node holds up is said so, and ends when it is vouched for.
func TestHeldUp(t *testing.T) {
	m := New(Settings{Name: "a"})
	said := func(acts []Action, what string) bool {
		return slices.ContainsFunc(acts, func(a Action) bool {
			n, ok := a.(Note)
			return ok && strings.Contains(n.Text, what)
		})
	}
	now := epoch0
	m.Roster(now, Roster{Epoch: 1, Nodes: nodes("a", "b", "c")})
	r := *m.roster
	change := func(list []Node, gone ...string) []Action {
		var err error
		if r, err = r.Next(list, gone); err != nil {
			t.Fatal(err)
		}
		return m.Roster(now, r)
	}
	change(nodes("a", "b", "c", "d"))
	m.Heard(now, 1, Hello{Epoch: 2, Stage: Smaller})
	m.Heard(now, 3, Hello{Epoch: 2, Stage: Smaller})
	now = now.Add(31 * time.Second)
	if !said(m.Tick(now), "numbers [2] have not said it") || m.Over() {
		t.Error("nobody is told who holds the change up")
	}
	if change(nodes("a", "b", "c", "d", "e")); m.Over() || m.roster.Epoch != 2 {
		t.Error("an epoch was taken before the last change was over")
	}
	if !said(m.Roster(now, Roster{Epoch: 1, Nodes: nodes("a")}), "left aside") {
		t.Error("an old roster was taken")
	}
	if change(nodes("a", "b", "f", "d"), "c"); m.roster.Epoch != 4 {
		t.Error("the change was not over when who held it up was vouched for")
	}
	for _, s := range []Stage{Read, Smaller} {
		m.Heard(now, 1, Hello{Epoch: 4, Stage: s})
		m.Heard(now, 2, Hello{Epoch: 4, Stage: s})
		m.Heard(now, 3, Hello{Epoch: 4, Stage: s})
	}
	if m.Over() {
		t.Error("over without number 4, which leaves")
	}
	if m.Heard(now, 4, Hello{Epoch: 3, Phase: Gone}); !m.Over() {
		t.Error("who has left holds the change up")
	}
}

// The life of a node goes one way.
func TestPhases(t *testing.T) {
	m := New(Settings{Name: "a"})
	if m.Serve(); m.Phase() != Starting {
		t.Error("serving before it is ready")
	}
	m.Listed()
	if m.Phase() != Starting {
		t.Error("ready without a roster")
	}
	m.Roster(epoch0, Roster{Epoch: 1, Nodes: nodes("a", "b")})
	if m.Phase() != Ready {
		t.Error("not ready")
	}
	m.Serve()
	if acts := m.Drain(); m.Phase() != Draining || len(acts) != 2 {
		t.Errorf("%v after %v", m.Phase(), acts)
	}
	if m.Serve(); m.Phase() != Draining {
		t.Error("a draining node serves again")
	}
	if m.End(); m.Phase() != Gone {
		t.Error("not gone")
	}
	other := New(Settings{Name: "x"})
	other.Listed()
	if other.Roster(epoch0, Roster{Epoch: 1, Nodes: nodes("a", "b")}); other.Phase() != Starting {
		t.Error("ready though it is in no roster")
	}
}

// A fleet of two grows to four and shrinks again. The two of the beginning take the
// second change before the first is over for them, or never read the first: what they
// hold must fit beside the parts that the others got by the first.
func TestTwoChanges(t *testing.T) {
	for variant := range 3 {
		missed, deaf := variant == 1, variant == 2
		rapid.Check(t, func(rt *rapid.T) {
			w := &world{t: rt, now: epoch0, machines: map[string]*machine{}}
			list := nodes("a", "b", "c", "d")
			w.roster = Roster{Epoch: 1, Nodes: list[:2]}
			for _, n := range list {
				w.machines[n.Name] = &machine{name: n.Name, file: w.roster}
			}
			read := func(names ...string) {
				for _, name := range names {
					a := w.machines[name]
					if a.file = w.roster; a.p == nil {
						w.start(a)
					}
					w.carry(a, a.p.m.Roster(w.now, a.file))
				}
				w.check()
			}
			// Words reach those named alone.
			mail := func(names ...string) {
				w.tick()
				for i, l := range w.mail {
					if a := w.at(l.to); a != nil && slices.Contains(names, a.name) {
						w.deliver(i)
						w.check()
					}
				}
				w.mail = nil
			}
			read("a", "b")
			second, err := w.roster.Next(list, nil)
			if err != nil {
				rt.Fatal(err)
			}
			w.roster = second
			if read("c", "d"); !missed {
				read("a", "b")
				if deaf {
					for range 3 {
						mail("a", "c", "d") // b hears nothing, and holds its old part
					}
					return
				}
				mail("a", "b") // both hold the smaller parts now, and don't know it of each other
				for range 3 {
					mail("c", "d") // for them the change is over
				}
			}
			third, err := second.Next(list[:2], nil)
			if err != nil {
				rt.Fatal(err)
			}
			w.roster = third
			read("a", "b")
			for range 3 {
				mail("c", "d")
			}
			if w.machines["c"].holds() == 0 {
				rt.Fatal("the test does not get where it means to")
			}
			read("c", "d")
			for range 3 {
				mail("a")
			}
			for range 6 {
				mail("a", "b", "c", "d")
			}
			if sum := w.machines["a"].holds() + w.machines["b"].holds(); sum < 1-1e-9 {
				rt.Fatalf("once all have heard the parts sum to %v", sum)
			}
		})
	}
}
