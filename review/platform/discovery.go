package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of the list of app servers, as on the wire.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// List is one answer of discovery, as on the wire.
type List struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// EndpointList is the list that discovery has. Any number of Discovery listeners may answer with it.
type EndpointList struct {
	mu        sync.Mutex
	index     int
	names     []string // in the order in which they were first set
	endpoints map[string]Endpoint
	versions  map[string]int // index of the last change of each endpoint
	changed   chan struct{}  // closed at the next change
}

// NewEndpointList returns an empty list.
func NewEndpointList() *EndpointList {
	return &EndpointList{endpoints: map[string]Endpoint{}, versions: map[string]int{}, changed: make(chan struct{})}
}

// Set adds or changes an endpoint. One with the status gone is no longer in the whole list.
func (l *EndpointList) Set(e Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.endpoints[e.Name]; !known {
		l.names = append(l.names, e.Name)
	}
	l.index++
	l.endpoints[e.Name] = e
	l.versions[e.Name] = l.index
	close(l.changed)
	l.changed = make(chan struct{})
}

// Snapshot returns the whole list.
func (l *EndpointList) Snapshot() List {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := List{Index: l.index, Snapshot: true, Endpoints: []Endpoint{}}
	for _, name := range l.names {
		if e := l.endpoints[name]; e.Status != "gone" {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}

// after returns the changes since a version, and a channel that is closed at the next change.
func (l *EndpointList) after(index int) (List, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := List{Index: l.index, Endpoints: []Endpoint{}}
	for _, name := range l.names {
		if l.versions[name] > index {
			list.Endpoints = append(list.Endpoints, l.endpoints[name])
		}
	}
	return list, l.changed
}

// Discovery answers the calls of edge nodes at one address.
type Discovery struct {
	Address string
	name    string
	list    *EndpointList
	delay   time.Duration
	record  *Record
	server  *http.Server
}

// NewDiscovery starts a listener that answers with the list, each call by the delay later than it could.
func NewDiscovery(name string, list *EndpointList, delay time.Duration, record *Record) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), name: name, list: list, delay: delay, record: record}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serveList)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Close accepts no new connection, and closes the open ones after the time that the users' page states.
func (d *Discovery) Close() {
	time.AfterFunc(1500*time.Millisecond, func() { _ = d.server.Close() })
}

func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	d.record.Printf("discovery %s: call %s", d.name, r.URL.RequestURI())
	list := d.list.Snapshot()
	if r.URL.Query().Has("after") {
		list = d.awaitChange(r)
	}
	select {
	case <-time.After(d.delay):
	case <-r.Context().Done():
		d.record.Printf("discovery %s: caller gave up %s", d.name, r.URL.RequestURI())
		return
	}
	body, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	d.record.Printf("discovery %s: answered %s with index %d, snapshot %t, %d entries", d.name, r.URL.RequestURI(),
		list.Index, list.Snapshot, len(list.Endpoints))
}

// awaitChange holds a call until something newer than its version exists or its wait is over.
func (d *Discovery) awaitChange(r *http.Request) List {
	index, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		list, changed := d.list.after(index)
		if list.Index > index {
			return list
		}
		select {
		case <-changed:
		case <-over:
			return list
		case <-r.Context().Done():
			return list
		}
	}
}
