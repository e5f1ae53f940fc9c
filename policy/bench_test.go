package policy

import (
	"fmt"
	"testing"
	"time"
)

// One request with its outcome, all decisions made.
func BenchmarkHandle(b *testing.B) {
	for _, gateways := range []int{3, 200} {
		for _, customers := range []int{50, 50_000} {
			b.Run(fmt.Sprintf("%dgateways/%dcustomers", gateways, customers), func(b *testing.B) {
				set := Settings{Gateways: gateways, Resolution: time.Millisecond, CanCancel: true, CanMessagePeers: true, PeerMessagesPerSecond: 60,
					MaxAttempts: 3, MaxRequestUnits: 1, MaxRetryAfter: time.Second,
					Plans:   []Plan{{Name: "p", Rate: 1e6, Burst: 1e6}},
					Classes: []Class{{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second}}}
				g, err := New(set, 1)
				if err != nil {
					b.Fatal(err)
				}
				list := EndpointUpdate{Kind: SnapshotUpdate}
				for i := range 12 {
					list.Servers = append(list.Servers, Server{ID: ServerID(i * 7919), Weight: 1})
				}
				out := g.Handle(0, list, nil)
				names := make([]string, customers)
				for i := range names {
					names[i] = fmt.Sprint("customer-", i)
				}
				now, id := 10*time.Second, RequestID(0)
				b.ReportAllocs()
				for b.Loop() {
					id++
					now += 100 * time.Microsecond
					var send *StartAttempt
					req := Request{ID: id, Customer: names[int(id)%customers], Plan: "p", Class: "lookup", Units: 1,
						Remaining: 2 * time.Second, GatewaySpread: 2, FirstGateway: int(id) % gateways}
					out = g.Handle(now, req, out[:0])
					for _, a := range out {
						if s, ok := a.(StartAttempt); ok {
							send = &s
						}
						if t, ok := a.(SendPeerMessage); ok && gateways > 24 {
							// A root that grants at once.
							if m, ok := decode(t.Data).(leaseRequest); ok {
								for _, a := range g.Handle(now, PeerMessage{From: t.To, Data: leaseResponse{m.Tag, leaseGranted, 250, 0, 250}.encode()}, nil) {
									if s, ok := a.(StartAttempt); ok {
										send = &s
									}
								}
							}
						}
					}
					if send != nil {
						out = g.Handle(now+5*time.Millisecond, AttemptResult{ID: id, Server: send.Server, Latency: 5 * time.Millisecond}, out[:0])
					}
					if id%500 == 0 {
						out = g.Handle(now, TimerFired{Token: "tick"}, out[:0])
					}
				}
			})
		}
	}
}
