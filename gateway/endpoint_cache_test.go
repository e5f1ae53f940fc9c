package gateway

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"yardcleat.example/yardcleat/fleet"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/standin/discovery"
)

// A gateway restarts with a cached endpoint list that is stale: three of its servers no longer exist and
// one is draining. Attempts to the missing servers fail, but each request gets a response, and a new
// list from discovery takes effect immediately.
func TestRestartWithAStaleEndpointCache(t *testing.T) {
	dir := t.TempDir()
	extra := `node { state_dir = "` + dir + `" }`
	var list []node.Endpoint
	for _, a := range []string{"10.0.1.1:80", "10.0.1.2:80", "10.0.1.7:80", "10.0.1.8:80", "10.0.1.9:80"} {
		list = append(list, node.Endpoint{Address: a, Server: policy.Server{ID: fleet.ID(a), Weight: 1}})
	}
	if err := fleet.SaveCache(filepath.Join(dir, "servers"), list); err != nil {
		t.Fatal(err)
	}
	runInTestBed(t, extra, func(bed *testBed) {
		served := 0
		for i := range 8 { // discovery is not reachable yet
			switch g := bed.do("GET", fmt.Sprint("/records/", i), "k-school"); {
			case g.status == 200:
				served++
			case g.header.Get("X-Yardcleat-Reason") != "server-gone": // all three attempts chose missing servers
				t.Errorf("unexpected response %+v", g)
			}
		}
		if served < 5 {
			t.Errorf("%d of 8 requests served", served)
		}
		d := discovery.New("c", 0, nil)
		bed.serve(d.Serve, "10.0.3.1:80")
		d.SetEndpoints([]discovery.Endpoint{{Name: "s1", Address: "10.0.1.1:80", Draining: true}, {Name: "s2", Address: "10.0.1.2:80", Cell: 1}})
		time.Sleep(3 * time.Second) // until the discovery stream is reopened
		updatedAt := time.Now()
		for i := range 10 {
			if g := bed.do("GET", fmt.Sprint("/records/", i), "k-school"); g.status != 200 {
				t.Errorf("unexpected response %+v", g)
			}
		}
		for _, s := range bed.arrivedAttempts() {
			if s.Server == "s1" && s.ArrivedAt.After(updatedAt) {
				t.Errorf("attempt sent to the draining server: %+v", s)
			}
		}
		d.Kill()
	})
}
