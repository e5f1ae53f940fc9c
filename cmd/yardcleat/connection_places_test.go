package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

var (
	placesTime  = flag.Duration("places-time", 3*time.Second, "how long bad clients and usual ones use a node in each case")
	placesSeeds = flag.Int("places-seeds", 6, "number of drawn cases")
	placesFirst = flag.Uint64("places-first", 1, "seed of the first drawn case")
)

// placesSlots is the number of nodes that run at a time.
const placesSlots = 2

// placesMemoryMB is the memory of the nodes.
const placesMemoryMB = 48

const (
	firstFreshNumber = 1 << 20                 // of a request; clients that keep their connections use those below
	freshInterval    = 10 * time.Millisecond   // between two requests on new connections
	freshTimeout     = 1900 * time.Millisecond // how long their clients wait
)

// badGroup is clients that send the same, read what they are sent, and come again on a new connection as soon as the
// last one has ended.
type badGroup struct {
	clients int
	text    func(number int) string
	play    func(ctx context.Context, node *nodeProcess, number int) // in place of that; nil: plays text
}

// playClient plays a client of the group until the context ends.
func (g badGroup) playClient(ctx context.Context, node *nodeProcess, number int) {
	if g.play != nil {
		g.play(ctx, node, number)
		return
	}
	playReturningClient(ctx, node, g.text(number))
}

// placesCase is a node with its bad clients.
type placesCase struct {
	name      string
	sockets   int
	memoryMB  int // 0: placesMemoryMB
	bad       []badGroup
	stopEvery time.Duration // the process is stopped for stopFor as often; 0: never
	stopFor   time.Duration

	descriptors uint64 // that the process may have, though the node is told more; 0: as many as the test
}

func unsoundRequest(n int) string {
	return badRequest(classNonIdempotent, n, "Content-Length: -1\r\n", "")
}

func halfHeader(n int) string {
	text := badRequest(classIdempotent, n, "", "")
	return text[:len(text)/2]
}

func halfBody(n int) string {
	return badRequest(classNonIdempotent, n, contentLength(1000), strings.Repeat("x", 500))
}

func manyFields(int) string { return "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 4000) + "\r\n" }

func nothing(int) string { return "" }

// manyRequests returns 300 short requests that are sent at once.
func manyRequests(n int) string {
	const requests = 300
	var b strings.Builder
	for i := range requests {
		b.WriteString(badRequest(classIdempotent, n*requests+i, "", ""))
	}
	return b.String()
}

// sends returns a group of clients that send what text returns.
func sends(clients int, text func(number int) string) badGroup {
	return badGroup{clients: clients, text: text}
}

// playNewCustomers sends one small request behind another at full speed, each of a customer that is new.
func playNewCustomers(ctx context.Context, node *nodeProcess, number int) {
	const customersOfClient = 1 << 24
	for request := number * customersOfClient; ctx.Err() == nil; {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", node.address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		client := newClientConn(conn)
		for err == nil {
			request++
			text := strings.Replace(badRequest(classIdempotent, request, "", ""), "key=00000000b4d65521", fmt.Sprintf("key=%016x", request), 1)
			_, _ = io.WriteString(conn, text) // an error shows in the read
			_, err = client.read(time.Now().Add(freshTimeout + responseSlack))
		}
		stop()
		_ = conn.Close()
	}
}

// playSlowWriter writes a long request, a few bytes at a time.
func playSlowWriter(ctx context.Context, node *nodeProcess, number int) {
	const pieceBytes, pieceInterval = 100, 5 * time.Millisecond
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", node.address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		for text := longRequest(number); len(text) > 0 && err == nil; {
			n := min(pieceBytes, len(text))
			_, err = io.WriteString(conn, text[:n])
			text = text[n:]
			time.Sleep(pieceInterval)
		}
		_, _ = io.Copy(io.Discard, conn) // until the node ends the connection
		stop()
		_ = conn.Close()
	}
}

// playNonReader sends requests for long responses and reads none of them, and comes again after a while.
func playNonReader(ctx context.Context, node *nodeProcess, number int) {
	const requests, stay = 20, 1500 * time.Millisecond
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", node.address)
		if err != nil {
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // so that what the client does not read stays with the node
		var text strings.Builder
		for i := range requests {
			text.WriteString(requestForLongResponse(number*requests + i))
		}
		_ = conn.SetDeadline(time.Now().Add(stay))
		_, _ = io.WriteString(conn, text.String()) // the node may end the connection before
		select {
		case <-ctx.Done():
		case <-time.After(stay):
		}
		_ = conn.Close()
	}
}

var placesCases = []placesCase{
	{name: "unsound requests", sockets: 256, bad: []badGroup{sends(100, unsoundRequest)}},
	{name: "unsound requests and half headers", sockets: 256, bad: []badGroup{sends(60, unsoundRequest), sends(60, halfHeader)}},
	{name: "many requests at once", sockets: 256, bad: []badGroup{sends(100, manyRequests)}},
	{name: "silent clients", sockets: 256, bad: []badGroup{sends(300, nothing)}},
	{name: "half headers", sockets: 256, bad: []badGroup{sends(300, halfHeader)}},
	{name: "half bodies", sockets: 1024, bad: []badGroup{sends(600, halfBody)}},
	{name: "headers of thousands of fields", sockets: 1024, bad: []badGroup{sends(300, manyFields)}},
	{name: "unsound requests, process stopped", sockets: 256, bad: []badGroup{sends(60, unsoundRequest), sends(100, halfBody)},
		stopEvery: 400 * time.Millisecond, stopFor: 150 * time.Millisecond},
	{name: "one client with ever new customers", sockets: 256, bad: []badGroup{{clients: 1, play: playNewCustomers}}},
	{name: "clients with ever new customers", sockets: 256, bad: []badGroup{{clients: 20, play: playNewCustomers}}},
	{name: "silent clients, and no descriptors left", sockets: 256, bad: []badGroup{sends(150, nothing), sends(20, unsoundRequest)}, descriptors: 100},
	{name: "clients that don't read", sockets: 256, bad: []badGroup{{clients: 300, play: playNonReader}}},
	{name: "slow writers", sockets: 1024, bad: []badGroup{{clients: 500, play: playSlowWriter}}},
}

// Guards against requests on new connections that get no answer because bad clients use up the places for connections.
func TestRequestsAreAnsweredWhenConnectionsRunOut(t *testing.T) {
	slots := make(chan struct{}, placesSlots)
	for _, c := range placesCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			c.run(t)
		})
	}
}

// drawPlacesCase generates the case of a seed: descriptors, memory, stops of the process, and one to three groups of bad
// clients.
func drawPlacesCase(seed uint64) placesCase {
	random := rand.New(rand.NewPCG(seed, 11))
	c := placesCase{
		sockets:  []int{64, 128, 256, 544, 1024}[random.IntN(5)],
		memoryMB: []int{32, 48, 64}[random.IntN(3)],
	}
	if random.IntN(2) == 0 {
		c.stopFor = time.Duration(10+random.IntN(140)) * time.Millisecond
		c.stopEvery = c.stopFor + time.Duration(20+random.IntN(380))*time.Millisecond
	}
	plays := []func(context.Context, *nodeProcess, int){playNewCustomers, playSlowWriter, playNonReader}
	for range 1 + random.IntN(3) {
		group := badGroup{clients: 1 + random.IntN(300)}
		kind := random.IntN(len(badTexts) + len(plays))
		if kind < len(badTexts) {
			group.text = badTexts[kind]
		} else {
			group.play = plays[kind-len(badTexts)]
		}
		c.bad = append(c.bad, group)
		c.name += fmt.Sprintf("%d clients of kind %d; ", group.clients, kind)
	}
	c.name += fmt.Sprintf("%d descriptors, %d MB, stopped for %v every %v", c.sockets, c.memoryMB, c.stopFor, c.stopEvery)
	return c
}

// Drawn crowds of bad clients, beside drawn descriptors, memory and stops of the process: usual requests are answered, and the
// node keeps its limits.
func TestRequestsAreAnsweredBesideDrawnCrowds(t *testing.T) {
	var seeds []uint64
	for i := range *placesSeeds {
		seeds = append(seeds, *placesFirst+uint64(i))
	}
	playDrawnCases(t, seeds)
}

// Several times more bad clients than places, while the process is stopped for more than a quarter of the time: usual requests wait with
// the kernel behind the bad ones for longer than their clients do.
func TestRequestsAreAnsweredBesideFarMoreClientsThanPlaces(t *testing.T) {
	playDrawnCases(t, []uint64{530, 556})
}

func playDrawnCases(t *testing.T, seeds []uint64) {
	t.Helper()
	slots := make(chan struct{}, placesSlots)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			c := drawPlacesCase(seed)
			t.Log(c.name)
			c.run(t)
		})
	}
}

// respondWithLongBody responds to requests for long responses.
func respondWithLongBody(w http.ResponseWriter, r *http.Request, _ string) bool {
	if r.Header.Get("X-Long") == "" {
		return false
	}
	_, _ = io.WriteString(w, strings.Repeat("x", longResponseSize)) // the node may have closed the connection
	return true
}

func (c placesCase) run(t *testing.T) {
	servers := newServerGroup(t, serverCount)
	for _, server := range servers.servers {
		server.latency = 20 * time.Millisecond
		server.respond = respondWithLongBody
	}
	c.memoryMB = cmp.Or(c.memoryMB, placesMemoryMB)
	node := startEdgeNode(t, resources{memoryMB: c.memoryMB, sockets: c.sockets}, servers, serveHTTP(t, servers))
	if c.descriptors > 0 {
		limit := unix.Rlimit{Cur: c.descriptors, Max: c.descriptors}
		if err := unix.Prlimit(node.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			t.Fatal(err)
		}
	}
	peaks := make(chan peakUse, 1)
	stop := make(chan struct{})
	go func() { peaks <- watchUse(node, stop) }()
	until := time.Now().Add(*placesTime)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var bad sync.WaitGroup
	number := 0
	for _, group := range c.bad {
		for range group.clients {
			number++
			bad.Go(func() { group.playClient(ctx, node, number) })
		}
	}
	bad.Go(func() { c.stopProcess(node, until) })
	resting := startUsualLoad(node)
	results := playFreshClients(node, until)
	checkResting(t, resting.stop())
	bad.Wait()
	close(stop)
	c.check(t, node, <-peaks, results)
}

// stopProcess stops the node's process again and again until a time.
func (c placesCase) stopProcess(node *nodeProcess, until time.Time) {
	for c.stopEvery > 0 && time.Now().Before(until) {
		time.Sleep(c.stopEvery - c.stopFor)
		node.signal(syscall.SIGSTOP)
		time.Sleep(c.stopFor)
		node.signal(syscall.SIGCONT)
	}
}

// playReturningClient plays one bad client until the context ends.
func playReturningClient(ctx context.Context, node *nodeProcess, text string) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", node.address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, text) // the node may reject it before it has read all
		_, _ = io.Copy(io.Discard, conn)  // until the node ends the connection
		stop()
		_ = conn.Close()
	}
}

// freshResult is the outcome of a request on a new connection.
type freshResult struct {
	id     string
	sentAt time.Duration // since the first request
	took   time.Duration // until the response or the end of the connection
	status int           // 0: there was no response
	err    error
}

// playFreshClients sends requests at an even rate until a time, each at once on a new connection, and returns what
// their clients got.
func playFreshClients(node *nodeProcess, until time.Time) []freshResult {
	var mu sync.Mutex
	var results []freshResult
	var clients sync.WaitGroup
	begun := time.Now()
	ticker := time.NewTicker(freshInterval)
	defer ticker.Stop()
	for number := uint64(firstFreshNumber); time.Now().Before(until); number++ {
		<-ticker.C
		clients.Go(func() {
			result := sendFresh(node, node.requestID(number), begun)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	clients.Wait()
	return results
}

// sendFresh sends a request on a new connection and returns its outcome.
func sendFresh(node *nodeProcess, id string, begun time.Time) freshResult {
	result := freshResult{id: id, sentAt: time.Since(begun)}
	conn, err := net.DialTimeout("tcp", node.address, freshTimeout)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = conn.Close() }()
	sent := time.Now()
	result.sentAt = sent.Sub(begun)
	_, _ = io.WriteString(conn, requestText(true, classIdempotent, id, freshTimeout)) // the node may reject it unread
	response, err := newClientConn(conn).read(sent.Add(freshTimeout + responseSlack))
	result.took, result.status, result.err = time.Since(sent), response.status, err
	return result
}

// checkResting checks that each request of clients that keep their connections got an answer.
func checkResting(t *testing.T, results map[usualResult]int) {
	t.Helper()
	t.Logf("clients that keep their connections: %v", results)
	for result, count := range results {
		if !isAnswer(result.status) {
			t.Errorf("%d requests on connections that are kept: %+v", count, result)
		}
	}
}

// isAnswer reports whether a status is that of a request that was served or rejected.
func isAnswer(status int) bool {
	return slices.Contains([]int{http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// check checks that each usual request got an answer and that the node kept its limits.
func (c placesCase) check(t *testing.T, node *nodeProcess, peak peakUse, results []freshResult) {
	counts := map[int]int{}
	var lost []string
	slowest := time.Duration(0)
	for _, r := range results {
		counts[r.status]++
		slowest = max(slowest, r.took)
		if !isAnswer(r.status) || r.err != nil {
			lost = append(lost, fmt.Sprintf("%s, sent %v: status %d after %v, %v", r.id, r.sentAt.Round(time.Millisecond), r.status, r.took.Round(time.Millisecond), r.err))
		}
	}
	t.Logf("%d requests, by status: %v, slowest %v; peak %d KiB, %d descriptors of %d", len(results), counts, slowest.Round(time.Millisecond), peak.memoryKB, peak.descriptors, c.sockets)
	if len(lost) > 0 {
		t.Errorf("%d of %d requests got no answer:\n%s", len(lost), len(results), strings.Join(lost[:min(len(lost), 5)], "\n"))
		t.Logf("log of the node:\n%s", node.log)
	}
	if counts[http.StatusOK] == 0 {
		t.Error("no request was served")
	}
	if peak.memoryKB == 0 || peak.memoryKB > c.memoryMB<<10 || peak.descriptors > c.sockets {
		t.Errorf("peak %+v, limits %d KiB and %d descriptors", peak, c.memoryMB<<10, c.sockets)
	}
	if node.hasExited() {
		t.Errorf("the node exited: %v: %s", node.err, node.log)
	}
}
