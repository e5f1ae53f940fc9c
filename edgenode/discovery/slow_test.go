package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
)

// Limits of the platform: a change counts as told this long after discovery has it and could be reached, and this
// long after SIGHUP.
const (
	toldAfter       = 6 * time.Second
	toldAfterReload = 4 * time.Second
)

// lateness is what comes late from a fake discovery service.
type lateness struct {
	response     time.Duration // by which responses are late
	responseEach int           // one of so many responses is late; 0: all are
	connection   time.Duration // by which connections come up late
}

// slowDiscovery is a fake discovery service in virtual time that gives each answer late. The answer is that which a
// prompt one would give.
type slowDiscovery struct {
	lateness

	mu             sync.Mutex
	calls          int
	index          int64
	secondDraining bool
	changed        chan struct{} // closed at the change
	connections    int
	maxConnections int
}

func newSlowDiscovery(l lateness) *slowDiscovery {
	return &slowDiscovery{lateness: l, index: 41, changed: make(chan struct{})}
}

// drainSecond has s-2 drain from now on.
func (d *slowDiscovery) drainSecond() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index, d.secondDraining = 43, true
	close(d.changed)
}

// serve answers the calls at a listener until it is closed.
func (d *slowDiscovery) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			d.countConnection(1)
			defer d.countConnection(-1)
			defer closeQuietly(nc)
			r := http1.NewReader(nc, http1.Limits{MaxLineBytes: 4096, MaxHeaderFields: 50, MaxHeaderBytes: 8192})
			for {
				request, err := r.Request()
				if err != nil {
					return
				}
				text := d.answerTo(indexOf(request.Target))
				if d.isLate() {
					time.Sleep(d.response)
				}
				if _, err := nc.Write([]byte(response(text))); err != nil {
					return
				}
			}
		}()
	}
}

// isLate counts a call and reports whether its answer is late.
func (d *slowDiscovery) isLate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return d.responseEach == 0 || d.calls%d.responseEach == 0
}

func (d *slowDiscovery) countConnection(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections += n
	d.maxConnections = max(d.maxConnections, d.connections)
}

// connectionCounts returns the number of connections that are open, and of those that were open at most.
func (d *slowDiscovery) connectionCounts() (open, most int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.connections, d.maxConnections
}

// answerTo holds a call for changes until there is one or the wait is over.
func (d *slowDiscovery) answerTo(after int64) string {
	d.mu.Lock()
	upToDate := after >= d.index
	d.mu.Unlock()
	if upToDate {
		select {
		case <-d.changed:
		case <-time.After(longPollTime):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	status := "ready"
	if d.secondDraining {
		status = "draining"
	}
	second := fmt.Sprintf(`{"name":"s-2","address":"b:1","status":"%s"}`, status)
	switch {
	case after < 0:
		return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":"s-1","address":"a:1","status":"ready"},%s]}`, d.index, second)
	case after < d.index:
		return fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[%s]}`, d.index, second)
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, d.index)
}

// lateNetwork is a network whose connections come up late.
type lateNetwork struct {
	network.Network
	delay time.Duration
}

func (n lateNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	select {
	case <-time.After(n.delay):
		return n.Network.Dial(ctx, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// slowBed is a watch of fake discovery services at several addresses.
type slowBed struct {
	t       *testing.T
	memory  *network.Memory
	moves   chan string
	begun   time.Time
	mu      sync.Mutex
	lists   []List
	drained time.Time // when s-2 was first known to drain
	relapse bool      // a later list had s-2 as ready again
}

// watchSlowly runs f beside a watch of a service at the address "10.0.3.1:80", in virtual time.
func watchSlowly(t *testing.T, late lateness, f func(b *slowBed, d *slowDiscovery)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &slowBed{t: t, memory: network.NewMemory(time.Millisecond, 1), moves: make(chan string), begun: time.Now()}
		d := newSlowDiscovery(late)
		b.listen("10.0.3.1:80", d)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			Watch(ctx, Options{Network: lateNetwork{b.memory.Host("node"), late.connection}, Address: "10.0.3.1:80", Moves: b.moves,
				Log: slog.New(slog.DiscardHandler), Deliver: b.deliver})
		}()
		f(b, d)
		cancel()
		<-ended
		time.Sleep(time.Minute)
		if open, _ := d.connectionCounts(); open > 0 {
			t.Errorf("%d connections are open after the watch has ended", open)
		}
	})
}

func (b *slowBed) listen(address string, d *slowDiscovery) {
	b.t.Helper()
	l, err := b.memory.Host("discovery").Listen(address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { closeListener(b.t, l) })
	go d.serve(l)
}

func closeListener(t *testing.T, l net.Listener) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}

func (b *slowBed) deliver(l List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lists = append(b.lists, l)
	drains := secondUnavailable(l)
	known := !b.drained.IsZero()
	switch {
	case drains && !known:
		b.drained = time.Now()
	case known && !drains && len(l.Endpoints) > 0:
		b.relapse = true
	}
}

// checkDrainKnown checks that s-2 was known to drain within a limit of a time, and stayed known.
func (b *slowBed) checkDrainKnown(since time.Time, limit time.Duration) {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drained.IsZero() {
		b.t.Errorf("the drain was never known; %d lists came", len(b.lists))
	} else if took := b.drained.Sub(since); took > limit {
		b.t.Errorf("the drain was known after %v, want %v at most", took, limit)
	}
	if b.relapse {
		b.t.Error("an older list was delivered after a newer one")
	}
}

// Guards against a node that never gets a list from discovery that answers late, because each call is given up before
// its answer and made anew. A change must be known in the time that the platform allows, whenever it comes.
func TestChangesOfSlowDiscoveryAreKnownInTime(t *testing.T) {
	for _, delay := range []time.Duration{0, 600 * time.Millisecond, 800 * time.Millisecond, time.Second, 1600 * time.Millisecond,
		1800 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		for at := 100 * time.Millisecond; at < 13*time.Second; at += 900 * time.Millisecond {
			what := fmt.Sprintf("answers %v late, change after %v", delay, at)
			t.Run(what, func(t *testing.T) {
				watchSlowly(t, lateness{response: delay}, func(b *slowBed, d *slowDiscovery) {
					time.Sleep(at)
					changed := time.Now()
					d.drainSecond()
					time.Sleep(20 * time.Second)
					b.checkDrainKnown(changed, toldAfter)
					if _, most := d.connectionCounts(); most > maxCallsInFlight+1 {
						t.Errorf("%d connections at once", most)
					}
				})
			})
		}
	}
}

// Guards against an older list that is applied over a newer one: some calls are answered late, after calls that were
// made later.
func TestResponsesOutOfOrderBringNoOlderList(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 2500 * time.Millisecond, 10 * time.Second} {
		for lateEach := 2; lateEach <= 4; lateEach++ {
			for at := 100 * time.Millisecond; at < 4*time.Second; at += 300 * time.Millisecond {
				what := fmt.Sprintf("one answer of %d is %v late, change after %v", lateEach, delay, at)
				t.Run(what, func(t *testing.T) {
					watchSlowly(t, lateness{response: delay, responseEach: lateEach}, func(b *slowBed, d *slowDiscovery) {
						time.Sleep(at)
						changed := time.Now()
						d.drainSecond()
						time.Sleep(30 * time.Second)
						b.checkDrainKnown(changed, toldAfter)
					})
				})
			}
		}
	}
}

// Guards against a node that never gets a list where connections to discovery come up late, because each is given up
// before that and made anew. The longest delay is that which the platform states for connections to servers.
func TestLateConnectionsToDiscoveryAreUsed(t *testing.T) {
	for _, connectDelay := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		for _, delay := range []time.Duration{0, time.Second} {
			for at := 100 * time.Millisecond; at < 4*time.Second; at += 700 * time.Millisecond {
				what := fmt.Sprintf("connections come up %v late, answers %v, change after %v", connectDelay, delay, at)
				t.Run(what, func(t *testing.T) {
					watchSlowly(t, lateness{response: delay, connection: connectDelay}, func(b *slowBed, d *slowDiscovery) {
						time.Sleep(at)
						changed := time.Now()
						d.drainSecond()
						time.Sleep(10 * time.Second)
						b.checkDrainKnown(changed, toldAfter)
					})
				})
			}
		}
	}
}

// Guards against a node that gets no list at all from discovery that is slower than the platform allows for.
func TestVerySlowDiscoveryIsHeard(t *testing.T) {
	for _, delay := range []time.Duration{7 * time.Second, 12 * time.Second, 30 * time.Second, 55 * time.Second} {
		what := fmt.Sprintf("answers %v late", delay)
		t.Run(what, func(t *testing.T) {
			watchSlowly(t, lateness{response: delay}, func(b *slowBed, d *slowDiscovery) {
				time.Sleep(2 * time.Minute)
				changed := time.Now()
				d.drainSecond()
				time.Sleep(4 * time.Minute)
				b.checkDrainKnown(changed, 3*callTimeout)
			})
		})
	}
}

// Guards against a node that never gets a list while new configurations move discovery in quick succession, because
// each move gives up the calls in flight. A change must be known in the time that the platform allows after a move.
func TestMovesInSeriesDoNotGiveUpCalls(t *testing.T) {
	for _, delay := range []time.Duration{0, 200 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond} {
			what := fmt.Sprintf("answers %v late, a move every %v", delay, interval)
			t.Run(what, func(t *testing.T) {
				watchSlowly(t, lateness{response: delay}, func(b *slowBed, d *slowDiscovery) {
					b.listen("10.0.3.2:80", d)
					b.listen("10.0.3.3:80", d)
					time.Sleep(10 * time.Second)
					d.drainSecond()
					changed := time.Now()
					for i := 0; time.Since(changed) < 20*time.Second; i++ {
						b.moves <- []string{"10.0.3.2:80", "10.0.3.3:80"}[i%2]
						time.Sleep(interval)
					}
					b.checkDrainKnown(changed, toldAfterReload)
				})
			})
		}
	}
}

// Guards against a watch that stays at the address from which discovery has moved: the new address refuses connections
// at first, and a call to the last one is answered meanwhile. Its connection must not be used for the new address.
func TestWatchLeavesLastAddressThoughItAnswers(t *testing.T) {
	watchSlowly(t, lateness{}, func(b *slowBed, last *slowDiscovery) {
		time.Sleep(1500 * time.Millisecond) // a call for changes is in flight
		b.moves <- "10.0.3.2:80"
		time.Sleep(3 * time.Second)
		if open, _ := last.connectionCounts(); open > 0 {
			b.t.Errorf("%d connections to the last address are open 3 s after the move", open)
		}
		next := newSlowDiscovery(lateness{})
		next.drainSecond()
		b.listen("10.0.3.2:80", next)
		reachable := time.Now()
		time.Sleep(5 * time.Second)
		b.checkDrainKnown(reachable, toldAfterReload)
	})
}
