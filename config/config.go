package config

import (
	"log/slog"
	"time"

	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/policy"
)

// Config is a validated configuration. It is not changed after Parse returns it, so goroutines
// may read it concurrently.
type Config struct {
	Number   int    // this gateway's number, from 0 (default) to 65535; a roster replaces it
	Name     string // this gateway's name in the roster; "" (default) without one
	Zone     string // the zone of this gateway; "" by default
	StateDir string // directory of the files that are kept across restarts; "" (default): nothing is stored

	LogLevel slog.Level // info by default
	LogJSON  bool       // log lines are JSON; text by default

	Listeners  []Listener // at least one
	Clients    Clients
	Classes    []Class       // at least one
	Plans      []policy.Plan // at least one
	Customers  []Customer
	Peers      Peers
	Roster     *membership.Roster // read from its file at startup; nil: Peers lists the fleet
	Servers    Servers
	Authorizer *Authorizer // nil: no class is authorized
	Counter    *Counter    // nil: gateways sum the usage without a shared counter
	Limits     Limits
}

// ListenerKind is the protocol of a listener.
type ListenerKind string

// The kinds of listener.
const (
	HTTP     ListenerKind = "http"      // HTTP/1.1
	HTTP2    ListenerKind = "http2"     // HTTP/2 by prior knowledge
	HTTPS    ListenerKind = "https"     // HTTP/1.1 or HTTP/2 over TLS, selected by ALPN
	ExtAuthz ListenerKind = "ext_authz" // Envoy's external authorization over gRPC
)

// Listener is an address on which the gateway accepts connections of clients or proxies.
type Listener struct {
	Kind     ListenerKind
	Name     string // unique among listeners
	Address  string // host:port
	CertFile string // certificate chain in PEM, reloaded when the file changes; HTTPS only
	KeyFile  string // private key in PEM, reloaded when the file changes; HTTPS only
}

// Clients names the header fields of requests that the gateway reads.
type Clients struct {
	KeyHeader           string        // contains one of the customer's keys; X-Api-Key by default
	ClientTimeoutHeader string        // contains the client timeout in milliseconds; Envoy's field by default
	MaxRetryAfter       time.Duration // longest Retry-After that is sent; 0 to 1 h, default 1 s
}

// Class is a class of requests and the routes that belong to it.
type Class struct {
	policy.Class
	Units          float64 // quota units that a request uses; 1 (default) to 1000
	PriorityWeight float64 // relative to other classes; 0 to 1e6, default 1
	Authorization  AuthorizationMode
	// AuthorizationCacheTTL is how long a result may be used if a later check returns none
	// and the authorizer states no TTL; 0 (default, never) to 24 h.
	AuthorizationCacheTTL time.Duration
	Routes                []Route // at least one
}

// AuthorizationMode determines whether requests of a class are authorized, and how they are
// handled if the authorizer returns no result in time.
type AuthorizationMode string

// The authorization modes.
const (
	SkipAuthorization AuthorizationMode = "skip"   // the authorizer is not called
	FailClosed        AuthorizationMode = "refuse" // without a result the request is rejected
	FailOpen          AuthorizationMode = "allow"  // without a result the request proceeds
)

// Route matches requests of a class. {name} in the path matches any one segment,
// {name...} at its end matches all the segments that follow.
type Route struct{ Method, Path string }

// Customer is the owner of a quota.
type Customer struct {
	Name string
	Plan string   // name of one of Config.Plans
	Keys []string // each belongs to one customer

	// The customer's requests arrive at GatewaySpread gateways with consecutive numbers from
	// FirstGateway on; after the highest number, 0 follows. Defaults: 0 and the whole fleet.
	FirstGateway  int
	GatewaySpread int
}

// Peers configures the communication between the gateways of a fleet.
type Peers struct {
	RosterFile        string         // reloaded when it changes; "": Addresses lists the fleet
	Listen            string         // host:port on which peer messages are received (UDP)
	Addresses         map[int]string // host:port by gateway number, without this gateway's
	Keys              [][]byte       // 32 bytes each; the first authenticates sent messages, any of them received ones
	KeyFile           string         // reloaded when it changes; "": Keys is fixed
	MessagesPerSecond float64        // received by one gateway; 1 to 1e6, default 60
	MaxMessageAge     time.Duration  // older messages are dropped; 100 ms to 1 h, default 10 s
}

// Server is one entry of a static endpoint list.
type Server struct {
	Name    string
	Address string  // host:port
	Zone    string  // "" by default
	Cell    int     // deduplication cell; 0 (default) to 1e9
	Weight  float64 // capacity relative to other servers; 0.001 to 1e6, default 1
}

// Servers configures the source of the endpoint list and the properties that all servers share.
type Servers struct {
	Static     []Server // empty if EDS is the source
	EDSAddress string   // host:port of an xDS management server; "": Static is the source
	EDSCluster string   // name of the cluster to watch

	InitialCapacity    float64       // share of a warm server's capacity that a cold one has; 0.001 to 1, default 0.2
	WarmupTime         time.Duration // time until a cold server has its full capacity; 0 (default) to 1 h
	ColdOverloadFactor float64       // multiple of its present capacity at which a cold server fails; 1 to 1000, default 2
	ColdOverloadTime   time.Duration // how long that overload must last to make it fail; 1 ms to 1 min, default 1 s

	HTTP2 bool // servers speak HTTP/2 by prior knowledge; HTTP/1.1 by default

	// The rejection signal: a response with this status and this header field shows that the
	// server did not execute the request. RejectionStatus 0: there is no rejection signal.
	RejectionStatus int    // 400 to 599
	RejectionHeader string // in canonical form
}

// Authorizer is the external authorization service.
type Authorizer struct {
	Addresses         []string      // host:port; at least one
	Timeout           time.Duration // for one check; 1 ms to 1 min, default 200 ms
	MaxInFlight       int           // concurrent checks at one address; 1 to 1e6, default 1000
	MaxRequestBody    int           // bytes of a request's body that a check includes; 0 (default, none) to 1 MiB
	AllowedHeaders    []string      // header fields that a check includes, in canonical form; empty: all
	DisallowedHeaders []string      // header fields that a check omits, in canonical form
}

// Counter is the shared usage counter. It consists of one or more shards that speak RESP, the
// protocol of Redis.
type Counter struct {
	Addresses         []string      // host:port of each shard; the customer's name selects the shard
	CommandsPerSecond float64       // total of the whole fleet; HCL key calls_per_second; 1 to 1e6, default 500
	Timeout           time.Duration // for one call; 1 ms to 1 min, default 80 ms
	Window            time.Duration // period over which usage is totaled; 1 s to 24 h, default 1 min
	Retention         time.Duration // how long a total is stored; 1 s to 30 days, at least two windows, default 1 h
}

// Limits bounds the messages and connections that the gateway accepts and sets its timeouts.
// Memory and file descriptors limit how far the values can be raised.
type Limits struct {
	MaxLineBytes         int           // length of a request line or header line; 256 B to 1 MiB, default 8 KiB
	MaxHeaderFields      int           // header fields of a message; 8 to 10,000, default 100
	MaxHeaderBytes       int           // size of a message's header; 1 KiB to 16 MiB, default 32 KiB
	MaxRequestBody       int64         // bytes of a request's body; 0 to 1 GiB, default 1 MiB
	MaxResponseBody      int64         // bytes of the body of a server's response; 0 to 1 GiB, default 8 MiB
	HeaderTimeout        time.Duration // from a request's first byte to the end of its header; 1 ms to 1 h, default 5 s
	BodyTimeout          time.Duration // from a request's first byte to the end of its body; 1 ms to 1 h, default 10 s
	IdleTimeout          time.Duration // idle timeout of a client's connection; 1 ms to 24 h, default 5 min
	WriteTimeout         time.Duration // for a client to receive a response; 1 ms to 1 h, default 10 s
	MaxConnections       int           // client connections per listener; 1 to 1e6, default 20,000
	MaxConcurrentStreams int           // concurrent streams on one HTTP/2 connection; 1 to 100,000, default 100
	// FrameBudget is the number of resets, pings, settings and empty frames that one HTTP/2
	// connection may send in a burst; a tenth of it is refilled per second. 10 to 1e6,
	// default 200.
	FrameBudget     int
	MaxUnanswered   int           // requests that have no final response yet; 1 to 1e6, default 20,000
	ResponseMargin  time.Duration // time between the final response and the client timeout; 0 to 1 min, default 10 ms
	ConnectTimeout  time.Duration // for connecting to a server; 1 ms to 1 min, default 250 ms
	MaxIdleUpstream int           // idle connections to each server; 0 to 100,000, default 64
	MaxAttempts     int           // attempts for one request; 1 to 100, default 3
	// MaxMemory is the bytes of all requests and responses in memory. 1 MiB to 1 TiB, at least twice the longest
	// body; default 256 MiB, or eight times the longest body if that is more.
	MaxMemory int64
}

// Settings returns the policy settings that are derived from the configuration.
func (c *Config) Settings() policy.Settings {
	s := policy.Settings{
		SelfIndex: c.Number,
		Gateways:  len(c.Peers.Addresses) + 1,
		Zone:      c.Zone,
		Plans:     c.Plans,

		Resolution:  time.Millisecond,
		MaxAttempts: c.Limits.MaxAttempts,
		CanCancel:   true,

		CanMessagePeers:       len(c.Peers.Addresses) > 0 || c.Roster != nil,
		PeerMessagesPerSecond: c.Peers.MessagesPerSecond,

		MaxRetryAfter:      c.Clients.MaxRetryAfter,
		WeightIsCapacity:   true,
		InitialCapacity:    c.Servers.InitialCapacity,
		WarmupTime:         c.Servers.WarmupTime,
		ColdOverloadFactor: c.Servers.ColdOverloadFactor,
		ColdOverloadTime:   c.Servers.ColdOverloadTime,
	}
	for _, class := range c.Classes {
		s.Classes = append(s.Classes, class.Class)
		s.MaxRequestUnits = max(s.MaxRequestUnits, class.Units)
	}
	return s
}
