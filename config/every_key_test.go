package config

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/policy"
)

// fleetKey is the key in the files of testdata.
var fleetKey = []byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31}

func parseTestdata(t *testing.T, name string) *Config {
	t.Helper()
	cfg, err := Load(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// compareFields reports each field of got that differs from want.
func compareFields(t *testing.T, got, want *Config) {
	t.Helper()
	g, w := reflect.ValueOf(*got), reflect.ValueOf(*want)
	for i := range g.NumField() {
		if !reflect.DeepEqual(g.Field(i).Interface(), w.Field(i).Interface()) {
			t.Errorf("%s: %+v, want %+v", g.Type().Field(i).Name, g.Field(i), w.Field(i))
		}
	}
}

func TestEveryKeyIsRead(t *testing.T) {
	compareFields(t, parseTestdata(t, "every_key.hcl"), &Config{
		Number: 1, Name: "b", Zone: "room-b", StateDir: "/var/lib/yardcleat",
		LogLevel: slog.LevelWarn, LogJSON: true,
		Listeners: []Listener{
			{Kind: HTTP, Name: "desks", Address: "127.0.0.1:8080"},
			{Kind: HTTP2, Name: "apps", Address: "127.0.0.1:8081"},
			{Kind: HTTPS, Name: "public", Address: "[::1]:8443", Cert: "/etc/cert.pem", Key: "/etc/key.pem"},
			{Kind: ExtAuthz, Name: "proxies", Address: "127.0.0.1:8082"},
		},
		Clients: Clients{KeyHeader: "X-Customer", PatienceHeader: "X-Time-Left", MaxRetryAfter: 7 * time.Second},
		Classes: []Class{
			{
				Class: policy.Class{Name: "lookup", Idempotency: policy.Idempotent, DedupScope: policy.DedupAllServers,
					LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second},
				Units: 2, Worth: 4, Authorisation: AllowClass, Remember: 30 * time.Second,
				Routes: []Route{{Method: "GET", Path: "/records/{id}"}, {Method: "HEAD", Path: "/files/{rest...}"}},
			},
			{
				Class: policy.Class{Name: "loan-change", Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupCell,
					DedupWindow: 2 * time.Second, LatencyObjective: 600 * time.Millisecond, Deadline: 2 * time.Second},
				Units: 1, Worth: 1, Authorisation: RefuseClass,
				Routes: []Route{{Method: "POST", Path: "/loans/{id}"}},
			},
		},
		Plans: []policy.Plan{
			{Name: "basic", Rate: 1.5, Burst: 5},
			{Name: "extended", Rate: 5, Burst: 10, MaxInFlight: 8, OverQuotaValue: 0.5, OverQuotaCost: 2, HardRate: 10, HardBurst: 20},
		},
		Customers: []Customer{{Name: "school-1", Plan: "basic", Keys: []string{"key-1", "key-2"}, First: 2, Nodes: 1}},
		Peers: Peers{Listen: "127.0.0.1:8090", Addresses: map[int]string{0: "127.0.0.1:8190", 2: "127.0.0.1:8290"},
			Keys: [][]byte{fleetKey}, MailPerSecond: 80, Freshness: 3 * time.Second},
		Servers: Servers{
			Static:    []Server{{Name: "catalogue-1", Address: "127.0.0.1:9001", Zone: "room-a", Cell: 3, Weight: 2.5}},
			ColdShare: 0.25, WarmWithin: 17 * time.Second, FallMultiple: 3, FallTime: 2 * time.Second,
			HTTP2: true, TurnedAwayStatus: 429, TurnedAwayHeader: "X-Not-Run",
		},
		Authoriser: &Authoriser{Addresses: []string{"127.0.0.1:9201", "127.0.0.1:9200"}, Timeout: 150 * time.Millisecond,
			MostOut: 50, Body: 4096, Allowed: []string{"Authorization", "X-A"}, Forbidden: []string{"Cookie"}},
		Counter: &Counter{Addresses: []string{"127.0.0.1:6379", "127.0.0.1:6380"}, Calls: 700, Limit: 90 * time.Millisecond,
			Window: 30 * time.Second, Keep: 2 * time.Hour},
		Limits: Limits{
			Line: 4096, Fields: 50, Header: 16384, Body: 65536, AnswerBody: 131072,
			HeaderTime: 3 * time.Second, BodyTime: 4 * time.Second, IdleTime: time.Minute, WriteTime: 6 * time.Second,
			Connections: 1000, Streams: 20, Abuse: 30, Requests: 2000, AnswerMargin: 20 * time.Millisecond,
			ConnectTime: 300 * time.Millisecond, IdleUpstream: 8, MaxAttempts: 5,
		},
	})
}

func TestDefaults(t *testing.T) {
	compareFields(t, parseTestdata(t, "minimal.hcl"), &Config{
		Listeners: []Listener{{Kind: HTTP, Name: "desks", Address: "127.0.0.1:8080"}},
		Clients:   Clients{KeyHeader: "X-Api-Key", PatienceHeader: "X-Envoy-Expected-Rq-Timeout-Ms", MaxRetryAfter: time.Second},
		Classes: []Class{{
			Class: policy.Class{Name: "lookup", Idempotency: policy.NonIdempotent, DedupScope: policy.DedupAllServers,
				LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second},
			Units: 1, Worth: 1, Authorisation: Skip, Routes: []Route{{Method: "GET", Path: "/records"}},
		}},
		Plans:     []policy.Plan{{Name: "basic"}},
		Customers: []Customer{{Name: "school-1", Plan: "basic", Keys: []string{"key-1"}, Nodes: 1}},
		Peers: Peers{Listen: "127.0.0.1:8090", Addresses: map[int]string{}, Keys: [][]byte{fleetKey},
			MailPerSecond: 60, Freshness: 10 * time.Second},
		Servers: Servers{
			Static:    []Server{{Name: "catalogue-1", Address: "127.0.0.1:9001", Weight: 1}},
			ColdShare: 0.2, FallMultiple: 2, FallTime: time.Second, TurnedAwayStatus: 503, TurnedAwayHeader: "X-Not-Run",
		},
		Authoriser: &Authoriser{Addresses: []string{"127.0.0.1:9200"}, Timeout: 200 * time.Millisecond, MostOut: 1000},
		Counter: &Counter{Addresses: []string{"127.0.0.1:6379"}, Calls: 500, Limit: 80 * time.Millisecond,
			Window: time.Minute, Keep: time.Hour},
		Limits: Limits{
			Line: 8 << 10, Fields: 100, Header: 32 << 10, Body: 1 << 20, AnswerBody: 8 << 20,
			HeaderTime: 5 * time.Second, BodyTime: 10 * time.Second, IdleTime: 5 * time.Minute, WriteTime: 10 * time.Second,
			Connections: 20000, Streams: 100, Abuse: 200, Requests: 20000, AnswerMargin: 10 * time.Millisecond,
			ConnectTime: 250 * time.Millisecond, IdleUpstream: 64, MaxAttempts: 3,
		},
	})
}

// The keys that stand in place of others: an EDS source, a roster and a key file.
func TestAlternativeKeysAreRead(t *testing.T) {
	dir := t.TempDir()
	keyFile, rosterFile := filepath.Join(dir, "keys"), filepath.Join(dir, "roster.hcl")
	roster := &membership.Roster{Epoch: 3, Nodes: []membership.Node{{Name: "a", Address: "10.0.0.1:7000"}, {Name: "b", Address: "10.0.0.2:7000"}}}
	writeFile(t, keyFile, strings.Repeat("07", 32)+"\n"+strings.Repeat("08", 32)+"\n")
	writeFile(t, rosterFile, string(WriteRoster(roster)))
	src := replaceAll(t, readFile(t, "every_key.hcl"), map[string]string{
		`server "catalogue-1" {`: `eds {`,
		`    address = "127.0.0.1:9001"
    zone    = "room-a"
    cell    = 3
    weight  = 2.5`: `    address = "127.0.0.1:18000"
    cluster = "catalogue"`,
		`  key             = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"`: `  key_file = "` + keyFile + `"
  roster = "` + rosterFile + `"`,
		`  peer "0" { address = "127.0.0.1:8190" }` + "\n": "",
		`  peer "2" { address = "127.0.0.1:8290" }` + "\n": "",
	})
	cfg, err := Parse([]byte(src), "node.hcl")
	if err != nil {
		t.Fatal(err)
	}
	wantPeers := Peers{RosterFile: rosterFile, Listen: "127.0.0.1:8090", Addresses: map[int]string{0: "10.0.0.1:7000"},
		Keys:    [][]byte{[]byte(strings.Repeat("\x07", 32)), []byte(strings.Repeat("\x08", 32))},
		KeyFile: keyFile, MailPerSecond: 80, Freshness: 3 * time.Second}
	if !reflect.DeepEqual(cfg.Peers, wantPeers) {
		t.Errorf("peers %+v, want %+v", cfg.Peers, wantPeers)
	}
	if !reflect.DeepEqual(cfg.Roster, roster) || cfg.Number != 1 {
		t.Errorf("roster %+v, number %d", cfg.Roster, cfg.Number)
	}
	if len(cfg.Servers.Static) != 0 || cfg.Servers.EDSAddress != "127.0.0.1:18000" || cfg.Servers.EDSCluster != "catalogue" {
		t.Errorf("servers %+v", cfg.Servers)
	}
}

// Each key with a value that it does not take: what is said, with file, line and columns.
func TestEveryKeyOutOfBounds(t *testing.T) {
	src := readFile(t, "every_key.hcl")
	for _, c := range outOfBounds {
		if strings.Count(src, c.old) != 1 {
			t.Errorf("%q does not stand once in the file", c.old)
			continue
		}
		_, err := Parse([]byte(strings.Replace(src, c.old, c.new, 1)), "node.hcl")
		var m *Mistakes
		if !errors.As(err, &m) {
			t.Errorf("%s: %v", c.new, err)
			continue
		}
		var got []string
		for _, d := range m.Diagnostics {
			got = append(got, d.Error())
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\n%q\nwant:\n%q", c.new, got, c.want)
		}
	}
}

func readFile(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// replaceAll replaces texts that must stand in s.
func replaceAll(t *testing.T, s string, replacements map[string]string) string {
	t.Helper()
	for old, with := range replacements {
		if !strings.Contains(s, old) {
			t.Fatalf("%q does not stand in the file", old)
		}
		s = strings.Replace(s, old, with, 1)
	}
	return s
}
