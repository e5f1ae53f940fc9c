package edgenode

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A server that takes the address of one that has gone gets connections of its own,
// and a draining one nothing new.
func TestReusedAddressGetsNewConnections(t *testing.T) {
	simulate(t, func(s *testbed) {
		for range 4 {
			s.exchange(s.requestText("lookup", ""))
		}
		var mu sync.Mutex
		list := twoEndpoints
		s.serveDiscovery("10.0.3.2:80", func(string) string {
			mu.Lock()
			defer mu.Unlock()
			return list
		})
		set := func(l string) {
			mu.Lock()
			list = l
			mu.Unlock()
		}
		set(strings.Replace(strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1), `"index":7`, `"index":8`, 1))
		s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.2:80"})
		time.Sleep(time.Second)
		before := s.servers[0].requestCount()
		for range 10 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if got := s.servers[0].requestCount(); got != before {
			t.Errorf("the draining server got %d requests", got-before)
		}
		connections := s.servers[1].connectionCount()
		set(strings.Replace(strings.ReplaceAll(twoEndpoints, "s-2", "s-3"), `"index":7`, `"index":9`, 1))
		time.Sleep(time.Second)
		for range 10 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if s.servers[1].connectionCount() == connections {
			t.Error("the new server at an old address was sent to on its predecessor's connections")
		}
	})
}

// A module made anew after a panic knows the list as it stands, not as it was last
// told whole: what has gone since gets nothing.
func TestEndpointUpdatesSurvivePolicyPanic(t *testing.T) {
	simulate(t, func(s *testbed) {
		s.serveDiscovery("10.0.3.2:80", func(target string) string {
			if !strings.Contains(target, "after=") {
				return twoEndpoints
			}
			return `{"index":8,"snapshot":false,"endpoints":[{"name":"s-1","address":"10.0.1.1:80","zone":"a","group":1,"status":"gone","weight":1,"since_ms":0}]}`
		})
		s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.2:80"})
		time.Sleep(time.Second)
		s.edge.node.InjectPolicyPanic()
		for range 10 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if n := s.servers[0].requestCount(); n > 0 {
			t.Errorf("the server that has gone got %d requests", n)
		}
	})
}

// A watch that falls silent with news at hand is given up soon enough: a drain is
// known within 4 s, also where two calls in a row are silent.
func TestDrainingServerIsKnownDespiteFailedPolls(t *testing.T) {
	simulate(t, func(s *testbed) {
		var calls atomic.Int64
		s.serveDiscovery("10.0.3.2:80", func(string) string {
			switch calls.Add(1) {
			case 1:
				return twoEndpoints
			case 2, 3:
				return ""
			}
			return strings.Replace(strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1), `"index":7`, `"index":8`, 1)
		})
		s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.2:80"})
		time.Sleep(4 * time.Second)
		for range 10 {
			s.exchange(s.requestText("lookup", ""))
		}
		if n := s.servers[0].requestCount(); n > 0 || calls.Load() < 4 {
			t.Errorf("the draining server got %d requests; discovery was asked %d times", n, calls.Load())
		}
	})
}

// Discovery that says what can't be read, or nothing, changes nothing; a new address
// is asked at once.
func TestDiscoveryFailureKeepsEndpointList(t *testing.T) {
	for name, says := range map[string]string{"noise": "{]", "changes without a list": `{"index":1,"endpoints":[]}`, "silence": ""} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(s *testbed) {
				var calls atomic.Int64
				s.serveDiscovery("10.0.3.9:80", func(string) string { calls.Add(1); return says })
				s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.9:80"})
				time.Sleep(10 * time.Second)
				if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
					t.Errorf("with the old list: %d", status)
				}
				if n := calls.Load(); n < 2 || n > 60 {
					t.Errorf("asked %d times in 10 s", n)
				}
				s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.1:80"})
				time.Sleep(time.Second)
				if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
					t.Errorf("back at the old address: %d", status)
				}
			})
		})
	}
}
