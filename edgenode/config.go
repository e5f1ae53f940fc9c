// Package edgenode runs a node as an edge node of the users' platform: its
// configuration, its life and its protocol, on the parts that every node has.
package edgenode

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/edgenode/discovery"
	"yardcleat.example/yardcleat/internal/wire"
	"yardcleat.example/yardcleat/policy"
)

// Config is what the platform tells an edge node at its start (NODE_CONFIG).
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // hex
	Limits    Limits `json:"limits"`

	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"` // by number, this node's own among them
	PeersAll   string   `json:"peers_all"`
	Counter    string   `json:"counter"`

	Known    json.RawMessage `json:"known"` // the server list, as last held
	Settings json.RawMessage `json:"settings"`

	Policy            policy.Settings      `json:"-"` // of Settings
	ServerIdleTimeout time.Duration        `json:"-"` // servers close a connection idle for so long
	DialTimeout       time.Duration        `json:"-"` // to connect to a server
	CachedEndpoints   []discovery.Endpoint `json:"-"` // of Known
}

// Limits is what the node's processes may use together.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Read reads a configuration file.
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

// Parse reads a configuration. The error names the key that can't be meant.
func Parse(b []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(b, c); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return nil, fmt.Errorf("%s: a %s is no %s", t.Field, t.Value, t.Type)
		}
		return nil, err
	}
	flat := map[string]string{}
	var settings any
	if len(c.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if err := json.Unmarshal(c.Settings, &settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := flatten(flat, "", settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var err error
	if c.Policy, err = wire.Settings(flat); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, d := range []struct {
		key string
		to  *time.Duration
	}{{"caps.conn_idle_ms", &c.ServerIdleTimeout}, {"caps.dial_timeout_ms", &c.DialTimeout}} {
		ms, err := strconv.ParseFloat(flat[d.key], 64)
		if err != nil || !(ms > 0 && ms < 1e9) {
			return nil, fmt.Errorf("settings: %s: %q is no time in ms above 0", d.key, flat[d.key])
		}
		*d.to = time.Duration(ms * float64(time.Millisecond))
	}
	if len(c.Known) > 0 && string(c.Known) != "null" {
		l, err := discovery.Parse(c.Known)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		c.CachedEndpoints = l.Endpoints
	}
	return c, c.check()
}

func (c *Config) check() error {
	if _, err := c.seed(); err != nil {
		return fmt.Errorf("seed: %q is no hex number of 64 bits", c.Seed)
	}
	switch {
	case c.Listen == "":
		return errors.New("listen: missing")
	case c.Discovery == "":
		return errors.New("discovery: missing")
	case c.Limits.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d is below 64", c.Limits.Sockets)
	case !(c.Limits.MemoryMB >= 16):
		return fmt.Errorf("limits.memory_mb: %v is below 16", c.Limits.MemoryMB)
	case !(c.Limits.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case c.Policy.CanMessagePeers && len(c.Peers) != c.Policy.Gateways:
		return fmt.Errorf("peers: %d addresses for %d edge nodes", len(c.Peers), c.Policy.Gateways)
	case c.Policy.CanMessagePeers && c.PeerListen == "":
		return errors.New("peer_listen: missing")
	}
	return nil
}

func (c *Config) seed() (uint64, error) { return strconv.ParseUint(c.Seed, 16, 64) }

// flatten writes nested settings as the paths that the simulator's wire has: a
// list of objects as NAME.count and NAME.0 and on, one of plain values joined by
// commas.
func flatten(m map[string]string, path string, v any) error {
	under := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			if err := flatten(m, under(k), e); err != nil {
				return err
			}
		}
	case []any:
		var plain []string
		for i, e := range v {
			if _, object := e.(map[string]any); object {
				if err := flatten(m, under(strconv.Itoa(i)), e); err != nil {
					return err
				}
				continue
			}
			s, ok := text(e)
			if !ok {
				return fmt.Errorf("%s: a list of lists", path)
			}
			plain = append(plain, s)
		}
		if m[under("count")] = strconv.Itoa(len(v)); len(plain) > 0 || len(v) == 0 {
			m[path] = strings.Join(plain, ",")
		}
	default:
		s, _ := text(v)
		m[path] = s
	}
	return nil
}

func text(v any) (string, bool) {
	switch v := v.(type) {
	case nil:
		return "", true
	case string:
		return v, true
	case bool:
		return strconv.FormatBool(v), true
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64), true
	}
	return "", false
}
