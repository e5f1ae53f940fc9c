package edgenode

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A new server may take over the address of a removed one. It must not get requests on connections
// to its predecessor. A draining server must get no new requests.
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
		s.edge.Reload(&Config{Discovery: "10.0.3.2:80"})
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
			t.Error("requests to the new server were sent on connections to its predecessor")
		}
	})
}

// After a panic the policy is restarted. It must get the current endpoint list, with all delta
// updates, not the last snapshot: otherwise a server that has been removed since would get requests.
func TestEndpointUpdatesSurvivePolicyPanic(t *testing.T) {
	simulate(t, func(s *testbed) {
		s.serveDiscovery("10.0.3.2:80", func(target string) string {
			if !strings.Contains(target, "after=") {
				return twoEndpoints
			}
			return `{"index":8,"snapshot":false,"endpoints":[{"name":"s-1","address":"10.0.1.1:80","zone":"a","group":1,"status":"gone","weight":1,"since_ms":0}]}`
		})
		s.edge.Reload(&Config{Discovery: "10.0.3.2:80"})
		time.Sleep(time.Second)
		s.edge.node.InjectPolicyPanic()
		for range 10 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if n := s.servers[0].requestCount(); n > 0 {
			t.Errorf("the removed server got %d requests", n)
		}
	})
}

// Discovery may fail to answer polls while it has a change. The watch must abandon such polls early
// enough: a draining server must be known within 4 s, even if two polls in a row get no response.
func TestDrainingServerIsKnownDespiteFailedPolls(t *testing.T) {
	simulate(t, func(s *testbed) {
		var polls atomic.Int64
		s.serveDiscovery("10.0.3.2:80", func(string) string {
			switch polls.Add(1) {
			case 1:
				return twoEndpoints
			case 2, 3:
				return ""
			}
			return strings.Replace(strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1), `"index":7`, `"index":8`, 1)
		})
		s.edge.Reload(&Config{Discovery: "10.0.3.2:80"})
		time.Sleep(4 * time.Second)
		for range 10 {
			s.exchange(s.requestText("lookup", ""))
		}
		if n := s.servers[0].requestCount(); n > 0 || polls.Load() < 4 {
			t.Errorf("the draining server got %d requests; discovery was polled %d times", n, polls.Load())
		}
	})
}

// Guards against a node that is cut off from discovery by a SIGHUP that moves it to a discovery that answers late: a
// server that drains there must be known 4 s after the SIGHUP.
func TestDrainingServerIsKnownAfterMoveToSlowDiscovery(t *testing.T) {
	for _, delay := range []time.Duration{800 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			simulate(t, func(s *testbed) {
				s.serveDiscovery("10.0.3.2:80", func(string) string {
					time.Sleep(delay)
					return strings.Replace(strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1), `"index":7`, `"index":8`, 1)
				})
				s.edge.Reload(&Config{Discovery: "10.0.3.2:80"})
				time.Sleep(4 * time.Second)
				for range 10 {
					if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
						t.Errorf("status %d", status)
					}
				}
				if n := s.servers[0].requestCount(); n > 0 {
					t.Errorf("the draining server got %d requests", n)
				}
			})
		})
	}
}

// Guards against requests to a server that is known to drain, because a SIGHUP moves the node to a discovery whose list
// lags; and against a discovery that began anew and is not followed.
func TestMoveToOlderListBringsNoDrainingServerBack(t *testing.T) {
	simulate(t, func(s *testbed) {
		draining := strings.Replace(strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1), `"index":7`, `"index":8`, 1)
		s.serveDiscovery("10.0.3.2:80", func(string) string { return draining })
		s.serveDiscovery("10.0.3.3:80", func(string) string { return twoEndpoints })
		s.edge.Reload(&Config{Discovery: "10.0.3.2:80"})
		time.Sleep(time.Second)
		s.edge.Reload(&Config{Discovery: "10.0.3.3:80"})
		time.Sleep(time.Second)
		for range 20 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if n := s.servers[0].requestCount(); n > 0 {
			t.Errorf("the draining server got %d requests", n)
		}
		time.Sleep(time.Minute)
		for range 20 {
			s.exchange(s.requestText("lookup", ""))
		}
		if s.servers[0].requestCount() == 0 {
			t.Error("the list of a discovery that began anew was never believed")
		}
	})
}

// If discovery sends invalid responses or none, the node must keep its endpoint list and limit its
// rate of polls. A new discovery address must be polled at once.
func TestDiscoveryFailureKeepsEndpointList(t *testing.T) {
	for name, response := range map[string]string{"invalid JSON": "{]", "delta before a snapshot": `{"index":1,"endpoints":[]}`, "no response": ""} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(s *testbed) {
				var polls atomic.Int64
				s.serveDiscovery("10.0.3.9:80", func(string) string { polls.Add(1); return response })
				s.edge.Reload(&Config{Discovery: "10.0.3.9:80"})
				time.Sleep(10 * time.Second)
				if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
					t.Errorf("with the previous list: status %d", status)
				}
				if n := polls.Load(); n < 2 || n > 60 {
					t.Errorf("%d polls in 10 s, want 2 to 60", n)
				}
				s.edge.Reload(&Config{Discovery: "10.0.3.1:80"})
				time.Sleep(time.Second)
				if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
					t.Errorf("after the return to the previous address: status %d", status)
				}
			})
		})
	}
}
