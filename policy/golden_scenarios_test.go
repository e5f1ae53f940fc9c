package policy_test

import (
	"math"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// scenario describes one run of a simulated fleet.
type scenario struct {
	name               string
	seed               uint64
	gateways           int
	servers            int
	customers          int
	length             time.Duration
	requestRate        float64 // first requests a second, without client retries, over all gateways
	idleFrom           time.Duration
	idleUntil          time.Duration // no first requests arrive between the two times
	healthyShare       float64       // share of the servers that respond normally at any time
	brokenServers      int           // this many servers, from the first on, refuse all connections
	serviceTime        time.Duration // mean latency of an idle server
	messageLoss        float64       // share of the peer messages that are lost
	fleetChanges       []fleetChange
	restartInterval    time.Duration // interval between restarts of a random gateway; 0: no restarts
	usageLevelInterval time.Duration // interval between UsageLevel events; 0: none
	isolatedGateways   int           // this many gateways, from the first on, exchange no peer messages in the middle third of the run
	adjustSettings     func(*policy.Settings)
}

// fleetChange is a change of the number of gateways.
type fleetChange struct {
	at       time.Duration
	gateways int
}

// scenarios returns the scenarios of the golden file. Fleets of up to 12 gateways are a full mesh if
// PeerMessagesPerSecond permits it. With fewer messages a second, or 120 gateways, they are in leader mode.
func scenarios() []scenario {
	return []scenario{
		{name: "mesh-3", seed: 1, gateways: 3, servers: 8, customers: 40, length: 20 * time.Second, requestRate: 150,
			healthyShare: 0.6, serviceTime: 60 * time.Millisecond, messageLoss: 0.02, restartInterval: 4 * time.Second},
		{name: "mesh-12-overload", seed: 2, gateways: 12, servers: 6, customers: 60, length: 12 * time.Second, requestRate: 600,
			healthyShare: 0.7, serviceTime: 120 * time.Millisecond, messageLoss: 0.05, adjustSettings: withoutCancel},
		{name: "mesh-12-calm", seed: 3, gateways: 12, servers: 20, customers: 60, length: 10 * time.Second, requestRate: 300,
			healthyShare: 1, serviceTime: 30 * time.Millisecond},
		{name: "mesh-3-without-messages", seed: 4, gateways: 3, servers: 6, customers: 20, length: 12 * time.Second, requestRate: 150,
			healthyShare: 0.8, serviceTime: 80 * time.Millisecond, usageLevelInterval: 50 * time.Millisecond, adjustSettings: withoutPeerMessages},
		{name: "mesh-2-idle", seed: 5, gateways: 2, servers: 4, customers: 30, length: 665 * time.Second, requestRate: 40,
			idleFrom: 8 * time.Second, idleUntil: 650 * time.Second, healthyShare: 0.8, serviceTime: 60 * time.Millisecond,
			adjustSettings: func(s *policy.Settings) { s.PeerMessagesPerSecond = 4 }},
		{name: "mesh-2-outage", seed: 9, gateways: 2, servers: 6, customers: 14, length: 40 * time.Second, requestRate: 150,
			healthyShare: 1, brokenServers: 2, serviceTime: 60 * time.Millisecond, messageLoss: 0.02},
		{name: "leaders-12-slow", seed: 10, gateways: 12, servers: 30, customers: 30, length: 30 * time.Second, requestRate: 400,
			healthyShare: 0.8, serviceTime: 110 * time.Millisecond, adjustSettings: func(s *policy.Settings) { s.PeerMessagesPerSecond = 20 }},
		{name: "leaders-12-changes", seed: 6, gateways: 12, servers: 10, customers: 40, length: 24 * time.Second, requestRate: 200,
			healthyShare: 0.75, serviceTime: 60 * time.Millisecond, messageLoss: 0.03, restartInterval: 3 * time.Second,
			fleetChanges: []fleetChange{{4 * time.Second, 15}, {8 * time.Second, 9}, {12 * time.Second, 3}, {16 * time.Second, 14},
				{19 * time.Second, 1}, {21 * time.Second, 12}},
			adjustSettings: func(s *policy.Settings) { s.PeerMessagesPerSecond = 20 }},
		{name: "leaders-120", seed: 7, gateways: 120, servers: 40, customers: 40, length: 10 * time.Second, requestRate: 500,
			healthyShare: 0.75, serviceTime: 60 * time.Millisecond, messageLoss: 0.02, restartInterval: time.Second},
		{name: "leaders-120-muted", seed: 8, gateways: 120, servers: 12, customers: 15, length: 12 * time.Second, requestRate: 400,
			healthyShare: 0.6, serviceTime: 150 * time.Millisecond, messageLoss: 0.2, isolatedGateways: 70,
			usageLevelInterval: 20 * time.Millisecond, adjustSettings: withoutCancel},
	}
}

// withoutCancel disables CanCancel. It also lets weights be capacities and crossing zones have a cost, makes
// gateways watch the endpoints, and removes the limit on attempts and the advice to retry later.
func withoutCancel(s *policy.Settings) {
	s.CanCancel, s.MustWatchEndpoints, s.WeightIsCapacity = false, true, true
	s.CrossZoneCost, s.MaxAttempts, s.MaxRetryAfter = 0.01, 0, 0
}

func withoutPeerMessages(s *policy.Settings) {
	s.CanMessagePeers, s.PeerMessagesPerSecond, s.ColdOverloadTime, s.WarmupTime = false, 0, 0, 0
}

// gatewaySettings returns the settings of one gateway of a scenario.
func gatewaySettings(s scenario, number, gateways int) policy.Settings {
	settings := policy.Settings{SelfIndex: number, Gateways: gateways, Zone: zoneOf(number),
		Classes: classes(), Plans: plans(),
		Resolution: 2 * time.Millisecond, MaxAttempts: 4, CanCancel: true, CanMessagePeers: true, PeerMessagesPerSecond: 60,
		MaxRequestUnits: 4, MaxRetryAfter: 400 * time.Millisecond, LoadMetricNames: []string{policy.LoadActive, policy.LoadWaiting},
		ResponseGrace: 8 * time.Millisecond, InitialCapacity: 0.2, WarmupTime: 5 * time.Second, ColdOverloadFactor: 2, ColdOverloadTime: time.Second}
	if s.adjustSettings != nil {
		s.adjustSettings(&settings)
	}
	return settings
}

func zoneOf(number int) string { return []string{"a", "b"}[number%2] }

func classes() []policy.Class {
	const objective, deadline, window = 800 * time.Millisecond, 3 * time.Second, 2 * time.Second
	return []policy.Class{
		{Name: "safe", LatencyObjective: objective, Deadline: deadline},
		{Name: "cell", LatencyObjective: objective, Deadline: deadline, Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupCell, DedupWindow: window},
		{Name: "zone", LatencyObjective: objective / 2, Deadline: deadline, Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupZone, DedupWindow: window},
		{Name: "all", LatencyObjective: objective, Deadline: deadline, Idempotency: policy.IdempotentWithKey, DedupWindow: window / 4},
		{Name: "once", LatencyObjective: objective * 2, Deadline: deadline, Idempotency: policy.NonIdempotent},
		{Name: "stream", LatencyObjective: objective, Deadline: deadline, Streaming: true},
	}
}

func plans() []policy.Plan {
	return []policy.Plan{
		{Name: "free"},
		{Name: "rate", Rate: 10, Burst: 12, OverQuotaValue: 0.5, OverQuotaCost: 0.5},
		{Name: "open", MaxInFlight: 3},
		{Name: "hard", HardRate: 8, HardBurst: 16},
		{Name: "both", Rate: 12, Burst: 20, MaxInFlight: 2},
		{Name: "every", Rate: 15, Burst: 20, MaxInFlight: 4, HardRate: 20, HardBurst: 30},
		{Name: "large", Rate: 400, Burst: 600, MaxInFlight: 30},
	}
}

// simulatedCustomer sends its requests through gatewaySpread gateways, starting with firstGateway and continuing with
// gateway 0 after the last one.
type simulatedCustomer struct {
	name, plan                  string
	firstGateway, gatewaySpread int
}

// newCustomers returns customers with the plans in turn.
func (s *simulation) newCustomers() []simulatedCustomer {
	list := plans()
	var customers []simulatedCustomer
	for i := range s.scenario.customers {
		customers = append(customers, simulatedCustomer{
			name: "customer-" + string(rune('a'+i%26)) + string(rune('a'+i/26)), plan: list[i%len(list)].Name,
			firstGateway: s.random.IntN(s.scenario.gateways), gatewaySpread: 1 + s.random.IntN(min(60, s.scenario.gateways))})
	}
	return customers
}

// drawCustomer draws the customer of a request. The first customers are drawn far more often than the last.
func (s *simulation) drawCustomer() simulatedCustomer {
	rank := math.Floor(float64(len(s.customers)) * s.random.Float64() * s.random.Float64())
	return s.customers[int(rank)]
}

// behaviour is how a simulated server responds until the next change of behaviours.
type behaviour int

const (
	respondsNormally behaviour = iota
	respondsSlowly
	returnsErrors
	rejectsRequests
	rejectsOnePlan
	neverResponds
	refusesConnections
	resetsConnections
	behaviourCount // number of behaviours
)

// simulatedServer has a latency that grows with its attempts in flight, and rejects attempts beyond
// serverCapacity.
type simulatedServer struct {
	policy.Server
	behaviour behaviour
	inFlight  int
}

const (
	serverCapacity          = 14
	slowLatencyFactor       = 6
	coldLatencyFactor       = 3
	latencyGrowthPerAttempt = 0.2 // share of the service time that each attempt in flight adds
	failureProbability      = 0.7 // of an attempt at a server that returns errors, rejects requests or resets connections
	connectTime             = 2 * time.Millisecond
	coldDuration            = 4 * time.Second
	firstByteShare          = 0.3 // part of a stream's latency before its first byte
)

func (s *simulation) newServer(id policy.ServerID, justStarted bool) *simulatedServer {
	server := &simulatedServer{Server: policy.Server{ID: id, Zone: zoneOf(int(id)), Cell: int(id) / 3,
		Weight: float64(1 + int(id)%3)}}
	if justStarted {
		server.HasStartTime, server.StartedAt = true, s.now
	}
	return server
}

// drawResult draws the result and the latency of an attempt at a server.
func (s *simulation) drawResult(server *simulatedServer, plan string) (policy.ResultCode, time.Duration) {
	latency := time.Duration(float64(s.scenario.serviceTime) * (0.6 + 0.8*s.random.Float64()) * (1 + latencyGrowthPerAttempt*float64(server.inFlight)))
	if server.HasStartTime && s.now-server.StartedAt < coldDuration {
		latency *= coldLatencyFactor
	}
	switch {
	case server.State == policy.Removed || server.behaviour == refusesConnections:
		return policy.ConnectFailed, connectTime
	case server.behaviour == rejectsRequests && s.chance(failureProbability), server.inFlight >= serverCapacity,
		server.behaviour == rejectsOnePlan && plan == "large":
		return policy.Rejected, connectTime
	case server.behaviour == neverResponds:
		return policy.TimedOut, time.Hour
	case server.behaviour == returnsErrors && s.chance(failureProbability):
		return policy.Error, latency / 4
	case server.behaviour == resetsConnections && s.chance(failureProbability):
		return policy.Reset, latency / 2
	case server.behaviour == respondsSlowly:
		latency *= slowLatencyFactor
	}
	return policy.OK, latency
}

// changeBehaviours draws a new behaviour for each server.
func (s *simulation) changeBehaviours() {
	for i, server := range s.servers {
		server.behaviour = respondsNormally
		if i < s.scenario.brokenServers {
			server.behaviour = refusesConnections
		} else if !s.chance(s.scenario.healthyShare) {
			server.behaviour = behaviour(1 + s.random.IntN(int(behaviourCount)-1))
		}
	}
	s.after(1500*time.Millisecond, s.changeBehaviours)
}

// changeServers drains, removes, restarts, adds or leaves as it is a server drawn at random, and sends all
// gateways the update.
func (s *simulation) changeServers() {
	server := s.servers[s.random.IntN(len(s.servers))]
	switch draw := s.random.IntN(4); {
	case server.State == policy.Draining:
		server.State = policy.Removed
	case server.State == policy.Removed:
		server.State, server.HasStartTime, server.StartedAt = policy.Running, true, s.now
	case draw == 0:
		server.State = policy.Draining
	case draw == 1:
		server.HasStartTime, server.StartedAt = true, s.now
	case draw == 2 && len(s.servers) < 2*s.scenario.servers:
		server = s.newServer(policy.ServerID(len(s.servers)+1), true)
		s.servers = append(s.servers, server)
	}
	change := policy.EndpointUpdate{Kind: policy.DeltaUpdate, Servers: []policy.Server{server.Server}}
	for _, process := range s.processes {
		s.deliverAfter(s.drawDelay(100*time.Millisecond), process, change)
	}
	s.after(700*time.Millisecond, s.changeServers)
}

func (s *simulation) serverList() []policy.Server {
	var list []policy.Server
	for _, server := range s.servers {
		if server.State != policy.Removed {
			list = append(list, server.Server)
		}
	}
	return list
}
