package policy

import (
	"testing"
	"time"
)

// gatewayFleet drives hundreds of gateways. A message takes 20 ms, an attempt 50 ms.
type gatewayFleet struct {
	t         *testing.T
	now       time.Duration
	gateways  []*Gateway
	inTransit []messageInTransit
	lost      func(from, to int) bool

	messages int // one for each receiver
	sends    []StartAttempt
	senders  []int
	sentAt   []time.Duration
	finished int // attempts that have ended
	rejected int
}

type messageInTransit struct {
	arrivesAt time.Duration
	from, to  int
	data      []byte
}

func newGatewayFleet(t *testing.T, n int, servers []Server) *gatewayFleet {
	t.Helper()
	c := &gatewayFleet{t: t, now: 10 * time.Second, lost: func(int, int) bool { return false }}
	for i := range n {
		s := baseSettings()
		s.SelfIndex, s.Gateways = i, n
		g, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		c.gateways = append(c.gateways, g)
		c.handle(i, EndpointUpdate{Kind: CachedUpdate, Servers: servers})
	}
	return c
}

func (c *gatewayFleet) handle(i int, ev Event) {
	for _, a := range c.gateways[i].Handle(c.now, ev, nil) {
		switch a := a.(type) {
		case SendPeerMessage:
			if len(a.Data) > 256 || a.To >= len(c.gateways) || a.To == i {
				c.t.Fatalf("gateway %d sends %d a message of %d bytes", i, a.To, len(a.Data))
			}
			for to := range c.gateways {
				if to == a.To || a.To < 0 && to != i {
					c.messages++
					if !c.lost(i, to) {
						c.inTransit = append(c.inTransit, messageInTransit{c.now + 20*ms, i, to, a.Data})
					}
				}
			}
		case StartAttempt:
			c.sends, c.senders, c.sentAt = append(c.sends, a), append(c.senders, i), append(c.sentAt, c.now)
		case Reject, Fail:
			c.rejected++
		}
	}
}

// advance lets time go by in steps of 10 ms, and calls step in each.
func (c *gatewayFleet) advance(d time.Duration, step func(at time.Duration)) {
	for end := c.now + d; c.now < end; {
		c.now += 10 * ms
		var due []messageInTransit
		for len(c.inTransit) > 0 && c.inTransit[0].arrivesAt <= c.now {
			due, c.inTransit = append(due, c.inTransit[0]), c.inTransit[1:]
		}
		for _, l := range due {
			c.handle(l.to, PeerMessage{From: l.from, Data: l.data})
		}
		for i := range c.gateways {
			c.handle(i, TimerFired{Token: leaseTimer})
			if (c.now/ms/10+time.Duration(i))%25 == 0 {
				c.handle(i, TimerFired{Token: tickTimer})
			}
		}
		for ; c.finished < len(c.sends) && c.sentAt[c.finished]+50*ms <= c.now; c.finished++ {
			s := c.sends[c.finished]
			c.handle(c.senders[c.finished], AttemptResult{ID: s.ID, Server: s.Server, Code: OK, Latency: 50 * ms, Answered: true})
		}
		if step != nil {
			step(c.now)
		}
	}
}

func (c *gatewayFleet) request(i int, id RequestID, customer, plan, class string, spread int) {
	c.handle(i, Request{ID: id, Customer: customer, Plan: plan, Class: class, Units: 1,
		Remaining: 2 * time.Second, GatewaySpread: spread})
}

// newFleetMember returns one of n gateways that can receive so many messages a second.
func newFleetMember(t *testing.T, self, n int, messagesPerSecond float64) *Gateway {
	t.Helper()
	g, err := New(Settings{SelfIndex: self, Gateways: n, Resolution: time.Millisecond, MaxAttempts: 2, CanCancel: true, CanMessagePeers: true,
		PeerMessagesPerSecond: messagesPerSecond, MaxRequestUnits: 1, Plans: []Plan{{Name: "p", Rate: 5, Burst: 10, HardRate: 10, HardBurst: 20}},
		Classes: []Class{{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second}}}, uint64(self)+1)
	if err != nil {
		t.Fatal(err)
	}
	g.Handle(0, EndpointUpdate{Kind: SnapshotUpdate, Servers: []Server{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}}, nil)
	return g
}
