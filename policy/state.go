package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type customer struct {
	key    uint64
	hash   uint32 // in reports
	plan   *quota
	first  int // its gateways: spread of them, counted round from first
	spread int
	nodes  int     // as asked for, whatever the number of gateways
	ask    []int   // the gateways that sum its counts, where this one does not
	part   float64 // of what is asked for fits, as its root said
	partAt time.Duration
	sums   bool             // others ask it here, as its root or deputy
	leases map[lease]leased // granted to others and not told of as ended
	set    []*peerView      // its other gateways
	n      float64          // its gateways, this one included
	held   []*request       // waiting, in arrival order
	out    int
	seen   time.Duration // its last request
	area   float64       // integral of out over the tick, for its mean
	areaAt time.Duration
	mean   float64

	at        time.Duration // time of the stores below
	store     float64       // estimate of the quota's store
	known     bool          // the estimate rests on more than a fresh start
	witness   time.Duration // when another witness last told the store, unheard as it was
	ceiling   float64       // own hard part of the ceiling
	passed    uint16        // running totals of units, told to peers
	rate      float64       // own asked units, decayed over demandSpan
	fresh     int           // ticks for which a change is still told
	told      uint32        // tick of the last report
	toldUnits uint16        // passed, as last told
	urgency   float64       // its place in the report
	stirs     bool          // in the list of those that ticks look at
	place     int           // in the ring
}

// quota is a plan with its place in the settings.
type quota struct {
	Plan
	no byte
}

// lease names a request that another gateway asked for.
type lease struct {
	from int
	tag  uint32
}

type leased struct {
	until time.Duration
	r     *request
}

// take takes a request's units from the stores.
func (c *customer) take(r *request) {
	c.store = max(0, c.store-r.units)
	if !r.granted {
		c.ceiling -= r.units
	}
	c.passed += uint16(r.units)
}

// record is what the fleet knows of a server for one class.
type record struct {
	errs  float64       // the watcher's average
	okAt  time.Duration // its last answer here
	bad   bool          // out of use for the class, until a time
	until time.Duration
	wait  time.Duration // after its last trial
	trial time.Duration // when the watcher may next try it
}

// peerView is what one other gateway last said of one customer.
type peerView struct {
	p      *peer
	at     time.Duration
	heard  bool
	inc    uint32
	out    float64
	held   float64
	passed uint16
	rate   float64 // asked units, decayed
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
	asks     float64 // with what chance it was asked for
	repeat   bool    // the client marked it as one
	remote   bool    // came in at the gateway root, which asks for it
	root     int     // the gateway asked for it
	tag      uint32  // by this name
	asked    int     // how often
	askedAt  time.Duration
	until    time.Duration // an answer is waited for until then
	waits    bool          // held there
	granted  bool
	last     *server // of the attempt before
}

type class struct {
	Class
	no   int     // place in the settings
	mean float64 // seconds an idle server of the fleet takes
	seen float64 // outcomes it rests on
}

type server struct {
	Server
	hash   uint16
	out    int
	slow   float64                  // latency against the fleet's, at equal load
	heard  float64                  // attempts out there, as the peers last said
	oldest []*request               // attempts out, oldest first
	fullAt map[*quota]time.Duration // until then it is taken to turn this plan away
	sends  []time.Duration          // while cold: recent sends

	weight    float64  // in the draw at hand
	watchers  [2]int   // the gateways that judge it for all; the second only whether it can be reached
	by        []record // by class
	verdicts  float64  // its watcher may send now
	verdictAt time.Duration
	pace      float64 // latency against the fleet's, as the watcher learns it
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
	plans     map[string]*quota
	customers map[uint64]*customer
	byHash    map[uint32]*customer
	ring      []*customer
	stirred   []*customer // those that ticks look at
	ranks     ranking     // scratch of report
	usables   []*server   // scratch of pick
	doubted   []*server
	waiting   []*customer
	reqs      map[RequestID]*request
	servers   map[ServerID]*server
	fleet     []*server
	peers     []*peer
	budget    float64
	out       int           // own attempts out, at all servers
	strain    float64       // average of latency over aim
	lackAt    time.Duration // when a request last found no server with room
	sendRate  float64       // own sends to warm servers, decayed over FallTime
	acts      []Action
	asked     bool
	size      float64 // mean weight in the list
	mean      float64 // seconds an idle server takes, over all classes
	minAim    float64 // the shortest aim, in seconds
	heard     float64 // share of asks that are answered
	own       float64 // weight of an outcome in a server's pace here
	idle      float64 // the least mean latency over its aim so far, of all classes; 0: not known
	gate      float64 // part of the requests let in
	tree      bool    // reports from all to all would be too many
	asks      map[uint32]*request
	asking    []*request // in the order asked, answered ones too
	nextTag   uint32
	reply     time.Duration // mean time to an answer
	was       size          // of the fleet, until all have heard that it changed
}

// size is what follows from a number of gateways.
type size struct {
	gateways int
	tree     bool
}

// resize makes room for a number of gateways, and forgets those beyond.
func (g *Gateway) resize(n int) {
	g.set.Gateways = n
	peers := make([]*peer, max(n, g.set.SelfIndex+1))
	copy(peers, g.peers)
	g.peers = peers
	for _, p := range g.peers {
		if p != nil {
			p.views = nil
		}
	}
	g.fit()
	for _, s := range g.fleet {
		s.watchers = g.watchers(uint32(s.ID) * 0x9e3779b1 >> (32 - serverBits))
	}
}

// treeAt tells whether a fleet of a size reports by roots.
func (g *Gateway) treeAt(n int) bool {
	now := g.set.Gateways
	g.set.Gateways = n
	g.fit()
	tree := g.tree
	g.set.Gateways = now
	g.fit()
	return tree
}

func (g *Gateway) do(a Action) { g.acts = append(g.acts, a) }

func (c *customer) count(now time.Duration, d int) {
	c.area += float64(c.out) * (now - c.areaAt).Seconds()
	c.areaAt = now
	c.out += d
}

// settle takes or gives back units after a guess.
func (c *customer) settle(units float64) {
	c.store -= units
	c.passed += uint16(int(units))
}

// sent and ended keep the lists of attempts out.
func (g *Gateway) sent(r *request, s *server) {
	r.c.count(g.now, 1)
	r.srv, r.last, r.sentAt, r.load, r.quit = s, s, g.now, g.load(s), false
	r.attempts++
	s.out, g.out = s.out+1, g.out+1
	s.oldest = append(s.oldest, r)
}

func (g *Gateway) ended(r *request, code ResultCode) {
	s := r.srv
	if !code.NeverRan() && !r.ran {
		r.ran, r.ranZone, r.ranCell, r.ranAt = true, s.Zone, s.Cell, r.sentAt
	}
	r.srv, r.stream = nil, false
	s.out, g.out = s.out-1, g.out-1
	r.c.count(g.now, -1)
	if i := slices.Index(s.oldest, r); i >= 0 {
		s.oldest = slices.Delete(s.oldest, i, i+1)
	}
}

// sameGroup tells whether a server drops repeats of what may have run.
func (r *request) sameGroup(s *server) bool {
	return (r.cl.DedupScope != DedupZone || s.Zone == r.ranZone) &&
		(r.cl.DedupScope != DedupCell || s.Cell == r.ranCell)
}

// measure takes each customer's mean of attempts out over a tick.
func (g *Gateway) measure(dt time.Duration) {
	kept := g.stirred[:0]
	for _, c := range g.stirred {
		if c.out > 0 || c.area > 0 || c.mean > 0 {
			c.expire(g.now)
			c.count(g.now, 0)
			c.mean, c.area = c.area/dt.Seconds(), 0
		}
		c.stirs = c.out > 0 || c.mean > 0 || len(c.held) > 0 || c.fresh > 0 && len(c.set) > 0
		if c.stirs {
			kept = append(kept, c)
		}
	}
	clear(g.stirred[len(kept):])
	g.stirred = kept
}

// rest notes how near an idle fleet's latencies come to their aims.
func (g *Gateway) rest() {
	near := 0.0
	for _, set := range g.set.Classes {
		c := g.classes[set.Name]
		if c.seen < idleSeen {
			return
		}
		near += c.mean / c.LatencyObjective.Seconds() / float64(len(g.classes))
	}
	g.idle = min(near, cmp.Or(g.idle, near))
}

// stir notes a customer that something happens to: ticks pass over all others,
// who have nothing out, held or to be told.
func (g *Gateway) stir(c *customer) {
	if !c.stirs {
		c.stirs = true
		g.stirred = append(g.stirred, c)
	}
}

// wear lets a part of what is known of a server go.
func (s *server) wear(part float64) {
	s.slow += (1 - s.slow) * part
	for i := range s.by {
		s.by[i].errs -= s.by[i].errs * part
	}
}

// expire drops the leases that have run out.
func (c *customer) expire(now time.Duration) {
	for l, v := range c.leases {
		if now > v.until {
			delete(c.leases, l)
			c.count(now, -1)
		}
	}
}

// asked finds a request that another gateway has asked for before: granted, or
// held here.
func (c *customer) asked(from int, tag uint32) (r *request, held bool) {
	if l, ok := c.leases[lease{from, tag}]; ok {
		return l.r, false
	}
	return nil, slices.ContainsFunc(c.held, func(r *request) bool {
		return r.remote && r.root == from && r.tag == tag
	})
}

// views makes room for what each of the others says of a customer.
func (g *Gateway) views(c *customer, others []int) {
	old := c.set
	c.set = nil
	for _, num := range others {
		if num != g.set.SelfIndex {
			v := &peerView{p: g.peer(num)}
			if i := slices.IndexFunc(old, func(o *peerView) bool { return o.p == v.p }); i >= 0 {
				v = old[i]
			}
			c.set, v.p.views = append(c.set, v), append(v.p.views, v)
		}
	}
}

// enter puts a customer in the tables. Two of one short hash can't be told
// apart in reports: none is taken for either.
func (g *Gateway) enter(c *customer) {
	g.customers[c.key] = c
	if _, twice := g.byHash[c.hash]; twice {
		g.byHash[c.hash] = nil
	} else {
		g.byHash[c.hash] = c
	}
	c.place = len(g.ring)
	g.ring = append(g.ring, c)
}

// byWeight draws a server by weight, of a sum of at least so much: none for the rest.
func (g *Gateway) byWeight(list []*server, least float64) *server {
	sum := 0.0
	for _, s := range list {
		sum += s.weight
	}
	at := g.rng.Float64() * max(sum, least)
	for _, s := range list {
		if at -= s.weight; at < 0 {
			return s
		}
	}
	return nil
}

// queue puts a request in its customer's queue, one with units taken first.
func (g *Gateway) queue(r *request) {
	if len(r.c.held) == 0 {
		g.waiting = append(g.waiting, r.c)
	}
	if r.counted {
		r.c.held = slices.Insert(r.c.held, 0, r)
	} else {
		r.c.held = append(r.c.held, r)
	}
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
	if g.set.WeightIsCapacity && s.Weight > 0 && g.size > 0 {
		return s.Weight / g.size
	}
	return 1
}

// newGateway returns a gateway with empty tables.
func newGateway(s Settings, seed uint64) *Gateway {
	g := &Gateway{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, plans: map[string]*quota{}, customers: map[uint64]*customer{},
		asks:   map[uint32]*request{},
		byHash: map[uint32]*customer{}, reqs: map[RequestID]*request{}, servers: map[ServerID]*server{}}
	g.inc = g.rng.Uint32()
	for i, p := range s.Plans {
		g.plans[p.Name] = &quota{p, byte(i)}
	}
	for i, c := range s.Classes {
		g.classes[c.Name] = &class{Class: c, no: i}
	}
	g.peers = make([]*peer, s.Gateways)
	return g
}

func (g *Gateway) allPeers() {
	for i := range g.peers {
		g.peer(i)
	}
}

// peer returns what is known of a gateway.
func (g *Gateway) peer(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{num: num}
	}
	return g.peers[num]
}

// sumLoads sums the peers' attempts out at each server; old counts are let go.
func (g *Gateway) sumLoads() {
	if g.tree {
		return // its reports tell of no servers
	}
	for _, s := range g.fleet {
		s.heard = 0
		for _, p := range g.peers {
			if p != nil && !g.silent(p) {
				s.heard += p.outs[s.hash]
			}
		}
	}
}

// watch asks for the server list where it must be asked for, once.
func (g *Gateway) watch() {
	if g.set.MustWatchEndpoints && !g.asked {
		g.asked = true
		g.do(WatchEndpoints{})
	}
}

// forget drops the customers that have nothing out or held and made no
// request since a time.
func (g *Gateway) forget(since time.Duration) {
	g.ring = slices.DeleteFunc(g.ring, func(c *customer) bool {
		if c.seen >= since || c.out > 0 || len(c.held) > 0 || c.stirs {
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
	for i, c := range g.ring {
		c.place = i
	}
	if len(g.ring) < len(g.customers) {
		clear(g.customers)
		for _, c := range g.ring {
			g.customers[c.key] = c
		}
	}
}

// over names the quota that a request does not fit in.
func (g *Gateway) over(r *request) Reason {
	if c := r.c; c.plan.Rate > 0 && !r.granted && g.allowance(c) < r.units {
		return ReasonQuotaExceeded
	}
	return ReasonCeilingExceeded
}

// lacking says what a held request waited for: a place under its customer's
// cap, or a server.
func (g *Gateway) lacking(r *request) Reason {
	if !g.room(r.c, false) {
		return ReasonInFlightLimit
	}
	return either(r.ran, ReasonAttemptsExhausted, ReasonNoServer)
}

func either(yes bool, a, b Reason) Reason {
	if yes {
		return a
	}
	return b
}
