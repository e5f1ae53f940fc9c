package day

import (
	"context"
	"fmt"
	"sync"
	"text/template"
	"time"
)

// Options is what Run takes beside a script.
type Options struct {
	Environment Environment
	Progress    func(string) // lines to show; nil: none
}

// Run plays a script and reports.
func Run(ctx context.Context, s *Script, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	d := &scenarioRun{script: s, options: o, startedAt: time.Now(), relays: map[[2]int]*relay{}}
	defer d.close()
	if err := d.start(); err != nil {
		return nil, err
	}
	// Nodes need a moment to hear of each other.
	sleep(ctx, time.Second)
	d.startedAt = time.Now()
	callers := newClients(d)
	var playing sync.WaitGroup
	for _, f := range s.Faults {
		playing.Go(func() {
			if sleep(ctx, parseDuration(f.At)) {
				d.runFault(ctx, f)
			}
		})
	}
	playing.Go(func() { d.logOutcomeCounts(ctx, callers) })
	callers.run(ctx, parseDuration(s.Length))
	playing.Wait()
	if len(d.counters) > 0 {
		sleep(ctx, 5*time.Second) // the last totals are added
	}
	for i, n := range d.nodes {
		if n == nil {
			continue
		}
		if err := n.Drain(); err != nil {
			d.errs = append(d.errs, fmt.Errorf("node %d at its end: %w", i, err))
		}
	}
	d.nodes = nil
	callers.close()
	d.mu.Lock()
	d.record.Requests = callers.records
	d.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return d.newReport(), nil
}

// sleep waits; false where the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

var nodeConfigTemplate = template.Must(template.New("node").Parse(`# Written by "yardcleat day".
node {
  {{- if .Roster}}
  name      = "node-{{.Number}}"
  {{- else}}
  number    = {{.Number}}
  {{- end}}
  zone      = "{{.Zone}}"
  state_dir = "{{.Dir}}"
}
log { format = "json" }
listener "http" "desks" { address = "{{.HTTP}}" }
listener "http2" "kiosks" { address = "{{.HTTP2}}" }
listener "ext_authz" "proxies" { address = "{{.ExtAuthz}}" }
clients {
  max_retry_after = "1s"
}
{{range .S.Classes}}
class "{{.Name}}" {
  effect = "{{.Effect}}"
  {{- if .DedupScope}}
  group = "{{.DedupScope}}"
  {{- end}}
  {{- if .DedupWindow}}
  window = "{{.DedupWindow}}"
  {{- end}}
  aim = "{{.LatencyObjective}}"
  deadline = "{{.Deadline}}"
  {{- if .Units}}
  units = {{.Units}}
  {{- end}}
  {{- if .Authorisation}}
  authorisation = "{{.Authorisation}}"
  {{- end}}
  route {
    method = "{{.Method}}"
    path = "{{.PathPrefix}}{id}"
  }
}
{{end}}
{{- range .S.Plans}}
plan "{{.Name}}" {
  rate = {{.Rate}}
  burst = {{.Burst}}
  open = {{.MaxInFlight}}
  hard_rate = {{.HardRate}}
  hard_burst = {{.HardBurst}}
}
{{end}}
{{- range .Customers}}
customer "{{.Name}}" {
  plan = "{{.Plan}}"
  keys = ["key-of-{{.Name}}"]
}
{{end}}
peers {
  listen = "{{.Peer}}"
  key = "{{.Key}}"
  mail_per_second = {{.S.PeerMessagesPerSecond}}
  {{- if .Roster}}
  roster = "{{.Dir}}/roster.hcl"
  {{- else}}
  {{- range $n, $a := .Peers}}
  peer "{{$n}}" { address = "{{$a}}" }
  {{- end}}
  {{- end}}
}
authoriser {
  address = "{{.Auth}}"
  timeout = "200ms"
}
servers {
  eds {
    address = "{{.EDS}}"
    cluster = "catalogue"
  }
  turned_away {
    status = 503
    header = "x-not-run"
  }
  cold_share = {{.S.Servers.InitialCapacity}}
  warm_within = "{{.S.Servers.WarmupTime}}"
  fall_multiple = {{.S.Servers.ColdOverloadFactor}}
  fall_time = "{{.S.Servers.ColdOverloadTime}}"
}
{{if .Counters}}
counter {
  addresses = [{{range .Counters}}"{{.}}", {{end}}]
  calls_per_second = {{.S.Counter.CommandsPerSecond}}
  window = "1h"
  keep = "24h"
}
{{end}}
limits { answer_margin = "50ms" }
`))
