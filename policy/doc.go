// Package policy makes every decision of an API gateway that shares customers' quotas with other gateways:
// which requests to admit, queue or reject, which server gets an attempt, when to retry, and what to report
// to the other gateways.
//
// # Mechanism
//
// The mechanism is a distributed virtual waiting room. Each customer has a token bucket (a rate quota), an
// optional hard ceiling and an optional cap on attempts in flight. The gateways of the fleet share them
// without a central store:
//
//   - In a small fleet each gateway sends load reports to all others once a tick (full mesh). From the
//     reports a gateway estimates the bucket and the attempts in flight, and spends the share of the tokens
//     that matches its share of the demand (quota.go, load_report.go).
//   - When full mesh reports would be more than the gateways can receive, the fleet is in leader mode: for
//     each customer a few gateways, the quota leaders, keep the bucket. The others request a lease for each
//     request; a standby leader answers when a leader does not (quota_leader.go, lease_client.go,
//     lease_grant.go).
//   - A request beyond the cap waits in the queue of its customer, in order of arrival, and is released
//     when an attempt ends or at a tick (admission.go, in_flight_limit.go).
//
// Servers are chosen by power of several choices on predicted latency, or by a weighted draw in leader mode
// (server_selection.go). Servers that have just started get few requests (slow_start.go), failing
// servers are ejected and probed (outlier_detection.go, outlier_monitor.go), a retry budget bounds retries
// (retry.go), and some requests are shed when latencies approach their objectives (load_shedding.go).
//
// # Use
//
// A Gateway is a state machine without I/O: Handle takes one event with the current time and returns the
// actions that the caller must carry out. The package reads no clock, starts no goroutine and draws random
// numbers only from a generator that New seeds, so equal settings, seeds and events yield equal actions.
// A Gateway is not safe for concurrent use, and Handle never blocks. The caller keeps ownership of the
// slices in events, which must not change until Handle returns; the slices in actions belong to the caller.
//
// # Errors
//
// New returns a *SettingError for settings that cannot be used. Handle returns no errors: it ignores events
// about unknown requests, servers and timers, and drops malformed peer messages. A request that cannot be
// served ends with a Reject or a Fail, whose Reason is the cause.
//
// # Units
//
// Times are time.Duration since an arbitrary origin that is the same for all events of one Gateway. Quotas
// count units: the cost of a request, as the caller defines it. Latencies inside the package are seconds.
package policy
