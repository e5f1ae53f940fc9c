package policy

import (
	"fmt"
	"time"
)

// Settings is what a gateway is told at its start.
type Settings struct {
	SelfIndex int // number of this gateway, from 0
	Gateways  int // how many gateways there are
	Zone      string
	Classes   []Class
	Plans     []Plan

	Resolution            time.Duration // least time between two events in sequence
	MaxAttempts           int           // attempts allowed for one request; 0: any number
	CanCancel             bool          // Cancel is permitted
	CanMessagePeers       bool          // Tell is permitted
	PeerMessagesPerSecond float64       // peer messages a gateway takes in a second
	MaxRequestUnits       float64       // most units of one request
	MaxRetryAfter         time.Duration // longest advice clients heed; 0: no advice
	MustWatchEndpoints    bool          // server changes come only to those that Watch
	WeightIsCapacity      bool          // Server.Weight is the size of the machine
	CrossZoneCost         float64       // charge for an attempt that crosses zones
	LoadMetricNames       []string      // names of the values in Load

	ResponseGrace      time.Duration // final answers are in time this long after a deadline
	InitialCapacity    float64       // a starting server has at least this share of its capacity
	WarmupTime         time.Duration // and all of it this long after its start
	ColdOverloadFactor float64       // a cold server falls when sent this multiple of its capacity
	ColdOverloadTime   time.Duration // for this long
}

// Class holds the settings of a class of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns full worth
	Deadline         time.Duration // a client waits this long, over all its tries
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are remembered
	Streaming        bool          // the answer is a stream, announced by Started
}

// Plan holds the quotas of each customer on a plan, over all gateways.
type Plan struct {
	Name           string
	Rate           float64 // units a second; 0: no rate quota
	Burst          float64 // most units the quota's store holds
	MaxInFlight    int     // most attempts out at once; 0: no such quota
	OverQuotaValue float64 // share of the worth earned beyond the quota
	OverQuotaCost  float64 // share of the worth charged beyond the quota
	HardRate       float64 // units a second of the hard ceiling; 0: none
	HardBurst      float64 // most units the ceiling's store holds
}

// Idempotency says what a repeat of a request does.
type Idempotency int

// The kinds of effect.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // repeats are dropped inside a group of servers, for a time
	NonIdempotent                        // must not run twice
)

// DedupScope says which servers drop repeats of a keyed request.
type DedupScope int

// The groups.
const (
	DedupAllServers DedupScope = iota // all servers
	DedupZone                         // those of one zone
	DedupCell                         // those of one cell
)

// Names of load report values the module understands.
const (
	LoadActive  = "active"  // requests in progress
	LoadWaiting = "waiting" // requests queued
)

// check refuses settings that cannot be meant, and names the key.
func (s *Settings) check() error {
	var err error
	need := func(ok bool, key string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("policy: setting "+key, args...)
		}
	}
	need(s.Resolution > 0, "Resolution: not above 0")
	need(s.Gateways >= 1, "Gateways: below 1")
	need(s.SelfIndex >= 0 && s.SelfIndex < max(s.Gateways, 1), "SelfIndex: outside 0 to Gateways-1")
	need(s.PeerMessagesPerSecond >= 0, "PeerMessagesPerSecond: negative")
	need(len(s.Plans) > 0, "Plans: none")
	need(len(s.Classes) > 0, "Classes: none")
	for i, p := range s.Plans {
		need(p.Name != "", "Plans[%d].Name: empty", i)
		need(p.Rate >= 0, "Plans[%d].Rate: negative", i)
		need(p.Burst >= 0, "Plans[%d].Burst: negative", i)
		need(p.MaxInFlight >= 0, "Plans[%d].MaxInFlight: negative", i)
		need(p.HardRate >= 0, "Plans[%d].HardRate: negative", i)
		need(p.HardBurst >= 0, "Plans[%d].HardBurst: negative", i)
	}
	for i, c := range s.Classes {
		need(c.Name != "", "Classes[%d].Name: empty", i)
		need(c.LatencyObjective > 0, "Classes[%d].LatencyObjective: not above 0", i)
		need(c.Deadline > 0, "Classes[%d].Deadline: not above 0", i)
	}
	return err
}
