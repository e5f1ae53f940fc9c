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

func packetAddr(n network.Network, addr string) (net.Addr, error) { return network.Resolve(n, addr) }

// customer is one customer of a customer group.
type customer struct {
	Name        string
	Plan        string
	RequestRate float64 // per second, assuming one unit per request
}

func customers(s *Script) []customer {
	rates := map[string]float64{}
	for _, plan := range s.Plans {
		rates[plan.Name] = plan.Rate
	}
	var list []customer
	for _, group := range s.Customers {
		for i := range group.Count {
			list = append(list, customer{fmt.Sprint(group.Name, "-", i), group.Plan, group.Demand * rates[group.Plan]})
		}
	}
	return list
}

// clients simulates the clients. Each customer sends requests at random times. A request is retried if it
// was rejected or not accepted, or if it is idempotent and was not served. A retry has the same idempotency
// key, and is sent to a node drawn at random.
type clients struct {
	scenario  *scenarioRun
	http1Pool *upstream.Pool
	http2Pool *upstream.Pool
	pending   sync.WaitGroup

	mu          sync.Mutex
	lastRequest int
	outcomes    map[string]int
	records     []audit.RequestRecord
}

func newClients(scenario *scenarioRun) *clients {
	options := upstream.Options{Network: scenario.options.Environment.Network("clients"), ConnectTimeout: time.Second, MaxIdlePerServer: 256,
		Limits: http1.Limits{MaxLineBytes: 8 << 10, MaxHeaderFields: 100, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 8 << 20}}
	c := &clients{scenario: scenario, outcomes: map[string]int{}, http1Pool: upstream.New(options)}
	options.HTTP2 = true
	c.http2Pool = upstream.New(options)
	return c
}

func (c *clients) close() {
	c.http1Pool.Close()
	c.http2Pool.Close()
}

func (c *clients) outcomeCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for k, v := range c.outcomes {
		counts[k] = v
	}
	return counts
}

// run sends requests for the given time, and waits for the last responses.
func (c *clients) run(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var senders sync.WaitGroup
	for i, sender := range customers(c.scenario.script) {
		senders.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(c.scenario.script.Seed), uint64(i)))
			for sleep(ctx, time.Duration(rng.ExpFloat64()/sender.RequestRate*float64(time.Second))) {
				seed := rng.Uint64()
				c.pending.Go(func() { c.sendWithRetries(sender, rand.New(rand.NewPCG(seed, 0))) })
			}
		})
	}
	senders.Wait()
	c.pending.Wait()
}

// sendWithRetries sends one request of a customer, and its retries.
func (c *clients) sendWithRetries(sender customer, rng *rand.Rand) {
	class := c.drawClass(rng)
	c.mu.Lock()
	c.lastRequest++
	number := c.lastRequest
	c.mu.Unlock()
	key := fmt.Sprint("key-", number)
	deadline := time.Now().Add(toDuration(class.Deadline))
	for retryCount := range c.scenario.script.Clients.Retries + 1 {
		timeout := min(time.Duration((0.5+0.5*rng.Float64())*float64(toDuration(class.Deadline))), time.Until(deadline))
		if timeout < 10*time.Millisecond {
			return
		}
		record := audit.RequestRecord{Trace: fmt.Sprintf("try-%d-%d", number, retryCount), Node: rng.IntN(int(c.scenario.clientNodes.Load())), Frontend: "http",
			Customer: sender.Name, Plan: sender.Plan, Class: class.Name, Units: max(1, class.Units), ClientRetry: retryCount > 0}
		switch draw := rng.Float64(); {
		case draw < c.scenario.script.Clients.ProxyShare:
			record.Frontend = "proxy"
		case draw < c.scenario.script.Clients.ProxyShare+c.scenario.script.Clients.HTTP2Share:
			record.Frontend = "http2"
		}
		c.sendRequest(&record, class, key, timeout, retryCount)
		c.mu.Lock()
		c.records = append(c.records, record)
		c.outcomes[record.Outcome]++
		c.mu.Unlock()
		retry := record.Outcome == "refused" || record.NotAccepted || class.Effect == "safe"
		if record.Outcome == "served" || !retry {
			return
		}
		time.Sleep(time.Duration((0.5 + rng.Float64()) * float64(toDuration(c.scenario.script.Clients.RetryDelay))))
	}
}

func (c *clients) drawClass(rng *rand.Rand) *Class {
	draw := rng.Float64()
	for i := range c.scenario.script.Classes {
		if draw -= c.scenario.script.Classes[i].Share; draw < 0 {
			return &c.scenario.script.Classes[i]
		}
	}
	return &c.scenario.script.Classes[0]
}

// sendRequest sends one request, or a retry of it, and records its outcome.
func (c *clients) sendRequest(record *audit.RequestRecord, class *Class, key string, timeout time.Duration, retryCount int) {
	request := node.HTTPRequest{Method: class.Method, Target: class.PathPrefix + record.Trace, Host: "catalogue.example"}
	request.Header.Add("X-Api-Key", "key-of-"+record.Customer)
	request.Header.Add("X-Request-Id", record.Trace)
	request.Header.Add("X-Envoy-Expected-Rq-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Add("X-Envoy-Attempt-Count", strconv.Itoa(retryCount+1))
	if class.Effect == "keyed" {
		request.Header.Add("Idempotency-Key", key)
	}
	address, pool := c.scenario.httpAddresses[record.Node], c.http1Pool
	switch record.Frontend {
	case "proxy":
		address = c.scenario.proxyAddresses[record.Node]
	case "http2":
		address, pool = c.scenario.http2Addresses[record.Node], c.http2Pool
	}
	record.SentAt = time.Now()
	record.TimesOutAt = record.SentAt.Add(timeout)
	results := make(chan node.Result, 1)
	outgoing := pool.Start(node.Attempt{Address: address, Request: &node.Request{HTTP: request}}, func(result node.Result) { results <- result })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-results:
		recordResponse(record, result)
	case <-timer.C:
		outgoing.Cancel()
	}
}

// recordResponse records the result of a request.
func recordResponse(record *audit.RequestRecord, result node.Result) {
	if result.Response == nil {
		record.NotAccepted = result.Code.NeverRan() // the connection failed, or the HTTP/2 stream was refused
		return
	}
	record.RespondedAt, record.Status = time.Now(), result.Response.Status
	record.Reason = result.Response.Header.Get("X-Yardcleat-Reason")
	requestID := result.Response.Header.Get("X-Request-Id")
	record.Mismatched = requestID != "" && requestID != record.Trace
	switch {
	case record.Status == 502 || record.Status == 504 || record.Status == 500:
		record.Outcome = "failed"
	case record.Reason != "" || result.Response.Header.Has(catalogue.RejectionHeader):
		record.Outcome = "refused"
	case record.Status >= 400:
		record.Outcome = "failed" // generated by the proxy; it is unknown whether the request was processed
	default:
		record.Outcome = "served"
	}
}
