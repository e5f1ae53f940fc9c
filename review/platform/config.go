package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Node is an edge node of a case: its number and its addresses.
type Node struct {
	Number     int
	Listen     string
	PeerListen string
	ConfigPath string
	PIDPath    string
}

// Class is a class of requests in the settings.
type Class struct {
	Name      string  `json:"name"`
	Semantics string  `json:"semantics"`
	Group     string  `json:"group"`
	WindowMS  float64 `json:"window_ms"`
	AimMS     float64 `json:"aim_ms"`
	LimitMS   float64 `json:"hard_limit_ms"`
	Value     float64 `json:"value"`
	LateWorth float64 `json:"late_worth"`
	Stream    bool    `json:"stream"`
}

// Settings are the settings in which cases differ.
type Settings struct {
	Classes       []Class
	DialTimeoutMS float64
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// NewNodes returns a number of nodes with free addresses and files in a folder.
func NewNodes(count int, folder string) ([]Node, error) {
	var nodes []Node
	for i := range count {
		listen, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		peer, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, Node{
			Number:     i,
			Listen:     listen,
			PeerListen: peer,
			ConfigPath: filepath.Join(folder, fmt.Sprintf("config-%d.json", i)),
			PIDPath:    filepath.Join(folder, fmt.Sprintf("pid-%d", i)),
		})
	}
	return nodes, nil
}

// WriteConfigs writes the configuration of each node, in place of an earlier one.
func WriteConfigs(nodes []Node, discovery string, known List, settings Settings) error {
	var peers []string
	for _, n := range nodes {
		peers = append(peers, n.PeerListen)
	}
	for _, n := range nodes {
		config := map[string]any{
			"name": fmt.Sprintf("n%d", n.Number), "listen": n.Listen, "discovery": discovery,
			"seed":        fmt.Sprintf("%016x", 0x5eed0001+n.Number+os.Getpid()),
			"limits":      map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512},
			"peer_listen": n.PeerListen, "peers": peers,
			"known":    known,
			"settings": settingsOf(n, len(nodes), settings),
		}
		text, err := json.MarshalIndent(config, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.ConfigPath+".new", text, 0o600); err != nil {
			return err
		}
		if err := os.Rename(n.ConfigPath+".new", n.ConfigPath); err != nil {
			return err
		}
	}
	return nil
}

// settingsOf returns the settings of a node of a small deployment: one plan whose quota no case reaches.
func settingsOf(n Node, count int, s Settings) map[string]any {
	return map[string]any{
		"balancers": count, "me": n.Number, "stage": 0, "tick_ms": 2.0, "zone": "room-a", "zones": []string{"room-a"},
		"tiers": []string{"catalog"}, "flavors": []string{"std"}, "family": "gate", "discovery": "push", "weight_kind": "none",
		"caps": map[string]any{
			"cancel": true, "conn_idle_ms": 15000.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
			"dial_timeout_ms": s.DialTimeoutMS, "max_attempts": 6, "max_open": 20000, "max_retry_after_ms": 500.0,
			"may_duplicate": false, "peers": true, "probes": false, "retry_after": true, "streams_per_conn": 1,
		},
		"charges":     map[string]any{"cross_zone": 0.02, "waste": 0.03},
		"classes":     s.Classes,
		"clients":     map[string]any{"marks_retry": true},
		"family_info": map[string]any{"cost_after": false, "counter": false, "largest": 1, "mail_per_s": 60.0},
		"plans": []map[string]any{{
			"name": "county", "rate": 400.0, "store_size": 800.0, "parallel": 0, "hard_rate": 0.0, "hard_burst": 0.0,
			"tolerance": 0.0, "price": 1.0, "beyond_costs": 0.0, "beyond_earns": 0.0,
		}},
		"report": map[string]any{"names": []string{}, "via": "none"},
		"rules": map[string]any{
			"answer_slack_ms": 8.0, "ask_every_ms": 10000.0, "cold_share": 0.21, "drain_grace_ms": 250.0, "fall_ms": 1000.0,
			"fall_multiple": 3.0, "warm_within_ms": 17000.0,
		},
	}
}

// StartNodes writes the configurations, has case.sh start the nodes, and waits until they are ready.
func StartNodes(o *Options, count int, discovery string, known List, settings Settings) ([]Node, error) {
	nodes, err := NewNodes(count, o.Folder)
	if err != nil {
		return nil, err
	}
	if err := WriteConfigs(nodes, discovery, known, settings); err != nil {
		return nil, err
	}
	if err := o.MarkReady(); err != nil {
		return nil, err
	}
	for _, n := range nodes {
		if err := AwaitReady(n.Listen, readyTime); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// readyTime is how long a node may take to be ready.
const readyTime = 10 * time.Second

// PID returns the number of the node's process.
func (n *Node) PID() (int, error) {
	text, err := os.ReadFile(n.PIDPath)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(text)))
}
