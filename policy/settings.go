package policy

import (
	"fmt"
	"time"
)

// Idempotency is the effect of running a request of a class more than once. The zero value, Idempotent, is
// the most permissive: callers must set the field for each class.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // servers of a DedupScope drop repeats for a DedupWindow
	NonIdempotent                        // must not run twice
)

// DedupScope is the set of servers that drop repeats of a request that is IdempotentWithKey.
type DedupScope int

// The scopes of deduplication.
const (
	DedupAllServers DedupScope = iota // all servers share the keys
	DedupZone                         // the servers of one zone share them
	DedupCell                         // the servers of one cell share them
)

// Class holds the settings of a class of requests.
type Class struct {
	// Name is what Request.Class refers to. It must not be empty.
	Name string

	// LatencyObjective is the time within which a response should arrive. It must be above 0. Queueing,
	// load shedding and the detection of stalled attempts are measured against it. If it is too short,
	// normal load is shed; if it is too long, overload is detected late.
	LatencyObjective time.Duration

	// Deadline is how long a client waits for the final response, over all attempts. It must be above 0.
	// Decisions use Request.Remaining, the time that is left of it.
	Deadline time.Duration

	// Idempotency decides which failed attempts may be retried. The zero value is Idempotent, so a class
	// whose requests must not run twice has to be set to NonIdempotent.
	Idempotency Idempotency

	// DedupScope is the set of servers that drop repeats. It is used only with IdempotentWithKey; the zero
	// value is DedupAllServers.
	DedupScope DedupScope

	// DedupWindow is how long servers retain a key, from the first attempt that may have run. It is used
	// only with IdempotentWithKey; with 0 such a request is never retried once it may have run.
	DedupWindow time.Duration

	// Streaming marks a class whose responses are streams. ResponseStarted reports the start of each. Their
	// attempts have no timeout of their own, and never count as stalled once the response has started.
	Streaming bool
}

// Plan holds the quotas of each customer on a plan, over all gateways.
type Plan struct {
	// Name is what Request.Plan refers to. It must not be empty.
	Name string

	// Rate is the rate quota in units a second, the refill rate of its token bucket. 0: no rate quota.
	Rate float64

	// Burst is the capacity of the rate quota's token bucket, in units.
	Burst float64

	// MaxInFlight is the in-flight cap, in attempts. 0: no cap.
	MaxInFlight int

	// OverQuotaValue is the share of the value that a request beyond the quota still earns. No decision uses
	// it.
	OverQuotaValue float64

	// OverQuotaCost is the share of the value that a request beyond the quota costs. No decision uses it.
	OverQuotaCost float64

	// HardRate is the rate of the hard ceiling in units a second. 0: no ceiling. Unlike the rate quota
	// the ceiling is split into fixed shares and never exceeded, not even while gateways cannot exchange
	// messages.
	HardRate float64

	// HardBurst is the capacity of the ceiling's token bucket, in units.
	HardBurst float64
}

// Settings configure a Gateway. New copies the struct but not its slices, which must not change afterwards.
// Only the number of gateways can change later, by FleetResized.
type Settings struct {
	// SelfIndex is the number of this gateway, from 0 to Gateways-1. Two gateways with the same number
	// would both use its share of each quota.
	SelfIndex int

	// Gateways is the number of gateways in the fleet, at least 1. All gateways must agree on it, since
	// the shares of quotas and the quota leaders follow from it.
	Gateways int

	// Zone is the zone of this gateway. Servers of other zones are chosen less often.
	Zone string

	// Classes are the classes of requests, one to 256, in the same order at all gateways: messages name
	// a class by its position in one byte.
	Classes []Class

	// Plans are the plans of customers, one to 256, in the same order at all gateways: messages name a plan
	// by its position in one byte.
	Plans []Plan

	// Resolution is the minimum time between two consecutive events, and the most by which a timer may
	// fire early or late. It must be above 0.
	Resolution time.Duration

	// MaxAttempts is the number of attempts allowed for one request. 0: any number.
	MaxAttempts int

	// MaxSendDelay is how long the caller may take between a look at the clock and the end of a write that
	// follows it, for example because the process is paused. The time in which a request may be sent again
	// ends so much before its DedupWindow. It must not be negative.
	MaxSendDelay time.Duration

	// CanCancel permits CancelAttempt. Without it the attempts of Idempotent classes that are
	// not Streaming have a timeout instead.
	CanCancel bool

	// CanMessagePeers permits SendPeerMessage. Without it each gateway keeps to its own share of each
	// quota.
	CanMessagePeers bool

	// PeerMessagesPerSecond is the number of peer messages that one gateway can receive in a second. The
	// tick interval and the change to leader mode follow from it. If it is too high, messages are lost; if
	// it is too low, gateways report to each other less often than they could. It must not be negative.
	PeerMessagesPerSecond float64

	// MaxRequestUnits is the largest cost of one request, in units. A gateway that receives no load reports
	// still admits one request of this size.
	MaxRequestUnits float64

	// MaxRetryAfter is the longest Retry-After that clients obey, and the value that every Reject advises.
	// 0: none is advised.
	MaxRetryAfter time.Duration

	// MustWatchEndpoints makes the Gateway request the endpoint list by WatchEndpoints. Without it the caller
	// sends EndpointUpdate events without a request.
	MustWatchEndpoints bool

	// WeightIsCapacity means that Server.Weight is the capacity of the machine. Without it all servers
	// count as equal.
	WeightIsCapacity bool

	// CrossZoneCost is the cost of an attempt that crosses zones, as a share of the value of a request.
	CrossZoneCost float64

	// MaxCustomerBytes is the memory, by estimate, beyond which customers whose buckets are full are
	// forgotten early. 0: any amount. It must not be negative.
	MaxCustomerBytes int

	// LoadMetricNames are the names of the values in AttemptResult.LoadMetrics. No decision uses
	// these values.
	LoadMetricNames []string

	// ResponseGrace is how long after its deadline a final response still counts as in time. No decision
	// uses it: the gateway treats the deadline as final.
	ResponseGrace time.Duration

	// InitialCapacity is the share of its capacity that a server has at its start. 0: servers are warm at
	// once.
	InitialCapacity float64

	// WarmupTime is the time after which a started server has its full capacity. 0: servers are warm at
	// once.
	WarmupTime time.Duration

	// ColdOverloadFactor is the load, as a multiple of its current capacity, at which a cold server fails.
	ColdOverloadFactor float64

	// ColdOverloadTime is how long such an overload must last to make a cold server fail. Attempts at cold
	// servers are counted over a window of this length.
	ColdOverloadTime time.Duration
}

// Names of load metrics with an agreed meaning.
const (
	LoadActive  = "active"  // requests in progress
	LoadWaiting = "waiting" // requests queued
)

// SettingError reports a setting that New does not accept.
type SettingError struct {
	Field   string // path of the setting, as in "Plans[1].Rate"
	Problem string // what is wrong with it, as in "negative"
}

// Error returns a message with the setting and the problem.
func (e *SettingError) Error() string { return "policy: setting " + e.Field + ": " + e.Problem }

// maxPlans is the maximum number of plans, which messages name by one byte.
const maxPlans = 256

// check returns a *SettingError for the first setting that cannot be used.
func (s *Settings) check() error {
	if err := s.checkFleet(); err != nil {
		return err
	}
	for i := range s.Plans {
		if err := s.Plans[i].check(fmt.Sprintf("Plans[%d].", i)); err != nil {
			return err
		}
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkFleet() error {
	switch {
	case s.Resolution <= 0:
		return &SettingError{"Resolution", "not above 0"}
	case s.MaxSendDelay < 0:
		return &SettingError{"MaxSendDelay", "negative"}
	case s.MaxCustomerBytes < 0:
		return &SettingError{"MaxCustomerBytes", "negative"}
	case s.Gateways < 1:
		return &SettingError{"Gateways", "below 1"}
	case s.SelfIndex < 0 || s.SelfIndex >= s.Gateways:
		return &SettingError{"SelfIndex", "outside 0 to Gateways-1"}
	case !(s.PeerMessagesPerSecond >= 0):
		return &SettingError{"PeerMessagesPerSecond", "negative"}
	case len(s.Plans) == 0:
		return &SettingError{"Plans", "none"}
	case len(s.Plans) > maxPlans:
		return &SettingError{"Plans", fmt.Sprintf("more than %d", maxPlans)}
	case len(s.Classes) == 0:
		return &SettingError{"Classes", "none"}
	case len(s.Classes) > maxClasses:
		return &SettingError{"Classes", fmt.Sprintf("more than %d", maxClasses)}
	}
	return nil
}

func (p *Plan) check(prefix string) error {
	if p.Name == "" {
		return &SettingError{prefix + "Name", "empty"}
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"Rate", p.Rate}, {"Burst", p.Burst}, {"MaxInFlight", float64(p.MaxInFlight)},
		{"HardRate", p.HardRate}, {"HardBurst", p.HardBurst},
	} {
		if !(f.value >= 0) { // rejects NaN, too
			return &SettingError{prefix + f.name, "negative"}
		}
	}
	return nil
}

func (c *Class) check(prefix string) error {
	switch {
	case c.Name == "":
		return &SettingError{prefix + "Name", "empty"}
	case c.LatencyObjective <= 0:
		return &SettingError{prefix + "LatencyObjective", "not above 0"}
	case c.Deadline <= 0:
		return &SettingError{prefix + "Deadline", "not above 0"}
	}
	return nil
}
