// Package config reads a node's configuration in HCL and checks all of it:
// every mistake is reported with file, line and what would be right.
package config

import (
	"log/slog"
	"time"

	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/policy"
)

// Config is a checked configuration.
type Config struct {
	Number   int    // this node's, from 0
	Name     string // by which the roster knows it; "" without one
	Zone     string // the room it stands in
	StateDir string // where it remembers things across restarts; "": nowhere

	LogLevel slog.Level
	LogJSON  bool

	Listeners  []Listener
	Clients    Clients
	Classes    []Class
	Plans      []policy.Plan
	Customers  []Customer
	Peers      Peers
	Roster     *membership.Roster // as it was at the start; nil: the fleet is what Peers says
	Servers    Servers
	Authorizer *Authorizer
	Counter    *Counter
	Limits     Limits
}

// ListenerKind is the protocol of a listener.
type ListenerKind string

// The kinds of listener.
const (
	HTTP     ListenerKind = "http"      // HTTP/1.1
	HTTP2    ListenerKind = "http2"     // HTTP/2 by prior knowledge
	HTTPS    ListenerKind = "https"     // both behind TLS, as ALPN says
	ExtAuthz ListenerKind = "ext_authz" // gRPC
)

// Listener is an address that clients or proxies reach the node at.
type Listener struct {
	Kind     ListenerKind
	Name     string
	Address  string
	CertFile string // of HTTPS: files in PEM, read again when they change
	KeyFile  string
}

// Clients says how requests tell who asks and for how long.
type Clients struct {
	KeyHeader           string // names the customer by one of its keys
	ClientTimeoutHeader string // milliseconds until the client gives up this try
	MaxRetryAfter       time.Duration
}

// Class is a class of requests with the routes that lead to it.
type Class struct {
	policy.Class
	Units                 float64
	PriorityWeight        float64 // against other classes
	Authorization         AuthorizationMode
	AuthorizationCacheTTL time.Duration // an authoriser's answer stands in for so long where it gives none; 0: never
	Routes                []Route
}

// AuthorizationMode says whether a class is put to the authoriser, and what
// happens when that gives no answer in time.
type AuthorizationMode string

// The modes.
const (
	SkipAuthorization AuthorizationMode = "skip"   // it is not asked
	FailClosed        AuthorizationMode = "refuse" // no answer: refused
	FailOpen          AuthorizationMode = "allow"  // no answer: let pass
)

// Route names the requests of a class. A path is made of segments; {name}
// stands for any one segment, {name...} at the end for all that follow.
type Route struct{ Method, Path string }

// Customer is who a quota is for.
type Customer struct {
	Name          string
	Plan          string
	Keys          []string
	FirstGateway  int // its requests come in through Spread nodes counted round from First
	GatewaySpread int
}

// Peers says how the nodes of a fleet reach each other.
type Peers struct {
	RosterFile        string // read again when it changes; "": the addresses below are all
	Listen            string
	Addresses         map[int]string // by number, this node's left out
	Keys              [][]byte       // of 32 bytes; the first seals, all open
	KeyFile           string         // read again when it changes; "": the keys stay
	MessagesPerSecond float64        // messages a node takes in
	MaxMessageAge     time.Duration  // a message sent longer ago is dropped
}

// Server is one line of a static server list.
type Server struct {
	Name    string
	Address string
	Zone    string
	Cell    int
	Weight  float64
}

// Servers says where the servers are known from and what may be asked of them.
type Servers struct {
	Static     []Server
	EDSAddress string // of an xDS management server; "": none
	EDSCluster string

	InitialCapacity    float64
	WarmupTime         time.Duration
	ColdOverloadFactor float64
	ColdOverloadTime   time.Duration

	// A response of this status with this field proves that nothing ran.
	HTTP2 bool // servers speak HTTP/2, by prior knowledge

	RejectionStatus int
	RejectionHeader string
}

// Authorizer is the external authorisation service.
type Authorizer struct {
	Addresses         []string
	Timeout           time.Duration // most time one Check may take
	MaxInFlight       int           // most Checks out at once at one address
	MaxRequestBody    int           // bytes of a request's body that it is sent; 0: none
	AllowedHeaders    []string      // header fields it is sent; empty: all
	DisallowedHeaders []string      // and those it is not
}

// Counter is the shared counter, of one or several parts, on RESP.
type Counter struct {
	Addresses      []string // of its parts; a customer's name picks one
	CallsPerSecond float64  // commands a second for the whole fleet
	Timeout        time.Duration
	Window         time.Duration // totals are kept for each window of time
	Retention      time.Duration // for so long
}

// Limits bounds what the node takes on.
type Limits struct {
	MaxLineBytes, MaxHeaderFields, MaxHeaderBytes int // bytes of a line, fields and bytes of a header
	MaxRequestBody                                int64
	MaxResponseBody                               int64         // bytes of a server's response
	HeaderTimeout                                 time.Duration // from a connection's first byte to the whole header
	BodyTimeout                                   time.Duration // and to the whole body
	IdleTimeout                                   time.Duration // a connection without a request is closed after it
	WriteTimeout                                  time.Duration // for a client to take an answer
	MaxConnections                                int           // of clients, per listener
	MaxStreams                                    int           // of HTTP/2, open at once on one connection
	FrameBudget                                   int           // resets, pings, settings and empty frames at once on one connection, a tenth of it a second
	MaxUnanswered                                 int           // not answered yet
	ResponseMargin                                time.Duration // answers leave so long before the client gives up
	ConnectTimeout                                time.Duration // to connect to a server
	MaxIdleUpstream                               int           // idle connections kept to each server
	MaxAttempts                                   int           // for one request
}

// Settings makes the module's settings.
func (c *Config) Settings() policy.Settings {
	s := policy.Settings{
		SelfIndex: c.Number, Gateways: len(c.Peers.Addresses) + 1, Zone: c.Zone, Plans: c.Plans,
		Resolution: time.Millisecond, MaxAttempts: c.Limits.MaxAttempts, CanCancel: true,
		CanMessagePeers: len(c.Peers.Addresses) > 0 || c.Roster != nil, PeerMessagesPerSecond: c.Peers.MessagesPerSecond,
		MaxRetryAfter: c.Clients.MaxRetryAfter, WeightIsCapacity: true,
		InitialCapacity: c.Servers.InitialCapacity, WarmupTime: c.Servers.WarmupTime,
		ColdOverloadFactor: c.Servers.ColdOverloadFactor, ColdOverloadTime: c.Servers.ColdOverloadTime,
	}
	for _, cl := range c.Classes {
		s.Classes = append(s.Classes, cl.Class)
		s.MaxRequestUnits = max(s.MaxRequestUnits, cl.Units)
	}
	return s
}
