// Package day plays a scripted day of trouble on real nodes: a fleet of
// gateways, catalogue servers, authoriser, proxies and discovery, with clients
// on both fronts, and checks the five rules from what passed.
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

// DefaultScript names the script that is played where none is given.
const DefaultScript = "default"

// ScriptNames lists the scripts that come with the program.
func ScriptNames() []string {
	list, err := scripts.ReadDir("scripts")
	if err != nil {
		panic(err) // they are in the program
	}
	var names []string
	for _, e := range list {
		names = append(names, strings.TrimSuffix(e.Name(), ".hcl"))
	}
	return names
}

// Source is the text of a script that comes with the program.
func Source(name string) ([]byte, error) { return scripts.ReadFile("scripts/" + name + ".hcl") }

// Load reads a script that comes with the program.
func Load(name string) (*Script, error) {
	src, err := Source(name)
	if err != nil {
		return nil, err
	}
	return Parse(src, name+".hcl")
}

// Script is a day.
type Script struct {
	Extends               string          `hcl:"extends,optional"` // a script of the program, whose blocks and values come first
	Length                Duration        `hcl:"length"`
	Seed                  int             `hcl:"seed,optional"`
	Nodes                 int             `hcl:"nodes"`
	Spares                int             `hcl:"spares,optional"` // nodes that may join; with any, the fleet is by roster
	PeerMessagesPerSecond float64         `hcl:"mail_per_second,optional"`
	Servers               Servers         `hcl:"servers,block"`
	Clients               Clients         `hcl:"clients,block"`
	Counter               *Counter        `hcl:"counter,block"`
	Classes               []Class         `hcl:"class,block"`
	Plans                 []Plan          `hcl:"plan,block"`
	Customers             []CustomerGroup `hcl:"customers,block"`
	Faults                []Fault         `hcl:"fault,block"`

	blockRanges map[string][]hcl.Range // of blocks, by type, in order
}

// Duration is a text such as "250ms".
type Duration = string

// Servers describes the catalogue servers and what discovery tells of them.
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

// Clients describes how clients behave.
type Clients struct {
	Retries    int      `hcl:"retries"`
	RetryDelay Duration `hcl:"wait"`           // before a retry
	ProxyShare float64  `hcl:"proxied"`        // share of tries that come by the proxies
	HTTP2Share float64  `hcl:"http2,optional"` // share that comes over HTTP/2; the rest over HTTP/1.1
}

// Class is a class of requests with the work it makes.
type Class struct {
	Name             string   `hcl:"name,label"`
	Method           string   `hcl:"method"`
	PathPrefix       string   `hcl:"path"` // a prefix; an id follows
	Effect           string   `hcl:"effect"`
	DedupScope       string   `hcl:"group,optional"`
	DedupWindow      Duration `hcl:"window,optional"`
	LatencyObjective Duration `hcl:"aim"`
	Deadline         Duration `hcl:"deadline"`
	ServiceTime      Duration `hcl:"work"`
	Share            float64  `hcl:"share"` // of all requests
	Units            float64  `hcl:"units,optional"`
	Authorisation    string   `hcl:"authorisation,optional"`
}

// Plan is a plan's quotas.
type Plan struct {
	Name        string  `hcl:"name,label"`
	Rate        float64 `hcl:"rate"`
	Burst       float64 `hcl:"burst"`
	MaxInFlight int     `hcl:"open,optional"`
	HardRate    float64 `hcl:"hard_rate,optional"`
	HardBurst   float64 `hcl:"hard_burst,optional"`
}

// CustomerGroup is some customers of one plan that ask alike.
type CustomerGroup struct {
	Name   string  `hcl:"name,label"`
	Plan   string  `hcl:"plan"`
	Count  int     `hcl:"count"`
	Demand float64 `hcl:"use"` // units asked for, as a multiple of the plan's rate
}

// Fault is one trouble.
type Fault struct {
	Kind     string   `hcl:"kind,label"`
	At       Duration `hcl:"at"`
	Duration Duration `hcl:"for,optional"`
	Target   int      `hcl:"target,optional"` // number of the node or server, from 0
	Argument string   `hcl:"arg,optional"`
}

// faultKinds of fault, with what their target and argument mean.
var faultKinds = map[string]struct {
	target string // node, server or ""
	arg    string
}{
	"node-kill":         {"node", ""},   // killed outright, started again after "for"
	"node-stop":         {"node", ""},   // SIGSTOP for "for"
	"server-drain":      {"server", ""}, // told as draining; ended after "for"
	"server-vanish":     {"server", ""}, // ended; discovery learns of it after "for"
	"server-return":     {"server", ""}, // started again, cold
	"server-hang":       {"server", ""},
	"server-half-close": {"server", ""},
	"server-fail":       {"server", "class"},
	"server-slow":       {"server", "factor"},
	"peers-lose":        {"", "share"},
	"authoriser-slow":   {"", "duration"},
	"authoriser-silent": {"", ""},
	"counter-silent":    {"part", ""},
	"counter-refuse":    {"part", ""}, // connections and calls
	"counter-lose":      {"part", ""}, // does what it is told, and answers nothing
	"counter-slow":      {"part", "duration"},
	"counter-empty":     {"part", ""}, // an empty one in its place
	"counter-save":      {"part", ""},
	"counter-restore":   {"part", ""}, // what was saved
	"counter-split":     {"part", ""}, // even nodes on one side, odd ones on the other
	"counter-heal":      {"part", "first, second or both"},

	"node-kill-start":  {"node", "duration"}, // killed again that long after it was started again
	"server-reset":     {"server", ""},       // accepts, and resets what it has read
	"server-twice":     {"server", ""},       // answers twice
	"server-flap":      {"server", ""},       // taken off the list and put back after "for"; it runs on
	"peers-cut":        {"node", "node"},     // what one node tells another is lost; the other way it is not
	"proxy-kill":       {"node", ""},         // with the attempts it holds; back after "for"
	"discovery-silent": {"", ""},             // changes are held back
	"discovery-bad":    {"", ""},             // a list that can't be meant, and then the good one
	"discovery-cut":    {"", ""},             // its streams end
	"fleet-grow":       {"", "count"},        // so many spares join; the nodes hear of it over "for"
	"fleet-shrink":     {"", "count"},        // so many of them leave again
	"clock-set":        {"node", "duration"}, // the node's wall clock, by so much; back after "for"; in virtual time alone
}

// Parse reads a script; the name is for messages.
func Parse(src []byte, name string) (*Script, error) {
	s := &Script{Seed: 1, PeerMessagesPerSecond: 200}
	p := hclparse.NewParser()
	own, diags := p.ParseHCL(src, name)
	if diags.HasErrors() {
		return nil, errors.Join(diags.Errs()...)
	}
	files := []*hcl.File{own}
	var head struct {
		Extends string   `hcl:"extends,optional"`
		Rest    hcl.Body `hcl:",remain"`
	}
	diags = gohcl.DecodeBody(own.Body, nil, &head)
	if head.Extends != "" {
		base, err := Source(head.Extends)
		if err != nil {
			return nil, fmt.Errorf("%s: extends %q; there are %s", name, head.Extends, strings.Join(ScriptNames(), ", "))
		}
		f, more := p.ParseHCL(base, head.Extends+".hcl")
		files, diags = append([]*hcl.File{f}, files...), append(diags, more...)
	}
	if diags = append(diags, gohcl.DecodeBody(hcl.MergeFiles(files), nil, s)...); diags.HasErrors() {
		return nil, errors.Join(diags.Errs()...)
	}
	s.blockRanges = blockRanges(files)
	return s, s.validate(name)
}

// parseDuration reads a duration that was checked; "" is 0.
func parseDuration(d Duration) time.Duration {
	v, _ := time.ParseDuration(d)
	return v
}
