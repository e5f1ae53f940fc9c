package edgekit

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is one entry of the list of app servers.
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

// List is an answer of discovery.
type List struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Discovery is a stand-in of the discovery agent. It answers at once, and pushes changes to watches.
type Discovery struct {
	Address string

	mu      sync.Mutex
	index   int
	order   []string
	entries map[string]Endpoint
	changed map[string]int // index of the last change, by name
	news    chan struct{}  // closed at the next change
	silent  bool
	indent  string
	sent    func(List, int) // called with each list that was written, and its size; may be nil
	server  *http.Server

	listener net.Listener
}

// SetIndent makes discovery indent its lists.
func (d *Discovery) SetIndent(indent string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indent = indent
}

// OnSent sets a function that is called with each list that was written whole, and its size.
func (d *Discovery) OnSent(sent func(List, int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent = sent
}

// StartDiscovery starts a discovery with a list.
func StartDiscovery(list []Endpoint) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), index: 40, entries: map[string]Endpoint{}, changed: map[string]int{}, news: make(chan struct{}), listener: l}
	for _, e := range list {
		d.Set(e)
	}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Set adds or changes an entry, in the next version of the list.
func (d *Discovery) Set(e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(e)
}

// SetAt does what Set does, in a given version of the list.
func (d *Discovery) SetAt(e Endpoint, index int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index = index - 1
	d.set(e)
}

// set adds or changes an entry. d.mu must be held.
func (d *Discovery) set(e Endpoint) {
	if _, known := d.entries[e.Name]; !known {
		d.order = append(d.order, e.Name)
	}
	d.index++
	d.entries[e.Name] = e
	d.changed[e.Name] = d.index
	close(d.news)
	d.news = make(chan struct{})
}

// SetSilent makes discovery keep silent, or answer again.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// Snapshot returns the whole list.
func (d *Discovery) Snapshot() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Index: d.index, Snapshot: true, Endpoints: []Endpoint{}}
	for _, name := range d.order {
		if e := d.entries[name]; e.Status != "gone" {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

// changesAfter returns the changes after an index, and a channel that is closed at the next change.
func (d *Discovery) changesAfter(after int) (List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Index: d.index, Endpoints: []Endpoint{}}
	for _, name := range d.order {
		if d.changed[name] > after {
			l.Endpoints = append(l.Endpoints, d.entries[name])
		}
	}
	return l, d.news
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	silent := d.silent
	d.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		d.answer(w, d.Snapshot())
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		l, news := d.changesAfter(after)
		if len(l.Endpoints) > 0 {
			d.answer(w, l)
			return
		}
		select {
		case <-news:
		case <-timeout:
			d.answer(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a list.
func (d *Discovery) answer(w http.ResponseWriter, l List) {
	d.mu.Lock()
	indent, sent := d.indent, d.sent
	d.mu.Unlock()
	b, _ := json.Marshal(l)
	if indent != "" {
		b, _ = json.MarshalIndent(l, "", indent)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if _, err := w.Write(b); err == nil && sent != nil {
		sent(l, len(b))
	}
}

// Retire ends discovery as the pages say of an address that a new configuration has replaced: it accepts no new
// connection at once, and closes the open ones after 1.5 s.
func (d *Discovery) Retire() {
	_ = d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, d.Close)
}

// Close ends discovery.
func (d *Discovery) Close() { _ = d.server.Close() }
