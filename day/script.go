// Package day runs scripted fault scenarios against a fleet of gateways, which run as processes on loopback
// or in virtual time. It simulates the clients, and uses fakes of the catalogue servers, the authorizer, the
// counter, the proxies and the discovery service. It checks the five rules against the responses that clients
// received and the attempts that servers received.
package day

import (
	"embed"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

//go:embed scripts
var scripts embed.FS

// DefaultScript is the name of the built-in script that runs if none is given.
const DefaultScript = "default"

// ScriptNames returns the names of the built-in scripts.
func ScriptNames() []string {
	entries, err := scripts.ReadDir("scripts")
	if err != nil {
		panic(err) // the scripts are embedded
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".hcl"))
	}
	return names
}

// Source returns the text of a built-in script.
func Source(name string) ([]byte, error) { return scripts.ReadFile("scripts/" + name + ".hcl") }

// Load parses a built-in script.
func Load(name string) (*Script, error) {
	src, err := Source(name)
	if err != nil {
		return nil, err
	}
	return Parse(src, name+".hcl")
}

// Script describes a scenario.
type Script struct {
	Extends               string          `hcl:"extends,optional"` // a built-in script, whose blocks and attributes are read first
	Length                Duration        `hcl:"length"`
	Seed                  int             `hcl:"seed,optional"`
	Nodes                 int             `hcl:"nodes"`
	Spares                int             `hcl:"spares,optional"` // nodes that may join; if there are any, the nodes read a roster
	PeerMessagesPerSecond float64         `hcl:"mail_per_second,optional"`
	Servers               Servers         `hcl:"servers,block"`
	Clients               Clients         `hcl:"clients,block"`
	Counter               *Counter        `hcl:"counter,block"`
	Classes               []Class         `hcl:"class,block"`
	Plans                 []Plan          `hcl:"plan,block"`
	Customers             []CustomerGroup `hcl:"customers,block"`
	Faults                []Fault         `hcl:"fault,block"`

	blockRanges map[string][]hcl.Range // positions of the blocks, by type, in order
}

// Duration is a duration as text, such as "250ms".
type Duration = string

// Servers describes the catalogue servers and the endpoint updates about them.
type Servers struct {
	Count              int      `hcl:"count"`
	Cores              int      `hcl:"cores"`
	QueueLength        int      `hcl:"queue"`
	DedupScopes        int      `hcl:"racks"`
	InitialCapacity    float64  `hcl:"cold_share"`
	WarmupTime         Duration `hcl:"warm_within"`
	ColdOverloadFactor float64  `hcl:"fall_multiple"`
	ColdOverloadTime   Duration `hcl:"fall_time"`
	DrainGrace         Duration `hcl:"drain_grace"`
	UpdateDelay        Duration `hcl:"told_late"`
}

// Counter describes the shared counter.
type Counter struct {
	Shards            int     `hcl:"parts"`
	CommandsPerSecond float64 `hcl:"calls_per_second"`
}

// Clients describes the behavior of the clients.
type Clients struct {
	Retries    int      `hcl:"retries"`
	RetryDelay Duration `hcl:"wait"`           // mean delay before a retry
	ProxyShare float64  `hcl:"proxied"`        // fraction of requests sent through the proxies
	HTTP2Share float64  `hcl:"http2,optional"` // fraction of requests sent over HTTP/2; the rest is sent over HTTP/1.1
}

// Class is a class of requests, with the work that a request takes.
type Class struct {
	Name             string   `hcl:"name,label"`
	Method           string   `hcl:"method"`
	PathPrefix       string   `hcl:"path"` // followed by an ID
	Effect           string   `hcl:"effect"`
	DedupScope       string   `hcl:"group,optional"`
	DedupWindow      Duration `hcl:"window,optional"`
	LatencyObjective Duration `hcl:"aim"`
	Deadline         Duration `hcl:"deadline"`
	ServiceTime      Duration `hcl:"work"`
	Share            float64  `hcl:"share"` // fraction of all requests
	Units            float64  `hcl:"units,optional"`
	Authorisation    string   `hcl:"authorisation,optional"`
}

// Plan is a plan with its quotas.
type Plan struct {
	Name        string  `hcl:"name,label"`
	Rate        float64 `hcl:"rate"`
	Burst       float64 `hcl:"burst"`
	MaxInFlight int     `hcl:"open,optional"`
	HardRate    float64 `hcl:"hard_rate,optional"`
	HardBurst   float64 `hcl:"hard_burst,optional"`
}

// CustomerGroup is a group of customers of one plan with equal demand.
type CustomerGroup struct {
	Name   string  `hcl:"name,label"`
	Plan   string  `hcl:"plan"`
	Count  int     `hcl:"count"`
	Demand float64 `hcl:"use"` // as a multiple of the plan's rate
}

// Fault is one fault of a scenario.
type Fault struct {
	Kind     string   `hcl:"kind,label"`
	At       Duration `hcl:"at"`
	Duration Duration `hcl:"for,optional"`
	Target   int      `hcl:"target,optional"` // number of the node, server or shard of the counter, from 0
	Argument string   `hcl:"arg,optional"`
}

// faultKinds describes the target and the argument of each kind of fault.
var faultKinds = map[string]struct {
	target string // node, server, part (a shard of the counter) or ""
	arg    string
}{
	"node-kill":         {"node", ""},   // killed, and started again after "for"
	"node-stop":         {"node", ""},   // suspended for "for"; a process with SIGSTOP
	"server-drain":      {"server", ""}, // marked as draining; killed and removed from the endpoint list after "for"
	"server-vanish":     {"server", ""}, // killed; removed from the endpoint list after "for"
	"server-return":     {"server", ""}, // started again, cold
	"server-hang":       {"server", ""},
	"server-half-close": {"server", ""},
	"server-fail":       {"server", "class"},
	"server-slow":       {"server", "factor"},
	"peers-lose":        {"", "share"},
	"authoriser-slow":   {"", "duration"},
	"authoriser-silent": {"", ""},
	"counter-silent":    {"part", ""},
	"counter-refuse":    {"part", ""}, // refuses connections and commands
	"counter-lose":      {"part", ""}, // executes commands, but sends no replies
	"counter-slow":      {"part", "duration"},
	"counter-empty":     {"part", ""}, // loses all data
	"counter-save":      {"part", ""},
	"counter-restore":   {"part", ""}, // returns to the saved data
	"counter-split":     {"part", ""}, // nodes with even and odd numbers use separate copies
	"counter-heal":      {"part", "first, second or both"},

	"node-kill-start":  {"node", "duration"}, // killed, started after "for", and killed again after the argument
	"server-reset":     {"server", ""},       // accepts connections, and resets them after reading a request
	"server-twice":     {"server", ""},       // sends two responses to each request
	"server-flap":      {"server", ""},       // removed from the endpoint list and added again after "for", but not stopped
	"peers-cut":        {"node", "node"},     // messages from the target to the node in the argument are lost; those in the opposite direction are not
	"proxy-kill":       {"node", ""},         // killed with the requests it holds; started again after "for"
	"discovery-silent": {"", ""},             // updates are held back
	"discovery-bad":    {"", ""},             // from then on, an invalid list is sent before each update
	"discovery-cut":    {"", ""},             // all streams are closed
	"fleet-grow":       {"", "count"},        // number of spares that join; the nodes get the roster one after another over "for"
	"fleet-shrink":     {"", "count"},        // number of nodes that leave; the nodes get the roster as above
	"clock-set":        {"node", "duration"}, // the node's wall clock is ahead by the argument until "for" has passed; in virtual time only
}

// Parse parses a script. The name is used in error messages.
func Parse(src []byte, name string) (*Script, error) {
	s := &Script{Seed: 1, PeerMessagesPerSecond: 200}
	parser := hclparse.NewParser()
	file, diags := parser.ParseHCL(src, name)
	if diags.HasErrors() {
		return nil, errors.Join(diags.Errs()...)
	}
	files := []*hcl.File{file}
	var header struct {
		Extends string   `hcl:"extends,optional"`
		Rest    hcl.Body `hcl:",remain"`
	}
	diags = gohcl.DecodeBody(file.Body, nil, &header)
	if header.Extends != "" {
		source, err := Source(header.Extends)
		if err != nil {
			return nil, fmt.Errorf("%s: extends %q, which is not a built-in script; the built-in scripts are %s", name, header.Extends, strings.Join(ScriptNames(), ", "))
		}
		baseFile, baseDiags := parser.ParseHCL(source, header.Extends+".hcl")
		files, diags = append([]*hcl.File{baseFile}, files...), append(diags, baseDiags...)
	}
	if diags = append(diags, gohcl.DecodeBody(hcl.MergeFiles(files), nil, s)...); diags.HasErrors() {
		return nil, errors.Join(diags.Errs()...)
	}
	s.blockRanges = blockRanges(files)
	return s, s.validate(name)
}

// toDuration parses a valid duration; "" is 0.
func toDuration(d Duration) time.Duration {
	v, _ := time.ParseDuration(d)
	return v
}
