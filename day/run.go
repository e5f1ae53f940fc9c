package day

import (
	"context"
	"fmt"
	"sync"
	"text/template"
	"time"
)

// Options holds the options of Run.
type Options struct {
	Environment Environment
	Progress    func(string) // receives progress lines; may be nil
}

// Run runs the scenario of a script, and returns its report.
func Run(ctx context.Context, script *Script, options Options) (*Report, error) {
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	run := &scenarioRun{script: script, options: options, startedAt: time.Now(), relays: map[[2]int]*relay{}}
	defer run.close()
	if err := run.start(); err != nil {
		return nil, err
	}
	// The nodes need some time to receive the first messages of their peers.
	sleep(ctx, time.Second)
	run.startedAt = time.Now()
	clients := newClients(run)
	var tasks sync.WaitGroup
	for _, f := range script.Faults {
		tasks.Go(func() {
			if sleep(ctx, toDuration(f.At)) {
				run.runFault(ctx, f)
			}
		})
	}
	tasks.Go(func() { run.logOutcomeCounts(ctx, clients) })
	clients.run(ctx, toDuration(script.Length))
	tasks.Wait()
	if len(run.counters) > 0 {
		sleep(ctx, 5*time.Second) // until the nodes have added their last totals to the counter
	}
	for i, n := range run.nodes {
		if n == nil {
			continue
		}
		if err := n.Drain(); err != nil {
			run.errs = append(run.errs, fmt.Errorf("drain node %d: %w", i, err))
		}
	}
	run.nodes = nil
	clients.close()
	run.mu.Lock()
	run.record.Requests = clients.records
	run.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return run.newReport(), nil
}

// sleep waits for the duration. It returns false if the context ends first.
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
