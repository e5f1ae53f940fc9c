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

// fakeSystem is a fake of an outside system, which a subcommand runs until a signal.
type fakeSystem struct {
	serve       func(net.Listener) error
	kill        func()
	injectFault func(fault, arg string) error // nil: faults are not supported
}

// run serves at an address and injects faults, given as TIME:FAULT[:ARG] with the time since the start.
func (s fakeSystem) run(cmd *cobra.Command, address string, faults []string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, fault := range faults {
		parts := strings.SplitN(fault, ":", 3)
		after, err := time.ParseDuration(parts[0])
		if err != nil || len(parts) < 2 || s.injectFault == nil {
			return fmt.Errorf("invalid fault %q: must be TIME:FAULT or TIME:FAULT:ARG, such as 5s:hang", fault)
		}
		time.AfterFunc(after, func() {
			if err := s.injectFault(parts[1], strings.Join(parts[2:], "")); err != nil {
				fmt.Fprintln(os.Stderr, "yardcleat:", err)
			}
		})
	}
	fmt.Fprintln(cmd.ErrOrStderr(), "serving on", l.Addr())
	cancelKill := context.AfterFunc(ctx, s.kill)
	defer cancelKill()
	if err := s.serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}

// newRecordWriter returns a function that writes records to standard output, one JSON document per line.
func newRecordWriter() func(any) {
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	return func(record any) {
		mu.Lock()
		defer mu.Unlock()
		encoder.Encode(record)
	}
}

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a fake of a system around the gateway",
		Long: "Run a fake until SIGTERM or SIGINT. It writes records of what it receives to standard output.\n" +
			"Faults are injected at times since the start: --fault 5s:hang --fault 9s:ok."}
	c.AddCommand(catalogueCommand(), authorizerCommand(), counterCommand(), proxyCommand(), discoveryCommand())
	return c
}

// addCommonFlags adds the flags of all fakes; faults is nil if the fake has none.
func addCommonFlags(c *cobra.Command, address *string, faults *[]string) {
	c.Args = cobra.NoArgs
	c.Flags().StringVarP(address, "listen", "l", "127.0.0.1:0", "address to listen on")
	if faults != nil {
		c.Flags().StringArrayVar(faults, "fault", nil, "a fault as TIME:FAULT[:ARG]; may be repeated")
	}
}

func catalogueCommand() *cobra.Command {
	var address, name string
	var faults []string
	var cores, queue int
	var lookup, loan, window, warm time.Duration
	c := &cobra.Command{Use: "catalogue", Short: "Fake application server: GET /records/…, POST /loans/… (idempotent with key), POST /notes/…",
		Long: "Faults: hang, half-close, reset, twice, slow (a factor), fail (lookup, loan-change or note), ok.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			writeRecord := newRecordWriter()
			s := catalogue.New(catalogue.Options{Name: name, DedupScope: &catalogue.DedupScope{Name: "rack", Window: window}, Cores: cores,
				QueueLength: queue, InitialCapacity: 0.21, WarmupTime: warm, ColdOverloadFactor: 3, ColdOverloadTime: time.Second,
				Classes: []catalogue.Class{{Name: "lookup", Method: "GET", PathPrefix: "/records/", Work: lookup},
					{Name: "loan-change", Method: "POST", PathPrefix: "/loans/", Work: loan, IdempotentWithKey: true},
					{Name: "note", Method: "POST", PathPrefix: "/notes/", Work: loan}},
				Record: func(s audit.AttemptRecord) { writeRecord(s) }, OnColdOverload: func(f audit.ColdOverload) { writeRecord(f) }})
			return fakeSystem{s.Serve, s.Kill, s.InjectFault}.run(cmd, address, faults)
		}}
	addCommonFlags(c, &address, &faults)
	c.Flags().StringVar(&name, "name", "catalogue", "name of the server in records and responses")
	c.Flags().IntVar(&cores, "cores", 2, "requests executed at a time")
	c.Flags().IntVar(&queue, "queue", 16, "maximum number of waiting requests; further ones are rejected")
	c.Flags().DurationVar(&lookup, "lookup", 60*time.Millisecond, "execution time of a lookup")
	c.Flags().DurationVar(&loan, "loan", 40*time.Millisecond, "execution time of a loan-change or note")
	c.Flags().DurationVar(&window, "window", 2*time.Second, "dedup window, in which requests with a repeated key are not executed")
	c.Flags().DurationVar(&warm, "warm", 0, "time to warm up from a fifth of full capacity; 0: no warm-up")
	return c
}

func authorizerCommand() *cobra.Command {
	var address string
	var faults, deny []string
	c := &cobra.Command{Use: "authorizer", Aliases: []string{"authoriser"}, Short: "Fake external authorization service (ext_authz v3)",
		Long: "Faults: silent, slow (a duration), deny (a customer), ok.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := authoriser.New(deny...)
			return fakeSystem{s.Serve, s.Kill, s.InjectFault}.run(cmd, address, faults)
		}}
	addCommonFlags(c, &address, &faults)
	c.Flags().StringArrayVar(&deny, "deny", nil, "a customer to deny; may be repeated")
	return c
}

func counterCommand() *cobra.Command {
	var address string
	var faults []string
	c := &cobra.Command{Use: "counter", Short: "Fake shard of the shared counter (RESP: GET, SET, SETNX, HGETALL, HSET, HSETNX, PEXPIRE)",
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
	c := &cobra.Command{Use: "proxy", Short: "Fake proxy that asks a gateway by ext_authz, forwards requests and sends access logs",
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
	c := &cobra.Command{Use: "discovery", Short: "Fake xDS management server for EDS",
		Long: "Faults: drain or run, with the address of a server, such as 5s:drain:127.0.0.1:9001.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			writeRecord := newRecordWriter()
			s := discovery.New(cluster, late, func(update audit.EndpointUpdate) { writeRecord(update) })
			var endpoints []discovery.Endpoint
			for i, server := range servers {
				if _, _, err := net.SplitHostPort(server); err != nil {
					return err
				}
				endpoints = append(endpoints, discovery.Endpoint{Name: fmt.Sprint("server-", i), Address: server, Cell: i})
			}
			s.SetEndpoints(endpoints)
			injectFault := func(fault, arg string) error {
				for i := range endpoints {
					if endpoints[i].Address == arg && (fault == "drain" || fault == "run") {
						endpoints[i].Draining = fault == "drain"
						s.SetEndpoints(endpoints)
						return nil
					}
				}
				return fmt.Errorf("invalid fault %s:%s: must be drain or run, and the address of a server", fault, arg)
			}
			return fakeSystem{s.Serve, s.Kill, injectFault}.run(cmd, address, faults)
		}}
	addCommonFlags(c, &address, &faults)
	c.Flags().StringVar(&cluster, "cluster", "catalogue", "name of the cluster")
	c.Flags().StringArrayVar(&servers, "server", nil, "address of a server; may be repeated")
	c.Flags().DurationVar(&late, "late", 0, "delay before changes are pushed")
	return c
}
