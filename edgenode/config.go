package edgenode

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/edgenode/discovery"
	"yardcleat.example/yardcleat/internal/wire"
	"yardcleat.example/yardcleat/policy"
)

// Config is the configuration with which the platform starts an edge node. The platform defines the JSON
// keys. A Config is not changed after Parse returns it, so any number of goroutines may read it.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`    // host:port at which clients connect
	Discovery string `json:"discovery"` // host:port of the discovery agent
	Seed      string `json:"seed"`      // of the random number generator; 64 bits in hexadecimal
	Limits    Limits `json:"limits"`

	PeerListen string   `json:"peer_listen"` // host:port for datagrams from peers
	Peers      []string `json:"peers"`       // host:port by node index, including this node's own
	PeersAll   string   `json:"peers_all"`   // host:port that reaches all peers; "": messages are sent to each peer separately
	Counter    string   `json:"counter"`     // not used

	LastKnownEndpoints json.RawMessage `json:"known"`    // optional; the endpoint list of an earlier run
	Settings           json.RawMessage `json:"settings"` // the settings of package wire, as nested JSON

	Policy            policy.Settings `json:"-"` // from Settings
	ServerIdleTimeout time.Duration   `json:"-"` // from Settings; how long servers keep an idle connection open
	DialTimeout       time.Duration   `json:"-"` // from Settings; for connecting to a server
	CachedList        discovery.List  `json:"-"` // from LastKnownEndpoints
}

// Limits is the resources that the node's process may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // above 0
	MemoryMB float64 `json:"memory_mb"` // MiB; at least 16
	Sockets  int     `json:"sockets"`   // file descriptors; at least 64
}

const (
	minMemoryMB = 16
	minSockets  = 64
)

// KeyError is the error of Parse for a key that is missing or has an invalid value. It may be
// wrapped in an error that names the enclosing key.
type KeyError struct {
	Key     string // path of the key, such as limits.sockets
	Problem string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

func keyErrorf(key, problem string, args ...any) error {
	return &KeyError{Key: key, Problem: fmt.Sprintf(problem, args...)}
}

// Read reads and parses a configuration file. The error is that of os.ReadFile, or that of
// Parse with the path as a prefix.
func Read(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse parses and validates a configuration. The error is one line; for JSON that is well
// formed it names the key.
func Parse(b []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(b, c); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, keyErrorf(wrongType.Field, "got %s, want %s", wrongType.Value, wrongType.Type)
		}
		return nil, err
	}
	if len(c.Settings) == 0 {
		return nil, keyErrorf("settings", "missing")
	}
	if err := c.readSettings(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.readLastKnownEndpoints(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// readSettings sets the fields that are derived from Settings.
func (c *Config) readSettings() error {
	settings, err := flattenSettings(c.Settings)
	if err != nil {
		return err
	}
	if c.Policy, err = wire.ParseSettings(settings); err != nil {
		return err
	}
	if c.ServerIdleTimeout, err = milliseconds(settings, "caps.conn_idle_ms"); err != nil {
		return err
	}
	c.DialTimeout, err = milliseconds(settings, "caps.dial_timeout_ms")
	return err
}

// maxMilliseconds is the exclusive upper bound for durations in settings: 11 days.
const maxMilliseconds = 1e9

func milliseconds(settings map[string]string, key string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(settings[key], 64)
	inRange := ms > 0 && ms < maxMilliseconds // false for NaN
	if err != nil || !inRange {
		return 0, keyErrorf(key, "%q is not a valid number of milliseconds above 0", settings[key])
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// readLastKnownEndpoints sets the fields that are derived from LastKnownEndpoints.
func (c *Config) readLastKnownEndpoints() error {
	if len(c.LastKnownEndpoints) == 0 || string(c.LastKnownEndpoints) == "null" {
		return nil
	}
	list, err := discovery.Parse(c.LastKnownEndpoints)
	if err != nil {
		return err
	}
	c.CachedList = list
	return nil
}

func (c *Config) check() error {
	if _, err := c.seed(); err != nil {
		return keyErrorf("seed", "%q is not a 64-bit hexadecimal number", c.Seed)
	}
	switch {
	case c.Listen == "":
		return keyErrorf("listen", "missing")
	case c.Discovery == "":
		return keyErrorf("discovery", "missing")
	case c.Limits.Sockets < minSockets:
		return keyErrorf("limits.sockets", "%d is below %d", c.Limits.Sockets, minSockets)
	case c.Limits.MemoryMB < minMemoryMB:
		return keyErrorf("limits.memory_mb", "%v is below %d", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.Cores <= 0:
		return keyErrorf("limits.cores", "%v is not above 0", c.Limits.Cores)
	}
	if c.Policy.CanMessagePeers {
		return c.checkPeers()
	}
	return nil
}

func (c *Config) checkPeers() error {
	if len(c.Peers) != c.Policy.Gateways {
		return keyErrorf("peers", "%d addresses for %d edge nodes", len(c.Peers), c.Policy.Gateways)
	}
	if c.PeerListen == "" {
		return keyErrorf("peer_listen", "missing")
	}
	return nil
}

func (c *Config) seed() (uint64, error) { return strconv.ParseUint(c.Seed, 16, 64) }
