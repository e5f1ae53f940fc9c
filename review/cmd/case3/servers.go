package main

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/review/platform"
)

// world has the app servers of the case. s-1 and s-2 are group 1, s-3 and s-4 group 2. Then s-3 drains, and s-2 is
// replaced: s-5 of group 2 starts at its address, and s-6 joins group 1.
type world struct {
	record         *platform.Record
	list           *platform.EndpointList
	keys           *platform.Keys
	servers        map[string]*platform.AppServer
	drainingSince  atomic.Int64 // Unix time in ns since when discovery says that s-3 drains; 0: it does not
	lateAtDraining atomic.Int64
}

func newWorld(o *platform.Options) (*world, error) {
	w := &world{
		record:  o.Record,
		list:    platform.NewEndpointList(),
		keys:    platform.NewKeys(window+windowSlack, failingShare),
		servers: map[string]*platform.AppServer{},
	}
	for i, name := range []string{"s-1", "s-2", "s-3", "s-4"} {
		if err := w.start(name, i/2+1, platform.AnyAddress); err != nil {
			return nil, err
		}
		w.list.Set(w.servers[name].Endpoint)
	}
	return w, nil
}

func (w *world) start(name string, group int, address string) error {
	s, err := platform.NewAppServer(name, group, address, func(rw http.ResponseWriter, r *http.Request) { w.serve(name, group, rw, r) })
	if err == nil {
		w.servers[name] = s
	}
	return err
}

// set has discovery tell a status of an app server.
func (w *world) set(name, status string) {
	e := w.servers[name].Endpoint
	e.Status = status
	w.record.Printf("discovery: has %s (group %d, %s) as %s from now on", name, e.Group, e.Address, status)
	w.list.Set(e)
}

// replaceServers plays the release, and returns when all of its changes count as told.
func (w *world) replaceServers() error {
	begun := time.Now()
	time.Sleep(drainAt)
	w.drainingSince.Store(time.Now().UnixNano())
	w.set("s-3", "draining")
	w.set("s-2", "draining")
	if err := w.startNew("s-6", 1, platform.AnyAddress); err != nil {
		return err
	}
	time.Sleep(time.Until(begun.Add(replaceAt)))
	w.set("s-2", "gone")
	w.servers["s-2"].Close()
	if err := w.startNew("s-5", 2, w.servers["s-2"].Endpoint.Address); err != nil {
		return err
	}
	time.Sleep(time.Until(begun.Add(loansAt)))
	return nil
}

// startNew starts a new app server, of which discovery tells at once.
func (w *world) startNew(name string, group int, address string) error {
	if err := w.start(name, group, address); err != nil {
		return err
	}
	w.servers[name].Endpoint.SinceMS = time.Now().UnixMilli()
	w.set(name, "ready")
	return nil
}

func (w *world) serve(name string, group int, rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
	if since := w.drainingSince.Load(); name == "s-3" && since > 0 {
		w.turnAway(rw, id, time.Since(time.Unix(0, since)))
		return
	}
	time.Sleep(20 * time.Millisecond)
	if key == "" {
		w.record.Printf("%s (group %d): runs lookup %s", name, group, id)
		_, _ = io.WriteString(rw, "record for "+id)
		return
	}
	a := w.keys.Arrive(key, group)
	w.record.Printf("%s (group %d): got %s whole: run %t, the key has run %d times, answered with an error %t", name, group, key, a.Run, a.Runs, a.Fails)
	if a.Fails {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(rw, "loan for "+id)
}

// turnAway answers an attempt at the draining app server.
func (w *world) turnAway(rw http.ResponseWriter, id string, after time.Duration) {
	if after > toldAfter+drainGrace {
		w.lateAtDraining.Add(1)
	}
	w.record.Printf("s-3: got %s %d ms after discovery had it as draining; turns it away", id, after.Milliseconds())
	rw.Header().Set("X-Unprocessed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}
