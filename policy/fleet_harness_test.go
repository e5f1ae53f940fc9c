package policy

import (
	"testing"
	"time"
)

// gatewayFleet simulates a fleet of up to hundreds of gateways. A peer message takes 20 ms, an attempt 50 ms.
type gatewayFleet struct {
	t         *testing.T
	now       time.Duration
	gateways  []*Gateway
	inTransit []messageInTransit
	isLost    func(from, to int) bool

	messages         int // peer messages sent, counted once for each receiver
	attempts         []StartAttempt
	attemptGateways  []int
	startedAt        []time.Duration
	finishedAttempts int // number of attempts that have ended; these are the first of attempts
	rejected         int
	rejections       map[RequestID]Reason // by Reject actions; nil: not recorded
}

type messageInTransit struct {
	arrivesAt time.Duration
	from, to  int
	data      []byte
}

func newGatewayFleet(t *testing.T, n int, servers []Server) *gatewayFleet {
	t.Helper()
	f := &gatewayFleet{t: t, now: 10 * time.Second, isLost: func(int, int) bool { return false }, rejections: map[RequestID]Reason{}}
	for i := range n {
		settings := baseSettings()
		settings.SelfIndex, settings.Gateways = i, n
		g, err := New(settings, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		f.gateways = append(f.gateways, g)
		f.handle(i, EndpointUpdate{Kind: CachedUpdate, Servers: servers})
	}
	return f
}

func (f *gatewayFleet) handle(i int, event Event) {
	for _, a := range f.gateways[i].Handle(f.now, event, nil) {
		switch a := a.(type) {
		case SendPeerMessage:
			if len(a.Data) > 256 || a.To >= len(f.gateways) || a.To == i {
				f.t.Fatalf("gateway %d sent gateway %d a message of %d bytes", i, a.To, len(a.Data))
			}
			for to := range f.gateways {
				if to == a.To || a.To < 0 && to != i {
					f.messages++
					if !f.isLost(i, to) {
						f.inTransit = append(f.inTransit, messageInTransit{f.now + 20*ms, i, to, a.Data})
					}
				}
			}
		case StartAttempt:
			f.attempts, f.attemptGateways, f.startedAt = append(f.attempts, a), append(f.attemptGateways, i), append(f.startedAt, f.now)
		case Reject:
			f.rejected++
			if f.rejections != nil {
				f.rejections[a.ID] = a.Reason
			}
		case Fail:
			f.rejected++
		}
	}
}

// advance moves the simulated time on by d in steps of 10 ms, at the end of which it calls step unless that is nil.
func (f *gatewayFleet) advance(d time.Duration, step func(at time.Duration)) {
	for end := f.now + d; f.now < end; {
		f.now += 10 * ms
		var arrived []messageInTransit
		for len(f.inTransit) > 0 && f.inTransit[0].arrivesAt <= f.now {
			arrived, f.inTransit = append(arrived, f.inTransit[0]), f.inTransit[1:]
		}
		for _, message := range arrived {
			f.handle(message.to, PeerMessage{From: message.from, Data: message.data})
		}
		for i := range f.gateways {
			f.handle(i, TimerFired{Token: leaseTimer})
			if (f.now/ms/10+time.Duration(i))%25 == 0 {
				f.handle(i, TimerFired{Token: tickTimer})
			}
		}
		for ; f.finishedAttempts < len(f.attempts) && f.startedAt[f.finishedAttempts]+50*ms <= f.now; f.finishedAttempts++ {
			attempt := f.attempts[f.finishedAttempts]
			f.handle(f.attemptGateways[f.finishedAttempts], AttemptResult{ID: attempt.ID, Server: attempt.Server, Code: OK, Latency: 50 * ms, Answered: true})
		}
		if step != nil {
			step(f.now)
		}
	}
}

func (f *gatewayFleet) request(i int, id RequestID, customer, plan, class string, spread int) {
	f.handle(i, Request{ID: id, Customer: customer, Plan: plan, Class: class, Units: 1,
		Remaining: 2 * time.Second, GatewaySpread: spread})
}

// newFleetMember returns gateway selfIndex of a fleet of n gateways that can each receive peer messages at the rate
// messagesPerSecond.
func newFleetMember(t *testing.T, selfIndex, n int, messagesPerSecond float64) *Gateway {
	t.Helper()
	g, err := New(Settings{SelfIndex: selfIndex, Gateways: n, Resolution: time.Millisecond, MaxAttempts: 2, CanCancel: true, CanMessagePeers: true,
		PeerMessagesPerSecond: messagesPerSecond, MaxRequestUnits: 1, Plans: []Plan{{Name: "p", Rate: 5, Burst: 10, HardRate: 10, HardBurst: 20}},
		Classes: []Class{{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second}}}, uint64(selfIndex)+1)
	if err != nil {
		t.Fatal(err)
	}
	g.Handle(0, EndpointUpdate{Kind: SnapshotUpdate, Servers: []Server{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}}, nil)
	return g
}
