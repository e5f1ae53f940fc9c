package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/standin/authoriser"
	"yardcleat.example/yardcleat/standin/catalogue"
	"yardcleat.example/yardcleat/standin/counter"
	"yardcleat.example/yardcleat/standin/discovery"
	"yardcleat.example/yardcleat/standin/proxy"
)

// fakeSystem is what the sub-commands run until a signal.
type fakeSystem struct {
	serve       func(net.Listener) error
	kill        func()
	injectFault func(fault, arg string) error // nil: it has no faults
}

// run serves at an address and plays faults given as TIME:FAULT[:ARG].
func (s fakeSystem) run(cmd *cobra.Command, address string, faults []string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, f := range faults {
		parts := strings.SplitN(f, ":", 3)
		after, err := time.ParseDuration(parts[0])
		if err != nil || len(parts) < 2 || s.injectFault == nil {
			return fmt.Errorf("fault %q: TIME:FAULT or TIME:FAULT:ARG is needed, such as 5s:hang", f)
		}
		time.AfterFunc(after, func() {
			if err := s.injectFault(parts[1], strings.Join(parts[2:], "")); err != nil {
				fmt.Fprintln(os.Stderr, "yardcleat:", err)
			}
		})
	}
	fmt.Fprintln(cmd.ErrOrStderr(), "serving on", l.Addr())
	stopped := context.AfterFunc(ctx, s.kill)
	defer stopped()
	if err := s.serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}

// newRecordWriter writes records to standard output, one JSON document a line.
func newRecordWriter() func(any) {
	var mu sync.Mutex
	e := json.NewEncoder(os.Stdout)
	return func(v any) {
		mu.Lock()
		defer mu.Unlock()
		e.Encode(v)
	}
}

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for a system around the gateway",
		Long: "Run a stand-in until SIGTERM or SIGINT. It records what it receives on standard output.\n" +
			"Faults come at times: --fault 5s:hang --fault 9s:ok."}
	c.AddCommand(catalogueCommand(), authorizerCommand(), counterCommand(), proxyCommand(), discoveryCommand())
	return c
}

func addCommonFlags(c *cobra.Command, address *string, faults *[]string) {
	c.Args = cobra.NoArgs
	c.Flags().StringVarP(address, "listen", "l", "127.0.0.1:0", "address to listen on")
	if faults != nil {
		c.Flags().StringArrayVar(faults, "fault", nil, "a fault as TIME:FAULT[:ARG]; may be given again")
	}
}

func catalogueCommand() *cobra.Command {
	var address, name string
	var faults []string
	var cores, queue int
	var lookup, loan, window, warm time.Duration
	c := &cobra.Command{Use: "catalogue", Short: "An application server: GET /records/…, keyed POST /loans/…, POST /notes/…",
		Long: "Faults: hang, half-close, reset, twice, slow (a factor), fail (lookup, loan-change or note), ok.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := newRecordWriter()
			s := catalogue.New(catalogue.Options{Name: name, DedupScope: &catalogue.DedupScope{Name: "rack", Window: window}, Cores: cores,
				QueueLength: queue, InitialCapacity: 0.21, WarmupTime: warm, ColdOverloadFactor: 3, ColdOverloadTime: time.Second,
				Classes: []catalogue.Class{{Name: "lookup", Method: "GET", PathPrefix: "/records/", Work: lookup},
					{Name: "loan-change", Method: "POST", PathPrefix: "/loans/", Work: loan, IdempotentWithKey: true},
					{Name: "note", Method: "POST", PathPrefix: "/notes/", Work: loan}},
				Record: func(s audit.Seen) { out(s) }, OnColdOverload: func(f audit.Fell) { out(f) }})
			return fakeSystem{s.Serve, s.Kill, s.InjectFault}.run(cmd, address, faults)
		}}
	addCommonFlags(c, &address, &faults)
	c.Flags().StringVar(&name, "name", "catalogue", "its name in records and answers")
	c.Flags().IntVar(&cores, "cores", 2, "requests worked on at once")
	c.Flags().IntVar(&queue, "queue", 16, "requests that may wait; more are turned away")
	c.Flags().DurationVar(&lookup, "lookup", 60*time.Millisecond, "work of a lookup")
	c.Flags().DurationVar(&loan, "loan", 40*time.Millisecond, "work of a loan-change or note")
	c.Flags().DurationVar(&window, "window", 2*time.Second, "for which repeated keys are dropped")
	c.Flags().DurationVar(&warm, "warm", 0, "time to warm up from a fifth of its capacity; 0: warm at once")
	return c
}

func authorizerCommand() *cobra.Command {
	var address string
	var faults, deny []string
	c := &cobra.Command{Use: "authorizer", Aliases: []string{"authoriser"}, Short: "An external authorisation service (ext_authz v3)",
		Long: "Faults: silent, slow (a duration), deny (a customer), ok.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := authoriser.New(deny...)
			return fakeSystem{s.Serve, s.Kill, s.InjectFault}.run(cmd, address, faults)
		}}
	addCommonFlags(c, &address, &faults)
	c.Flags().StringArrayVar(&deny, "deny", nil, "a customer that is denied; may be given again")
	return c
}

func counterCommand() *cobra.Command {
	var address string
	var faults []string
	c := &cobra.Command{Use: "counter", Short: "A shared counter (RESP: GET, SET, SETNX, HGETALL, HSET, HSETNX, PEXPIRE)",
		Long: "Faults: silent, refuse, lose, slow (a duration), empty, save, restore, split, heal (first, second or both), ok.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := counter.New()
			return fakeSystem{s.Serve, s.Kill, s.InjectFault}.run(cmd, address, faults)
		}}
	addCommonFlags(c, &address, &faults)
	return c
}

func proxyCommand() *cobra.Command {
	var address, gateway string
	var noLogs bool
	c := &cobra.Command{Use: "proxy", Short: "A proxy that asks a gateway by ext_authz, forwards and logs",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := proxy.New(proxy.Options{Network: network.OS{}, Gateway: gateway, DefaultTimeout: 5 * time.Second, DisableAccessLog: noLogs})
			if err != nil {
				return err
			}
			return fakeSystem{s.Serve, s.Kill, nil}.run(cmd, address, nil)
		}}
	addCommonFlags(c, &address, nil)
	c.Flags().StringVar(&gateway, "gateway", "", "address of the gateway's ext_authz listener")
	c.Flags().BoolVar(&noLogs, "no-logs", false, "send no access log")
	c.MarkFlagRequired("gateway")
	return c
}

func discoveryCommand() *cobra.Command {
	var address, cluster string
	var servers, faults []string
	var late time.Duration
	c := &cobra.Command{Use: "discovery", Short: "An xDS management server for EDS",
		Long: "Faults: drain or run, with the address of a server, such as 5s:drain:127.0.0.1:9001.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := newRecordWriter()
			s := discovery.New(cluster, late, func(t audit.Told) { out(t) })
			var list []discovery.Endpoint
			for i, a := range servers {
				if _, _, err := net.SplitHostPort(a); err != nil {
					return err
				}
				list = append(list, discovery.Endpoint{Name: fmt.Sprint("server-", i), Address: a, Cell: i})
			}
			s.SetEndpoints(list)
			do := func(fault, arg string) error {
				for i := range list {
					if list[i].Address == arg && (fault == "drain" || fault == "run") {
						list[i].Draining = fault == "drain"
						s.SetEndpoints(list)
						return nil
					}
				}
				return fmt.Errorf("fault %s:%s: drain or run, and the address of a server, is needed", fault, arg)
			}
			return fakeSystem{s.Serve, s.Kill, do}.run(cmd, address, faults)
		}}
	addCommonFlags(c, &address, &faults)
	c.Flags().StringVar(&cluster, "cluster", "catalogue", "name of the cluster")
	c.Flags().StringArrayVar(&servers, "server", nil, "a server's address; may be given again")
	c.Flags().DurationVar(&late, "late", 0, "by which changes are pushed late")
	return c
}
