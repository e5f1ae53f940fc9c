package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHandle measures the handling of a request, its lease in leader mode, and its attempt's result.
func BenchmarkHandle(b *testing.B) {
	for _, gateways := range []int{3, 200} {
		for _, customers := range []int{50, 50_000} {
			b.Run(fmt.Sprintf("%dgateways/%dcustomers", gateways, customers), func(b *testing.B) {
				benchmarkHandle(b, gateways, customers)
			})
		}
	}
}

func benchmarkHandle(b *testing.B, gateways, customers int) {
	b.Helper()
	g := newBenchGateway(b, gateways)
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	var out []Action
	now, id := 10*time.Second, RequestID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 100 * time.Microsecond
		out = g.Handle(now, Request{ID: id, Customer: names[int(id)%customers], Plan: "p", Class: "lookup", Units: 1,
			Remaining: 2 * time.Second, GatewaySpread: 2, FirstGateway: int(id) % gateways}, out[:0])
		actions := out
		if gateways > 24 {
			actions = grantLeases(g, now, out)
		}
		if attempt := firstAttempt(actions); attempt != nil {
			result := AttemptResult{ID: id, Server: attempt.Server, Latency: 5 * time.Millisecond}
			out = g.Handle(now+5*time.Millisecond, result, out[:0])
		}
		if id%500 == 0 {
			out = g.Handle(now, TimerFired{Token: tickTimer}, out[:0])
		}
	}
}

func newBenchGateway(b *testing.B, gateways int) *Gateway {
	b.Helper()
	g, err := New(Settings{Gateways: gateways, Resolution: time.Millisecond, CanCancel: true, CanMessagePeers: true,
		PeerMessagesPerSecond: 60, MaxAttempts: 3, MaxRequestUnits: 1, MaxRetryAfter: time.Second,
		Plans:   []Plan{{Name: "p", Rate: 1e6, Burst: 1e6}},
		Classes: []Class{{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second}}}, 1)
	if err != nil {
		b.Fatal(err)
	}
	list := EndpointUpdate{Kind: SnapshotUpdate}
	for i := range 12 {
		list.Servers = append(list.Servers, Server{ID: ServerID(i * 7919), Weight: 1})
	}
	g.Handle(0, list, nil)
	return g
}

// grantLeases grants the first lease request among actions, as its leader would, and returns the actions that
// follow. If there is no lease request it returns actions.
func grantLeases(g *Gateway, now time.Duration, actions []Action) []Action {
	for _, a := range actions {
		sent, ok := a.(SendPeerMessage)
		if !ok {
			continue
		}
		if m, ok := decode(sent.Data).(leaseRequest); ok {
			granted := leaseResponse{Tag: m.Tag, Decision: leaseGranted, Fill: wholeShare, AdmittedShare: wholeShare}
			return g.Handle(now, PeerMessage{From: sent.To, Data: granted.encode()}, nil)
		}
	}
	return actions
}

func firstAttempt(actions []Action) *StartAttempt {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			return &s
		}
	}
	return nil
}
