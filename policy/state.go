package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type customer struct {
	name   string
	hash   uint32
	plan   *Plan
	set    []*peerView // its other gateways
	n      float64     // its gateways, this one included
	held   []*request  // waiting, in arrival order
	out    int
	seen   time.Duration // its last request
	area   float64       // integral of out over the tick, for its mean
	areaAt time.Duration
	mean   float64

	at        time.Duration // time of the stores below
	store     float64       // estimate of the quota's store
	known     bool          // the estimate rests on more than a fresh start
	ceiling   float64       // own hard part of the ceiling
	passed    uint16        // running totals of units, told to peers
	rate      float64       // own asked units, decayed over demandSpan
	fresh     int           // ticks for which a change is still told
	told      uint32        // tick of the last report
	toldUnits uint16        // passed, as last told
	urgency   float64       // its place in the report
}

// peerView is what one other gateway last said of one customer.
type peerView struct {
	p       *peer
	at      time.Duration
	heard   bool
	inc     uint32
	out     float64
	held    float64
	passed  byte
	rate    float64 // asked units, decayed
	ceiling float64 // filling of its ceiling part, 0 to 1; below 0 unknown
}

type peer struct {
	num      int
	inc      uint32
	seq      uint32
	at       time.Duration
	heard    bool
	complete bool               // its last report named all customers with news
	outs     map[uint16]float64 // attempts out by server
	views    []*peerView        // what it said of each customer
}

type request struct {
	id       RequestID
	c        *customer
	cl       *class
	units    float64
	arrived  time.Duration
	deadline time.Duration
	attempts int
	srv      *server // of the attempt out; nil when none is
	sentAt   time.Duration
	load     float64 // the server's when sent to
	counted  bool    // has taken its units
	ran      bool    // an attempt may have run
	ranZone  string  // where and since when, for keyed classes
	ranCell  int
	ranAt    time.Duration
	over     bool
	stream   bool
	quit     bool    // its attempt was cancelled
	last     *server // of the attempt before
}

type class struct {
	Class
	mean float64 // seconds an idle server of the fleet takes
}

type server struct {
	Server
	hash   uint16
	out    int
	slow   float64 // latency against the fleet's, at equal load
	errs   float64 // average of errors
	okAt   time.Duration
	heard  float64         // attempts out there, as the peers last said
	oldest []*request      // attempts out, oldest first
	ghosts []time.Duration // when attempts were sent that were given up but may still run
	load   float64         // last reported load
	loadAt time.Duration
	fullAt map[*Plan]time.Duration // until then it is taken to turn this plan away
	bad    bool                    // ejected
	dead   bool                    // because it could not be reached
	until  time.Duration           // until then nothing is tried
	wait   time.Duration           // length of the next ejection
	trials int
	sends  []time.Duration // while cold: recent sends
}

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	set       Settings
	rng       *rand.Rand
	inc       uint32
	seq       uint32
	tick      time.Duration
	ticks     uint32
	begun     bool
	start     time.Duration
	now       time.Duration
	lastTick  time.Duration
	classes   map[string]*class
	plans     map[string]*Plan
	customers map[string]*customer
	byHash    map[uint32]*customer
	ring      []*customer
	waiting   []*customer
	reqs      map[RequestID]*request
	servers   map[ServerID]*server
	fleet     []*server
	peers     []*peer
	budget    float64
	out       int           // own attempts out, at all servers
	limit     float64       // most of them
	strain    float64       // average of latency over aim
	lackAt    time.Duration // when a request last found no server with room
	sendRate  float64       // own sends to warm servers, decayed over FallTime
	acts      []Action
	asked     bool
	loadCols  []int
	size      float64 // mean weight in the list
	mean      float64 // seconds an idle server takes, over all classes
	minAim    float64 // the shortest aim, in seconds
}

func (g *Gateway) do(a Action) { g.acts = append(g.acts, a) }

func (c *customer) count(now time.Duration, d int) {
	c.area += float64(c.out) * (now - c.areaAt).Seconds()
	c.areaAt = now
	c.out += d
}

// unhold takes the i-th request out of its customer's queue.
func (g *Gateway) unhold(c *customer, i int) {
	c.held = slices.Delete(c.held, i, i+1)
	c.fresh = repeatTicks
	if len(c.held) == 0 {
		g.waiting = slices.DeleteFunc(g.waiting, func(w *customer) bool { return w == c })
	}
}

func small(v float64) byte { return byte(min(math.Round(v), 255)) }

// size is a server's size against the fleet's mean, where the list tells it.
func (g *Gateway) sizeOf(s *server) float64 {
	if g.set.SizeKnown && s.Weight > 0 && g.size > 0 {
		return s.Weight / g.size
	}
	return 1
}

// newGateway returns a gateway with empty tables.
func newGateway(s Settings, seed uint64) *Gateway {
	g := &Gateway{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, plans: map[string]*Plan{}, customers: map[string]*customer{},
		byHash: map[uint32]*customer{}, reqs: map[RequestID]*request{}, servers: map[ServerID]*server{}}
	g.inc = g.rng.Uint32()
	for _, p := range s.Plans {
		g.plans[p.Name] = &p
	}
	for _, c := range s.Classes {
		g.classes[c.Name] = &class{Class: c}
	}
	for i := range s.Gateways {
		g.peers = append(g.peers, &peer{num: i})
	}
	for i, name := range s.ReportNames {
		if name == LoadActive || name == LoadWaiting {
			g.loadCols = append(g.loadCols, i)
		}
	}
	return g
}

// ejected counts the running servers, and those of them ejected as slow or failing.
func (g *Gateway) ejected() (bad, all int) {
	for _, s := range g.fleet {
		if s.State == Running {
			all++
			if s.bad && !s.dead {
				bad++
			}
		}
	}
	return bad, all
}

// sumLoads sums the peers' attempts out at each server; old counts are let go.
func (g *Gateway) sumLoads() {
	for _, s := range g.fleet {
		s.heard = 0
		for _, p := range g.peers {
			if !g.silent(p) {
				s.heard += p.outs[s.hash]
			}
		}
	}
}

// watch asks for the server list where it must be asked for, once.
func (g *Gateway) watch() {
	if g.set.MustAsk && !g.asked {
		g.asked = true
		g.do(Watch{})
	}
}

// forget drops the customers that have nothing out or held and made no
// request since a time.
func (g *Gateway) forget(since time.Duration) {
	g.ring = slices.DeleteFunc(g.ring, func(c *customer) bool {
		if c.seen >= since || c.out > 0 || len(c.held) > 0 {
			return false
		}
		if g.byHash[c.hash] == c {
			delete(g.byHash, c.hash)
		}
		for _, v := range c.set {
			v.p.views = slices.DeleteFunc(v.p.views, func(o *peerView) bool { return o == v })
		}
		return true
	})
	if len(g.ring) < len(g.customers) {
		clear(g.customers)
		for _, c := range g.ring {
			g.customers[c.name] = c
		}
	}
}
