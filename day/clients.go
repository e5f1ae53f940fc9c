package day

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/standin/catalogue"
	"yardcleat.example/yardcleat/upstream"
)

func resolvePacketAddr(n network.Network, addr string) (net.Addr, error) {
	return network.Resolve(n, addr)
}

// customer is one customer of a crowd.
type customer struct {
	Name        string
	Plan        string
	RequestRate float64 // units a second
}

func customers(s *Script) []customer {
	rates := map[string]float64{}
	for _, p := range s.Plans {
		rates[p.Name] = p.Rate
	}
	var all []customer
	for _, c := range s.Customers {
		for i := range c.Count {
			all = append(all, customer{fmt.Sprint(c.Name, "-", i), c.Plan, c.Demand * rates[c.Plan]})
		}
	}
	return all
}

// clients are the clients. Each customer asks at random times; what is refused
// is tried again, with the same key, by another node.
type clients struct {
	scenario  *scenarioRun
	http1Pool *upstream.Pool
	http2Pool *upstream.Pool // over HTTP/2
	pending   sync.WaitGroup

	mu          sync.Mutex
	lastRequest int
	outcomes    map[string]int
	records     []audit.RequestRecord
}

func newClients(d *scenarioRun) *clients {
	o := upstream.Options{Network: d.options.Environment.Network("clients"), ConnectTimeout: time.Second, MaxIdlePerServer: 256,
		Limits: http1.Limits{MaxLineBytes: 8 << 10, MaxHeaderFields: 100, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 8 << 20}}
	c := &clients{scenario: d, outcomes: map[string]int{}, http1Pool: upstream.New(o)}
	o.HTTP2 = true
	c.http2Pool = upstream.New(o)
	return c
}

func (c *clients) close() {
	c.http1Pool.Close()
	c.http2Pool.Close()
}

func (c *clients) outcomeCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for k, v := range c.outcomes {
		out[k] = v
	}
	return out
}

// run asks for a time and waits for the last answers.
func (c *clients) run(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var asking sync.WaitGroup
	for i, who := range customers(c.scenario.script) {
		asking.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(c.scenario.script.Seed), uint64(i)))
			for sleep(ctx, time.Duration(rng.ExpFloat64()/who.RequestRate*float64(time.Second))) {
				seed := rng.Uint64()
				c.pending.Go(func() { c.sendWithRetries(who, rand.New(rand.NewPCG(seed, 0))) })
			}
		})
	}
	asking.Wait()
	c.pending.Wait()
}

// sendWithRetries is one sendWithRetries of a customer with its retries.
func (c *clients) sendWithRetries(who customer, rng *rand.Rand) {
	class := c.drawClass(rng)
	c.mu.Lock()
	c.lastRequest++
	number := c.lastRequest
	c.mu.Unlock()
	key := fmt.Sprint("key-", number)
	deadline := time.Now().Add(parseDuration(class.Deadline))
	for attempt := range c.scenario.script.Clients.Retries + 1 {
		patience := min(time.Duration((0.5+0.5*rng.Float64())*float64(parseDuration(class.Deadline))), time.Until(deadline))
		if patience < 10*time.Millisecond {
			return
		}
		t := audit.RequestRecord{Trace: fmt.Sprintf("try-%d-%d", number, attempt), Node: rng.IntN(int(c.scenario.clientNodes.Load())), Frontend: "http",
			Customer: who.Name, Plan: who.Plan, Class: class.Name, Units: max(1, class.Units), ClientRetry: attempt > 0}
		switch at := rng.Float64(); {
		case at < c.scenario.script.Clients.ProxyShare:
			t.Frontend = "proxy"
		case at < c.scenario.script.Clients.ProxyShare+c.scenario.script.Clients.HTTP2Share:
			t.Frontend = "http2"
		}
		c.sendAttempt(&t, class, key, patience, attempt)
		c.mu.Lock()
		c.records = append(c.records, t)
		c.outcomes[t.Outcome]++
		c.mu.Unlock()
		again := t.Outcome == "refused" || t.NotAccepted || class.Effect == "safe"
		if t.Outcome == "served" || !again {
			return
		}
		time.Sleep(time.Duration((0.5 + rng.Float64()) * float64(parseDuration(c.scenario.script.Clients.RetryDelay))))
	}
}

func (c *clients) drawClass(rng *rand.Rand) *Class {
	at := rng.Float64()
	for i := range c.scenario.script.Classes {
		if at -= c.scenario.script.Classes[i].Share; at < 0 {
			return &c.scenario.script.Classes[i]
		}
	}
	return &c.scenario.script.Classes[0]
}

// sendAttempt makes one sendAttempt and records what came of it.
func (c *clients) sendAttempt(t *audit.RequestRecord, class *Class, key string, patience time.Duration, attempt int) {
	call := node.HTTPRequest{Method: class.Method, Target: class.PathPrefix + t.Trace, Host: "catalogue.example"}
	call.Header.Add("X-Api-Key", "key-of-"+t.Customer)
	call.Header.Add("X-Request-Id", t.Trace)
	call.Header.Add("X-Envoy-Expected-Rq-Timeout-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	call.Header.Add("X-Envoy-Attempt-Count", strconv.Itoa(attempt+1))
	if class.Effect == "keyed" {
		call.Header.Add("Idempotency-Key", key)
	}
	address, pool := c.scenario.httpAddresses[t.Node], c.http1Pool
	switch t.Frontend {
	case "proxy":
		address = c.scenario.proxyAddresses[t.Node]
	case "http2":
		address, pool = c.scenario.http2Addresses[t.Node], c.http2Pool
	}
	t.SentAt = time.Now()
	t.TimesOutAt = t.SentAt.Add(patience)
	ended := make(chan node.Result, 1)
	sending := pool.Start(node.Attempt{Address: address, Request: &node.Request{HTTP: call}}, func(r node.Result) { ended <- r })
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case r := <-ended:
		recordResponse(t, r)
	case <-timer.C:
		sending.Cancel()
	}
}

// recordResponse reads what a client was told.
func recordResponse(t *audit.RequestRecord, r node.Result) {
	if r.Response == nil {
		t.NotAccepted = r.Code.NeverRan() // not connected, or the stream was not taken
		return
	}
	t.RespondedAt, t.Status = time.Now(), r.Response.Status
	t.Reason = r.Response.Header.Get("X-Yardcleat-Reason")
	id := r.Response.Header.Get("X-Request-Id")
	t.Mismatched = id != "" && id != t.Trace
	switch {
	case t.Status == 502 || t.Status == 504 || t.Status == 500:
		t.Outcome = "failed"
	case t.Reason != "" || r.Response.Header.Has(catalogue.RejectionHeader):
		t.Outcome = "refused"
	case t.Status >= 400:
		t.Outcome = "failed" // the proxy's own word: it promises nothing
	default:
		t.Outcome = "served"
	}
}
