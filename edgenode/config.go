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

// Config is the configuration that the platform gives an edge node at its start. The JSON keys are the
// platform's. It is not changed after Parse returns it, so any number of goroutines may
// read it.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`    // host:port for clients
	Discovery string `json:"discovery"` // host:port of the discovery agent
	Seed      string `json:"seed"`      // of random choices; 64 bits in hex
	Limits    Limits `json:"limits"`

	PeerListen string   `json:"peer_listen"` // host:port for datagrams of peers
	Peers      []string `json:"peers"`       // host:port by number, this node's own among them
	PeersAll   string   `json:"peers_all"`   // host:port that reaches all peers; "": each is sent to by itself
	Counter    string   `json:"counter"`     // not used

	LastKnownEndpoints json.RawMessage `json:"known"`    // the last known endpoint list; may be missing
	Settings           json.RawMessage `json:"settings"` // the simulator's settings, nested

	Policy            policy.Settings      `json:"-"` // from Settings
	ServerIdleTimeout time.Duration        `json:"-"` // from Settings; servers close connections idle for so long
	DialTimeout       time.Duration        `json:"-"` // from Settings; to connect to a server
	CachedEndpoints   []discovery.Endpoint `json:"-"` // from Known
}

// Limits is what the node's process may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // above 0
	MemoryMB float64 `json:"memory_mb"` // MiB; at least 16
	Sockets  int     `json:"sockets"`   // file descriptors; at least 64
}

const (
	minMemoryMB = 16
	minSockets  = 64
)

// KeyError is the error of Parse for a key that is missing or has a wrong value. It may be
// wrapped with the key around it.
type KeyError struct {
	Key     string // path of the key, such as limits.sockets
	Problem string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

func keyErrorf(key, problem string, args ...any) error {
	return &KeyError{Key: key, Problem: fmt.Sprintf(problem, args...)}
}

// Read reads a configuration file. The error is that of os.ReadFile, or of Parse with the
// path in front.
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

// Parse reads and checks a configuration. The error is one line that names the key.
func Parse(b []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(b, c); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, keyErrorf(wrongType.Field, "a %s is no %s", wrongType.Value, wrongType.Type)
		}
		return nil, err
	}
	if len(c.Settings) == 0 {
		return nil, keyErrorf("settings", "missing")
	}
	if err := c.readSettings(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.readKnown(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// readSettings fills what follows from Settings.
func (c *Config) readSettings() error {
	settings, err := flattenSettings(c.Settings)
	if err != nil {
		return err
	}
	if c.Policy, err = wire.Settings(settings); err != nil {
		return err
	}
	if c.ServerIdleTimeout, err = milliseconds(settings, "caps.conn_idle_ms"); err != nil {
		return err
	}
	c.DialTimeout, err = milliseconds(settings, "caps.dial_timeout_ms")
	return err
}

// maxMilliseconds is a time that no setting means (11 days).
const maxMilliseconds = 1e9

func milliseconds(settings map[string]string, key string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(settings[key], 64)
	inRange := ms > 0 && ms < maxMilliseconds // false for NaN
	if err != nil || !inRange {
		return 0, keyErrorf(key, "%q is no time in ms above 0", settings[key])
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// readKnown fills what follows from Known.
func (c *Config) readKnown() error {
	if len(c.LastKnownEndpoints) == 0 || string(c.LastKnownEndpoints) == "null" {
		return nil
	}
	list, err := discovery.Parse(c.LastKnownEndpoints)
	if err != nil {
		return err
	}
	c.CachedEndpoints = list.Endpoints
	return nil
}

func (c *Config) check() error {
	if _, err := c.seed(); err != nil {
		return keyErrorf("seed", "%q is no hex number of 64 bits", c.Seed)
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
