package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"yardcleat.example/yardcleat/day"
)

// Scenario runs at the same time must not use each other's addresses, and a run must not use one twice. Otherwise a
// node fails to start, or the clients of one run talk to the node of another.
func TestRunsShareNoAddress(t *testing.T) {
	const runs, addressesPerRun = 3, 500
	users := map[string]int{}
	for run := range runs {
		environment := &day.ProcessEnvironment{TempDir: t.TempDir()}
		defer func() {
			if err := environment.Close(); err != nil {
				t.Error(err)
			}
		}()
		for range addressesPerRun {
			address, err := environment.NewAddress()
			if err != nil {
				t.Fatal(err)
			}
			if other, used := users[address]; used {
				t.Errorf("run %d got %s, which run %d has", run, address, other)
			}
			users[address] = run
		}
	}
}

// A node that can't open its listener must be reported as that, in one line, not as a broken rule of the scenario.
func TestNodeWithoutItsPortIsReported(t *testing.T) {
	t.Setenv(childVariable, "1")
	environment := &day.ProcessEnvironment{Program: os.Args[0], TempDir: t.TempDir()}
	defer func() {
		if err := environment.Close(); err != nil {
			t.Error(err)
		}
	}()
	address, err := environment.NewAddress()
	if err != nil {
		t.Fatal(err)
	}
	taken, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	config := strings.Replace(serveConfig(address, &serverGroup{servers: []*fakeServer{{address: "127.0.0.1:1"}}}, longestDeadline), `level = "info"`, `format = "json"`, 1)
	_, err = environment.StartNode(3, []byte(config))
	var startError *day.StartError
	if !errors.As(err, &startError) || startError.Node != 3 {
		t.Fatalf("got %v, want a start error of node 3", err)
	}
	if text := fmt.Sprint(err); !strings.Contains(text, "address already in use") || strings.Contains(text, "\n") {
		t.Errorf("the error does not say in one line that the address was in use: %q", text)
	}
}
